//! Length-delimited frames of sealed messages on a TCP session.

use bytes::BytesMut;
use prost::Message;
use std::marker::PhantomData;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::range::Check;
use crate::{Error, Key};

/// Default maximum length of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Codec for frames of sealed messages of one type.
#[derive(Debug)]
pub struct Codec<M> {
    framing: LengthDelimitedCodec,
    key: Key,
    message: PhantomData<fn() -> M>,
}

impl<M> Codec<M> {
    /// Creates a codec for messages that are sealed with `key`, in frames of up to 1 MiB.
    #[must_use]
    pub fn new(key: Key) -> Self {
        Self::with_max_frame_bytes(key, MAX_FRAME_BYTES)
    }

    /// Creates a codec for messages that are sealed with `key`, in frames of up to
    /// `max_frame_bytes` bytes.
    #[must_use]
    pub fn with_max_frame_bytes(key: Key, max_frame_bytes: usize) -> Self {
        let framing = LengthDelimitedCodec::builder().max_frame_length(max_frame_bytes).new_codec();
        Self { framing, key, message: PhantomData }
    }
}

impl<M: Message> Encoder<M> for Codec<M> {
    type Error = Error;

    fn encode(&mut self, message: M, target: &mut BytesMut) -> Result<(), Error> {
        let mut sealed = BytesMut::new();
        self.key.seal(&message, &mut sealed);
        Ok(self.framing.encode(sealed.freeze(), target)?)
    }
}

impl<M: Message + Default + Check> Decoder for Codec<M> {
    type Item = M;
    type Error = Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<M>, Error> {
        let Some(sealed) = self.framing.decode(source)? else {
            return Ok(None);
        };
        self.key.open(sealed.freeze()).map(Some)
    }
}
