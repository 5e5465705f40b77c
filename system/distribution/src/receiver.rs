//! The receiving side of a transfer: assembles the chunks of a change and applies it. It makes no calls.
use crate::encoding::{decode_change, EncodingError};
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{fnv1a, ConfigurationChunk, ConfigurationFetch, TransferId};
use std::sync::Arc;

/// The result of processing a chunk.
#[derive(Debug)]
pub enum ChunkOutcome {
    /// The change is complete and was applied: a newer configuration is in force.
    Configuration(Arc<Configuration>),
    /// The change is incomplete: the next chunk must be requested.
    Incomplete,
    /// The chunk does not continue or start a transfer: the missing chunk must be requested again.
    Unusable,
    /// The change is complete but can't be applied: the complete configuration must be requested.
    Rejected(ChangeError),
}

/// Why a configuration change could not be applied.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// The received bytes do not match the checksum of the transfer.
    #[error("checksum does not match that of the transfer")]
    Checksum,
    /// The versions in the change do not match those of the transfer.
    #[error("versions do not match those of the transfer")]
    Versions,
    /// The received bytes can't be decoded as a change.
    #[error(transparent)]
    Encoding(#[from] EncodingError),
}

/// A partially received change.
struct PartialChange {
    transfer: TransferId,
    bytes: Vec<u8>,
}

/// The configuration in force, and the partially received change to a newer one.
#[derive(Default)]
pub struct ConfigurationReceiver {
    configuration: Arc<Configuration>,
    partial: Option<PartialChange>,
    /// The last change could not be applied, so the complete configuration is requested.
    needs_complete: bool,
}

impl ConfigurationReceiver {
    /// The configuration in force; its version is zero if there is none yet.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The version in force; zero if there is none yet.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Number of bytes received of the transfer in progress.
    pub fn received_bytes(&self) -> u64 {
        self.partial
            .as_ref()
            .map_or(0, |partial| partial.bytes.len() as u64)
    }

    /// The request for the next chunk.
    pub fn fetch(&self) -> ConfigurationFetch {
        let base = if self.needs_complete {
            0
        } else {
            self.version()
        };
        ConfigurationFetch {
            base,
            transfer: self.partial.as_ref().map(|partial| partial.transfer),
            offset: self.received_bytes(),
        }
    }

    /// Processes a chunk. The first chunk of a transfer replaces the transfer in progress.
    pub fn receive_chunk(&mut self, chunk: ConfigurationChunk) -> ChunkOutcome {
        let transfer = chunk.transfer;
        let is_applicable = transfer.base == 0 || transfer.base == self.version();
        if transfer.version <= self.version() || !is_applicable {
            return ChunkOutcome::Unusable;
        }
        let current = self.partial.as_ref().map(|partial| partial.transfer);
        let continues = current == Some(transfer) && chunk.offset == self.received_bytes();
        if !continues && chunk.offset != 0 {
            return ChunkOutcome::Unusable;
        }
        let partial = match self.partial.take().filter(|_| continues) {
            Some(mut partial) => {
                partial.bytes.extend_from_slice(&chunk.bytes);
                partial
            }
            None => PartialChange {
                transfer,
                bytes: chunk.bytes,
            },
        };
        if (partial.bytes.len() as u64) < chunk.length {
            self.partial = Some(partial);
            return ChunkOutcome::Incomplete;
        }
        self.apply(&partial)
    }

    /// Applies a completely received change.
    fn apply(&mut self, received: &PartialChange) -> ChunkOutcome {
        let transfer = received.transfer;
        if fnv1a(&received.bytes) != transfer.checksum {
            return self.reject(ChangeError::Checksum);
        }
        let change = match decode_change(&received.bytes) {
            Ok(change) => change,
            Err(error) => return self.reject(error.into()),
        };
        if change.base != transfer.base || change.version != transfer.version {
            return self.reject(ChangeError::Versions);
        }
        let configuration = if change.base == 0 {
            change.apply_to(&Configuration::default())
        } else {
            change.apply_to(&self.configuration)
        };
        self.configuration = Arc::new(configuration);
        self.needs_complete = false;
        ChunkOutcome::Configuration(self.configuration.clone())
    }

    fn reject(&mut self, error: ChangeError) -> ChunkOutcome {
        self.needs_complete = true;
        ChunkOutcome::Rejected(error)
    }
}
