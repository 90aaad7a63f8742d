//! Authentication of messages with a key that all processes share.
//!
//! A sealed message is its encoding followed by a tag of [`TAG_BYTES`] bytes: the first half of the
//! keyed BLAKE3 hash of the encoding. Each [`Purpose`] has its own key, so that a message cannot be
//! replayed on another kind of channel. The tag proves that the sender is a peer. It does not hide
//! the content and does not prevent replays on the same kind of channel, so handlers are
//! idempotent.

use bytes::{Bytes, BytesMut};
use prost::Message;

use crate::range::{self, Check};

/// Length in bytes of the tag that sealing adds to a message.
pub const TAG_BYTES: usize = 16;

/// Kind of channel that a key is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// UDP datagrams between daemons.
    Datagram,
    /// TCP sessions between daemons and control.
    Session,
}

impl Purpose {
    const fn context(self) -> &'static str {
        match self {
            Self::Datagram => "hyssopdyke 2026-12 datagram",
            Self::Session => "hyssopdyke 2026-12 session",
        }
    }
}

/// Error in opening the sealed message of a peer.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// The message has fewer bytes than a tag. Holds the number of bytes.
    #[error("sealed message truncated: got {0} bytes, expected at least a tag")]
    Truncated(usize),
    /// The tag does not match the content under the shared key.
    #[error("message tag does not match the shared key")]
    InvalidTag,
    /// The tag is valid, but the content is not a message of the expected type.
    #[error("malformed message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A number of the message is out of its range.
    #[error("message out of range: {0}")]
    Range(#[from] range::Error),
    /// The TCP stream failed, or a frame is longer than allowed.
    #[error("session: {0}")]
    Io(#[from] std::io::Error),
}

/// Key for one kind of channel.
#[derive(Clone)]
pub struct Key([u8; blake3::KEY_LEN]);

impl Key {
    /// Derives the key for `purpose` from the passphrase that all processes share.
    #[must_use]
    pub fn derive(passphrase: &str, purpose: Purpose) -> Self {
        Self(blake3::derive_key(purpose.context(), passphrase.as_bytes()))
    }

    /// Appends the sealed form of `message` to `buffer`.
    pub fn seal<M: Message>(&self, message: &M, buffer: &mut BytesMut) {
        let start = buffer.len();
        buffer.reserve(message.encoded_len() + TAG_BYTES);
        message.encode_raw(buffer);
        let tag = self.tag(&buffer[start..]);
        buffer.extend_from_slice(&tag);
    }

    /// Verifies the tag of `sealed`, decodes its content, and checks its numbers.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Truncated`], [`Error::InvalidTag`], [`Error::Malformed`] or
    /// [`Error::Range`].
    pub fn open<M: Message + Default + Check>(&self, mut sealed: Bytes) -> Result<M, Error> {
        let Some(length) = sealed.len().checked_sub(TAG_BYTES) else {
            return Err(Error::Truncated(sealed.len()));
        };
        let tag = sealed.split_off(length);
        let expected = self.tag(&sealed);
        if !constant_time_eq::constant_time_eq(&expected, &tag) {
            return Err(Error::InvalidTag);
        }
        let message = M::decode(sealed)?;
        message.check()?;
        Ok(message)
    }

    /// Returns the keys of a 64-bit hash of flows, which callers cannot predict.
    #[must_use]
    pub fn flow_hash_keys(&self) -> (u64, u64) {
        let tag = u128::from_le_bytes(self.tag(b"flow hash"));
        ((tag >> 64) as u64, tag as u64)
    }

    fn tag(&self, content: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&blake3::keyed_hash(&self.0, content).as_bytes()[..TAG_BYTES]);
        tag
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Key(..)")
    }
}
