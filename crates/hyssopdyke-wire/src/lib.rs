//! Messages between the processes of hyssopdyke, and their encoding on the wire.
//!
//! The messages are generated from the files under `proto/` by `cargo xtask generate` and
//! committed. [`Key`] authenticates them, [`Codec`] frames them on TCP sessions.
//!
//! ```
//! use hyssopdyke_wire::{Key, Purpose, datagram};
//!
//! let key = Key::derive("a shared passphrase", Purpose::Datagram);
//! let message = datagram::Datagram { revision: 7, body: None };
//! let mut sealed = bytes::BytesMut::new();
//! key.seal(&message, &mut sealed);
//! let opened: datagram::Datagram = key.open(sealed.freeze())?;
//! assert_eq!(opened, message);
//! # Ok::<(), hyssopdyke_wire::Error>(())
//! ```

mod codec;
mod key;
pub mod range;

pub use codec::Codec;
pub use key::{Error, Key, Purpose, TAG_BYTES};

/// Datagrams between entries and agents.
#[allow(missing_docs, clippy::pedantic, clippy::module_inception)]
pub mod datagram {
    include!("generated/hyssopdyke.datagram.rs");
}

/// Commands that change the state of control, and their storage and replication.
#[allow(missing_docs, clippy::pedantic, clippy::module_inception)]
pub mod ledger {
    include!("generated/hyssopdyke.ledger.rs");
}

/// Declared and announced state, as stored by control and shown to operators.
#[allow(missing_docs, clippy::pedantic, clippy::module_inception)]
pub mod resource {
    include!("generated/hyssopdyke.resource.rs");
    include!("generated/hyssopdyke.resource.serde.rs");
}

/// Frames on the TCP session between a daemon and control.
#[allow(missing_docs, clippy::pedantic, clippy::module_inception)]
pub mod session {
    include!("generated/hyssopdyke.session.rs");
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
