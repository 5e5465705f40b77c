//! The receiving side: puts the parts of a change together and applies it.
use crate::encoding::{decode_change, EncodingError};
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{fnv1a, ConfigurationChunk, ConfigurationFetch, TransferId};
use std::sync::Arc;

/// What has come of a part.
#[derive(Debug)]
pub enum Received {
    /// A newer configuration is in place.
    Configuration(Arc<Configuration>),
    /// More parts are to be asked for.
    More,
    /// The part was of no use; what is missing is to be asked for anew.
    Unusable,
    /// The bytes are complete and no change that can be read: the whole configuration is to be asked for.
    Faulty(Option<EncodingError>),
}

/// A change of which not all parts are there.
struct Incoming {
    id: TransferId,
    bytes: Vec<u8>,
}

/// A configuration, and what has come of the change to a newer one.
#[derive(Default)]
pub struct ConfigurationReceiver {
    configuration: Arc<Configuration>,
    incoming: Option<Incoming>,
    /// The last change could not be applied: the whole is asked for.
    wants_whole: bool,
}

impl ConfigurationReceiver {
    /// The configuration in place; version zero: there is none yet.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The version in place; zero: there is none yet.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Bytes that have come of the change under way.
    pub fn bytes_so_far(&self) -> u64 {
        self.incoming
            .as_ref()
            .map_or(0, |incoming| incoming.bytes.len() as u64)
    }

    /// What to ask for next.
    pub fn fetch(&self) -> ConfigurationFetch {
        let base = if self.wants_whole { 0 } else { self.version() };
        ConfigurationFetch {
            base,
            transfer: self.incoming.as_ref().map(|incoming| incoming.id),
            offset: self.bytes_so_far(),
        }
    }

    /// Takes a part. One that begins a transfer takes the place of another one under way.
    pub fn take(&mut self, chunk: ConfigurationChunk) -> Received {
        let id = chunk.transfer;
        if id.version <= self.version() || (id.base != 0 && id.base != self.version()) {
            return Received::Unusable;
        }
        let continues = self
            .incoming
            .as_ref()
            .is_some_and(|incoming| incoming.id == id)
            && chunk.offset == self.bytes_so_far();
        if !continues && chunk.offset != 0 {
            return Received::Unusable;
        }
        let incoming = match self.incoming.take().filter(|_| continues) {
            Some(mut incoming) => {
                incoming.bytes.extend_from_slice(&chunk.bytes);
                incoming
            }
            None => Incoming {
                id,
                bytes: chunk.bytes,
            },
        };
        if (incoming.bytes.len() as u64) < chunk.length {
            self.incoming = Some(incoming);
            return Received::More;
        }
        self.apply(&incoming)
    }

    fn apply(&mut self, incoming: &Incoming) -> Received {
        let sound = fnv1a(&incoming.bytes) == incoming.id.checksum;
        let change = match sound.then(|| decode_change(&incoming.bytes)).transpose() {
            Ok(Some(change))
                if (change.base, change.version) == (incoming.id.base, incoming.id.version) =>
            {
                change
            }
            Ok(_) => return self.fault(None),
            Err(error) => return self.fault(Some(error)),
        };
        let nothing = Configuration::default();
        let base = if change.base == 0 {
            &nothing
        } else {
            self.configuration.as_ref()
        };
        self.configuration = Arc::new(change.apply_to(base));
        self.wants_whole = false;
        Received::Configuration(self.configuration.clone())
    }

    fn fault(&mut self, error: Option<EncodingError>) -> Received {
        self.wants_whole = true;
        Received::Faulty(error)
    }
}
