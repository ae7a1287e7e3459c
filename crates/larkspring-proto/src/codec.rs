//! The codec of the calls: protobuf with small buffers.
//!
//! The usual codec begins each direction of each call with 8 KB, which is most of what an
//! open answer would hold.

use std::marker::PhantomData;

use prost::Message;
use tonic::codec::{BufferSettings, Codec};
use tonic_prost::{ProstCodec, ProstDecoder, ProstEncoder};

/// Protobuf messages `T` out and `U` in.
#[derive(Debug, Clone)]
pub struct SmallCodec<T, U> {
    messages: PhantomData<(T, U)>,
}

/// Bytes of a buffer at its beginning; it grows as messages need.
const BUFFER: usize = 512;
/// Bytes that are gathered before they are sent on.
const YIELD: usize = 8 * 1024;

impl<T, U> Default for SmallCodec<T, U> {
    fn default() -> Self {
        Self { messages: PhantomData }
    }
}

impl<T, U> Codec for SmallCodec<T, U>
where
    T: Message + Send + 'static,
    U: Message + Default + Send + 'static,
{
    type Encode = T;
    type Decode = U;
    type Encoder = ProstEncoder<T>;
    type Decoder = ProstDecoder<U>;

    fn encoder(&mut self) -> Self::Encoder {
        ProstCodec::<T, U>::raw_encoder(BufferSettings::new(BUFFER, YIELD))
    }

    fn decoder(&mut self) -> Self::Decoder {
        ProstCodec::<T, U>::raw_decoder(BufferSettings::new(BUFFER, YIELD))
    }
}
