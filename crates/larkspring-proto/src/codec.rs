//! Protobuf codec for calls, with small initial buffers.
//!
//! Tonic's default codec allocates 8 KB for each direction of each call, which would be
//! most of the memory of an open stream.

use std::marker::PhantomData;

use prost::Message;
use tonic::codec::{BufferSettings, Codec};
use tonic_prost::{ProstCodec, ProstDecoder, ProstEncoder};

/// A codec that encodes messages of type `T` and decodes messages of type `U`.
#[derive(Debug, Clone)]
pub struct SmallCodec<T, U> {
    messages: PhantomData<(T, U)>,
}

/// Initial size of a buffer in bytes; the buffer grows with the messages.
const BUFFER: usize = 512;
/// Number of encoded bytes that are collected before they are sent.
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
