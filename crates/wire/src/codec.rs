//! Frames on a byte stream: a length prefix, then the frame in postcard.

use crate::Frame;
use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest frame accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Largest frame accepted before the peer has proved its key, in bytes.
pub const MAX_HANDSHAKE_FRAME_BYTES: usize = 4 << 10;

/// The error of a frame that could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The stream failed, or a frame exceeds [`MAX_FRAME_BYTES`].
    #[error("stream: {0}")]
    Io(#[from] std::io::Error),
    /// The bytes are not a frame.
    #[error("malformed frame: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Encodes and decodes frames.
#[derive(Debug)]
pub struct Codec(LengthDelimitedCodec);

impl Default for Codec {
    fn default() -> Self {
        Self::within(MAX_FRAME_BYTES)
    }
}

impl Codec {
    /// Makes a codec for a handshake.
    pub fn for_handshake() -> Self {
        Self::within(MAX_HANDSHAKE_FRAME_BYTES)
    }

    fn within(max_frame_bytes: usize) -> Self {
        Self(
            LengthDelimitedCodec::builder()
                .max_frame_length(max_frame_bytes)
                .new_codec(),
        )
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(body) = self.0.decode(source)? else {
            return Ok(None);
        };
        Ok(Some(postcard::from_bytes(&body)?))
    }
}

impl Encoder<&Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: &Frame, target: &mut BytesMut) -> Result<(), Error> {
        let body = postcard::to_stdvec(frame)?;
        self.0.encode(Bytes::from(body), target)?;
        Ok(())
    }
}
