//! The sending side of a transfer: the newest configuration and the changes to it from earlier versions. It makes no
//! calls.
use crate::{
    change::ConfigurationChange,
    encoding::{decode_change, encode_change},
};
use magpiegap_jobs::{Configuration, Route};
use magpiegap_protocol::{fnv1a, ConfigurationChunk, ConfigurationFetch, TransferId};
use std::{collections::VecDeque, sync::Arc};

/// Maximum length of a chunk, in bytes. It occupies a 2 Mbit/s link for 65 ms, after which other messages can be sent.
pub const CHUNK_BYTES: usize = 16 << 10;
/// Maximum length of a change that is sent inline with the feed, in bytes.
const MAX_INLINE_BYTES: usize = 2 << 10;
/// Number of recent configurations retained. Receivers with an older version get the complete newest configuration.
const MAX_RETAINED: usize = 16;
/// Number of encoded changes that are cached regardless of their size.
const MIN_CACHED_TRANSFERS: usize = 4;
/// Size of the cache of encoded changes above which the least recently used ones are evicted, in bytes.
const MAX_CACHED_BYTES: usize = 4 << 20;

/// An encoded change and the identifier of its transfer.
struct Transfer {
    id: TransferId,
    bytes: Vec<u8>,
}

/// The recent configurations, and a cache of encoded changes.
#[derive(Default)]
pub struct ConfigurationSource {
    /// Recent configurations, the newest last.
    recent: VecDeque<Arc<Configuration>>,
    /// Cache of encoded changes, the most recently used last.
    transfers: VecDeque<Transfer>,
}

impl ConfigurationSource {
    /// The newest configuration.
    pub fn newest(&self) -> Option<&Arc<Configuration>> {
        self.recent.back()
    }

    /// Adds a newer configuration; older ones are ignored. Unchanged routes share memory with the previous
    /// configuration.
    pub fn push(&mut self, newer: Configuration) {
        let newer = match self.newest() {
            Some(newest) if newest.version >= newer.version => return,
            Some(newest) => share_routes(newest, newer),
            None => newer,
        };
        self.add(Arc::new(newer));
    }

    /// Adds a newer configuration that already shares memory with earlier ones; older ones are ignored.
    pub fn push_shared(&mut self, newer: &Arc<Configuration>) {
        if self
            .newest()
            .is_none_or(|newest| newest.version < newer.version)
        {
            self.add(newer.clone());
        }
    }

    fn add(&mut self, newer: Arc<Configuration>) {
        self.recent.push_back(newer);
        if self.recent.len() > MAX_RETAINED {
            self.recent.pop_front();
        }
    }

    /// The encoded change from the newest configuration to `newer`; empty if the newest does not have version `base`.
    pub fn change_to(&self, base: u64, newer: &Configuration) -> Vec<u8> {
        match self.newest().filter(|newest| newest.version == base) {
            Some(newest) => encode_change(&ConfigurationChange::between(newest, newer)),
            None => Vec::new(),
        }
    }

    /// Adds a newer configuration, given as an encoded change of the newest one. Returns whether it was applied.
    pub fn apply_change(&mut self, version: u64, change: &[u8]) -> bool {
        let Some(newest) = self.newest().cloned() else {
            return false;
        };
        let Ok(change) = decode_change(change) else {
            return false;
        };
        if change.base != newest.version || change.version != version || version <= newest.version {
            return false;
        }
        self.add(Arc::new(change.apply_to(&newest)));
        true
    }

    /// The change from a version to the newest one, if it is small enough to be sent inline with the feed.
    pub fn inline_change(&mut self, base: u64) -> Option<ConfigurationChunk> {
        if self.newest()?.version <= base {
            return None;
        }
        let transfer = self.transfer_from(base)?;
        (transfer.bytes.len() <= MAX_INLINE_BYTES).then(|| transfer.chunk(0))
    }

    /// The requested chunk of the transfer in progress, or else the first chunk of the change to the newest version.
    /// `None` if the caller has the newest version, or there is no configuration.
    pub fn chunk(&mut self, fetch: &ConfigurationFetch) -> Option<ConfigurationChunk> {
        let in_progress = fetch
            .transfer
            .and_then(|id| self.position(|transfer| transfer.id == id));
        if let Some(position) = in_progress {
            let chunk = self.mark_used(position)?.chunk(fetch.offset);
            return Some(chunk);
        }
        if self.newest()?.version <= fetch.base {
            return None;
        }
        let transfer = self.transfer_from(fetch.base)?;
        // The transfer may have been started at another source; then it resumes at its offset.
        let offset = if fetch.transfer == Some(transfer.id) {
            fetch.offset
        } else {
            0
        };
        Some(transfer.chunk(offset))
    }

    fn position(&self, predicate: impl Fn(&Transfer) -> bool) -> Option<usize> {
        self.transfers.iter().position(predicate)
    }

    /// Marks a transfer as the most recently used.
    fn mark_used(&mut self, position: usize) -> Option<&Transfer> {
        let transfer = self.transfers.remove(position)?;
        self.transfers.push_back(transfer);
        self.transfers.back()
    }

    /// The change from a version to the newest one; the complete configuration if the version is no longer retained.
    fn transfer_from(&mut self, base: u64) -> Option<&Transfer> {
        let newest = self.newest()?.clone();
        let empty = Arc::new(Configuration::default());
        let retained = self
            .recent
            .iter()
            .find(|configuration| configuration.version == base);
        let base = retained.cloned().unwrap_or(empty);
        let has_versions = |transfer: &Transfer| {
            (transfer.id.base, transfer.id.version) == (base.version, newest.version)
        };
        if let Some(position) = self.position(has_versions) {
            return self.mark_used(position);
        }
        let bytes = encode_change(&ConfigurationChange::between(&base, &newest));
        let id = TransferId {
            base: base.version,
            version: newest.version,
            checksum: fnv1a(&bytes),
        };
        self.transfers.push_back(Transfer { id, bytes });
        self.evict_transfers();
        self.transfers.back()
    }

    fn evict_transfers(&mut self) {
        while self.transfers.len() > MIN_CACHED_TRANSFERS && self.cached_bytes() > MAX_CACHED_BYTES
        {
            self.transfers.pop_front();
        }
    }

    fn cached_bytes(&self) -> usize {
        self.transfers
            .iter()
            .map(|transfer| transfer.bytes.len())
            .sum()
    }
}

impl Transfer {
    /// The chunk at an offset; an empty chunk at the end of the transfer.
    fn chunk(&self, offset: u64) -> ConfigurationChunk {
        let length = self.bytes.len();
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(length);
        let end = (start + CHUNK_BYTES).min(length);
        ConfigurationChunk {
            transfer: self.id,
            length: length as u64,
            offset: start as u64,
            bytes: self.bytes[start..end].to_vec(),
        }
    }
}

/// Replaces routes that are equal in an older configuration by references to the older objects.
fn share_routes(older: &Configuration, newer: Configuration) -> Configuration {
    let shared = |route: &Arc<Route>| match older.routes.get(&route.name) {
        Some(known) if known == route => known.clone(),
        _ => route.clone(),
    };
    Configuration {
        routes: newer.routes.iter().map(shared).collect(),
        ..newer
    }
}
