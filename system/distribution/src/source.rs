//! The sending side: the newest configuration, and what leads to it from those before.
use crate::{
    change::ConfigurationChange,
    encoding::{decode_change, encode_change},
};
use magpiegap_jobs::{Configuration, Route};
use magpiegap_protocol::{fnv1a, ConfigurationChunk, ConfigurationFetch, TransferId};
use std::{collections::VecDeque, sync::Arc};

/// Length of a part, in bytes. At 2 Mbit/s it holds the link up for 65 ms, so that other messages pass between parts.
pub const CHUNK_BYTES: usize = 16 << 10;
/// A change of this many bytes at most goes with the news themselves.
const MOST_WITH_NEWS: usize = 2 << 10;
/// Configurations that are remembered: receivers that have an older one get the whole of the newest.
const REMEMBERED: usize = 16;
/// Encoded changes that are kept at least, however large they are.
const LEAST_TRANSFERS: usize = 4;
/// Bytes of encoded changes beyond which the ones that were not asked for the longest are dropped.
const MOST_TRANSFER_BYTES: usize = 4 << 20;

/// An encoded change.
struct Transfer {
    id: TransferId,
    bytes: Vec<u8>,
}

/// The newest configuration and what leads to it.
#[derive(Default)]
pub struct ConfigurationSource {
    /// The newest one last.
    recent: VecDeque<Arc<Configuration>>,
    /// The one that was asked for last at the end.
    transfers: VecDeque<Transfer>,
}

impl ConfigurationSource {
    /// The newest configuration.
    pub fn newest(&self) -> Option<&Arc<Configuration>> {
        self.recent.back()
    }

    /// Takes a newer configuration. Routes that are as they were share the memory of those before. Others than a newer one
    /// are ignored.
    pub fn push(&mut self, newer: Configuration) {
        let newer = match self.newest() {
            Some(newest) if newest.version >= newer.version => return,
            Some(newest) => share_routes(newest, newer),
            None => newer,
        };
        self.add(Arc::new(newer));
    }

    /// Takes a newer configuration that shares its routes with those before already. Others than a newer one are ignored.
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
        if self.recent.len() > REMEMBERED {
            self.recent.pop_front();
        }
    }

    /// What leads to a configuration from the newest one, encoded; empty where that does not have the version wanted.
    pub fn change_to(&self, base: u64, newer: &Configuration) -> Vec<u8> {
        match self.newest().filter(|newest| newest.version == base) {
            Some(newest) => encode_change(&ConfigurationChange::between(newest, newer)),
            None => Vec::new(),
        }
    }

    /// Takes a newer configuration by what leads to it from the newest one. Returns whether that could be done.
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

    /// What leads to the newest configuration from a version, where it is small enough to go with the news.
    pub fn small_change(&mut self, base: u64) -> Option<ConfigurationChunk> {
        if self.newest()?.version <= base {
            return None;
        }
        let transfer = self.transfer_from(base)?;
        (transfer.bytes.len() <= MOST_WITH_NEWS).then(|| transfer.chunk(0))
    }

    /// The part that is asked for: of the transfer under way, or the first one of what leads to the newest configuration.
    /// `None`: the caller has the newest one, or there is none.
    pub fn chunk(&mut self, fetch: &ConfigurationFetch) -> Option<ConfigurationChunk> {
        let under_way = fetch
            .transfer
            .and_then(|id| self.position(|transfer| transfer.id == id));
        if let Some(position) = under_way {
            let chunk = self.used(position)?.chunk(fetch.offset);
            return Some(chunk);
        }
        if self.newest()?.version <= fetch.base {
            return None;
        }
        let transfer = self.transfer_from(fetch.base)?;
        // The same transfer may have been begun at another source.
        let offset = if fetch.transfer == Some(transfer.id) {
            fetch.offset
        } else {
            0
        };
        Some(transfer.chunk(offset))
    }

    fn position(&self, wanted: impl Fn(&Transfer) -> bool) -> Option<usize> {
        self.transfers.iter().position(wanted)
    }

    /// Takes note that a transfer is in use.
    fn used(&mut self, position: usize) -> Option<&Transfer> {
        let transfer = self.transfers.remove(position)?;
        self.transfers.push_back(transfer);
        self.transfers.back()
    }

    /// What leads to the newest configuration from a version; from one that is not remembered the whole.
    fn transfer_from(&mut self, base: u64) -> Option<&Transfer> {
        let newest = self.newest()?.clone();
        let nothing = Arc::new(Configuration::default());
        let remembered = self
            .recent
            .iter()
            .find(|configuration| configuration.version == base);
        let base = remembered.cloned().unwrap_or(nothing);
        let same = |transfer: &Transfer| {
            (transfer.id.base, transfer.id.version) == (base.version, newest.version)
        };
        if let Some(position) = self.position(same) {
            return self.used(position);
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
        let bytes = |transfers: &VecDeque<Transfer>| -> usize {
            transfers.iter().map(|transfer| transfer.bytes.len()).sum()
        };
        while self.transfers.len() > LEAST_TRANSFERS && bytes(&self.transfers) > MOST_TRANSFER_BYTES
        {
            self.transfers.pop_front();
        }
    }
}

impl Transfer {
    /// The part that begins at an offset; an empty one at the end.
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

/// A configuration whose routes that are also in an older one are the very same objects.
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
