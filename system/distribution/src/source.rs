//! The sending side: the newest configuration, and the changes to it from earlier versions. It makes no calls.
use crate::{
    change::ConfigurationChange,
    encoding::{decode_change, encode_change},
};
use magpiegap_jobs::{Configuration, Route};
use magpiegap_protocol::{fnv1a, ConfigurationChunk, ConfigurationFetch, TransferId};
use std::{collections::VecDeque, sync::Arc};

/// Length of a chunk, in bytes. At 2 Mbit/s it occupies the link for 65 ms, so that other messages pass between chunks.
pub const CHUNK_BYTES: usize = 16 << 10;
/// Maximum length of a change that is sent with the feed itself, in bytes.
const MAX_INLINE_BYTES: usize = 2 << 10;
/// Configurations that are remembered: receivers that have an older one get the newest one completely.
const MAX_REMEMBERED: usize = 16;
/// Number of encoded changes that are cached however large they are.
const MIN_CACHED_TRANSFERS: usize = 4;
/// Bytes of encoded changes above which the least recently used are dropped.
const MAX_CACHED_BYTES: usize = 4 << 20;

/// An encoded change.
struct Transfer {
    id: TransferId,
    bytes: Vec<u8>,
}

/// The newest configuration, and a cache of the changes to it.
#[derive(Default)]
pub struct ConfigurationSource {
    /// The newest one is last.
    recent: VecDeque<Arc<Configuration>>,
    /// Encoded changes; the most recently used is last.
    transfers: VecDeque<Transfer>,
}

impl ConfigurationSource {
    /// The newest configuration.
    pub fn newest(&self) -> Option<&Arc<Configuration>> {
        self.recent.back()
    }

    /// Takes a newer configuration; others are ignored. Routes that did not change share the memory of the earlier ones.
    pub fn push(&mut self, newer: Configuration) {
        let newer = match self.newest() {
            Some(newest) if newest.version >= newer.version => return,
            Some(newest) => share_routes(newest, newer),
            None => newer,
        };
        self.add(Arc::new(newer));
    }

    /// Takes a newer configuration that shares its routes with the earlier ones already; others are ignored.
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
        if self.recent.len() > MAX_REMEMBERED {
            self.recent.pop_front();
        }
    }

    /// The encoded change from the newest configuration to a newer one; empty when the newest does not have version `base`.
    pub fn change_to(&self, base: u64, newer: &Configuration) -> Vec<u8> {
        match self.newest().filter(|newest| newest.version == base) {
            Some(newest) => encode_change(&ConfigurationChange::between(newest, newer)),
            None => Vec::new(),
        }
    }

    /// Takes a newer configuration as an encoded change of the newest one. Returns whether it could be applied.
    pub fn follow(&mut self, version: u64, change: &[u8]) -> bool {
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

    /// The change from a version to the newest one, where it is small enough to be sent with the feed.
    pub fn inline_change(&mut self, base: u64) -> Option<ConfigurationChunk> {
        if self.newest()?.version <= base {
            return None;
        }
        let transfer = self.transfer_from(base)?;
        (transfer.bytes.len() <= MAX_INLINE_BYTES).then(|| transfer.chunk(0))
    }

    /// The chunk that is requested: of the transfer in progress, or the first one of the change to the newest version.
    /// `None`: the caller has the newest one, or there is none.
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
        // The same transfer may have been started at another source.
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

    /// The change from a version to the newest one; the complete configuration for a version that is not remembered.
    fn transfer_from(&mut self, base: u64) -> Option<&Transfer> {
        let newest = self.newest()?.clone();
        let empty = Arc::new(Configuration::default());
        let remembered = self
            .recent
            .iter()
            .find(|configuration| configuration.version == base);
        let base = remembered.cloned().unwrap_or(empty);
        let is_wanted = |transfer: &Transfer| {
            (transfer.id.base, transfer.id.version) == (base.version, newest.version)
        };
        if let Some(position) = self.position(is_wanted) {
            return self.mark_used(position);
        }
        let bytes = encode_change(&ConfigurationChange::between(&base, &newest));
        let id = TransferId {
            base: base.version,
            version: newest.version,
            checksum: fnv1a(&bytes),
        };
        self.transfers.push_back(Transfer { id, bytes });
        self.drop_old_transfers();
        self.transfers.back()
    }

    fn drop_old_transfers(&mut self) {
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
    /// The chunk that starts at an offset; an empty one at the end.
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

/// Replaces the routes that an older configuration has as well by the same objects.
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
