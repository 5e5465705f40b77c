//! Copy-on-write values shared between the state and its snapshots.
use minicbor::{decode, encode, Decode, Decoder, Encode, Encoder};
use std::{ops::Deref, sync::Arc};

/// A copy-on-write value. Its encoding is that of the inner value.
#[derive(Clone, Debug, PartialEq)]
pub struct Shared<T>(Arc<T>);

impl<T: Clone> Shared<T> {
    /// Wraps a value.
    pub fn new(value: T) -> Shared<T> {
        Shared(Arc::new(value))
    }

    /// Returns a mutable reference to the value, cloning it first if it is shared.
    pub fn make_mut(&mut self) -> &mut T {
        Arc::make_mut(&mut self.0)
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<C, T: Encode<C>> Encode<C> for Shared<T> {
    fn encode<W: encode::Write>(
        &self,
        encoder: &mut Encoder<W>,
        context: &mut C,
    ) -> Result<(), encode::Error<W::Error>> {
        self.0.as_ref().encode(encoder, context)
    }
}

impl<'b, C, T: Decode<'b, C>> Decode<'b, C> for Shared<T> {
    fn decode(decoder: &mut Decoder<'b>, context: &mut C) -> Result<Self, decode::Error> {
        T::decode(decoder, context).map(|value| Shared(Arc::new(value)))
    }
}
