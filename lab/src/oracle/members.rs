//! Owns the liveness of members, the versions that each has announced, and the partitions between them, derived from
//! what the lab does and observes.
use super::header::Header;
use crate::experiment::Millis;
use std::collections::HashMap;

/// One balancer, as its peers can know it.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub tier: usize,
    pub place: u16,
    /// When it first announced its current versions; none while it cannot act.
    pub since: Option<Millis>,
    /// Lowest and highest version that it has announced since its last start.
    pub reads: Option<(u8, u8)>,
    runs: bool,
}

/// All members.
pub(super) struct Members {
    all: Vec<Member>,
    /// Number of active partitions between two members, and when the last one healed.
    partitions: HashMap<(usize, usize), (u32, Millis)>,
    /// Number of active faults with heavy datagram loss, and when the last one ended.
    heavy_loss: (u32, Millis),
    /// When a member last started, stopped or changed its versions, or connectivity changed.
    changed: Millis,
}

impl Members {
    /// Creates the members from their tier and their index in its member list.
    pub(super) fn new(all: impl Iterator<Item = (usize, usize)>) -> Members {
        let member = |(tier, place): (usize, usize)| Member {
            tier,
            place: u16::try_from(place).unwrap_or(u16::MAX),
            since: None,
            reads: None,
            runs: true,
        };
        Members {
            all: all.map(member).collect(),
            partitions: HashMap::new(),
            heavy_loss: (0, f64::NEG_INFINITY),
            changed: 0.0,
        }
    }

    pub(super) fn get(&self, b: usize) -> &Member {
        &self.all[b]
    }

    /// Records that a process of a member starts: its previous announcements no longer hold.
    pub(super) fn started(&mut self, b: usize, now: Millis) {
        let m = &mut self.all[b];
        (m.since, m.reads, m.runs) = (None, None, true);
        self.changed = now;
    }

    /// Records that a member can no longer act or is asked to shut down.
    pub(super) fn stopped(&mut self, b: usize, now: Millis) {
        let m = &mut self.all[b];
        (m.since, m.runs) = (None, false);
        self.changed = now;
    }

    /// Records that a paused member resumes.
    pub(super) fn resumed(&mut self, b: usize, now: Millis) {
        self.all[b].runs = true;
        self.changed = now;
    }

    /// Records that a partition between two members begins or heals.
    pub(super) fn set_partitioned(
        &mut self,
        from: usize,
        to: usize,
        partitioned: bool,
        now: Millis,
    ) {
        let pair = (from.min(to), from.max(to));
        let entry = self
            .partitions
            .entry(pair)
            .or_insert((0, f64::NEG_INFINITY));
        *entry = if partitioned {
            (entry.0 + 1, entry.1)
        } else {
            (entry.0.saturating_sub(1), now)
        };
        self.changed = now;
    }

    /// Records that datagram loss too heavy for failure detection begins or ends.
    pub(super) fn set_heavy_loss(&mut self, begins: bool, now: Millis) {
        let m = &mut self.heavy_loss;
        *m = if begins {
            (m.0 + 1, m.1)
        } else {
            (m.0.saturating_sub(1), now)
        };
        self.changed = now;
    }

    /// Records the versions that a datagram of a member announces.
    pub(super) fn record_version(&mut self, b: usize, header: &Header, now: Millis) {
        let m = &mut self.all[b];
        // The lab may read datagrams after the process that sent them was stopped.
        if !m.runs {
            return;
        }
        if m.since.is_none() || m.reads != Some(header.reads) {
            (m.since, m.reads) = (Some(now), Some(header.reads));
            self.changed = now;
        }
    }

    /// Returns for how long two members of a tier have been alive with their current versions and able to reach each
    /// other.
    pub(super) fn known_for(&self, a: usize, b: usize, now: Millis) -> Option<Millis> {
        let pair = (a.min(b), a.max(b));
        let (cuts, healed) = self
            .partitions
            .get(&pair)
            .copied()
            .unwrap_or((0, f64::NEG_INFINITY));
        if cuts > 0 || self.heavy_loss.0 > 0 {
            return None;
        }
        // Time before the start of the run does not count.
        let since = self.all[a]
            .since?
            .max(self.all[b].since?)
            .max(healed)
            .max(self.heavy_loss.1)
            .max(0.0);
        Some(now - since)
    }

    /// Returns the other members of its tier.
    pub(super) fn others(&self, b: usize) -> impl Iterator<Item = usize> + '_ {
        let tier = self.all[b].tier;
        (0..self.all.len()).filter(move |&o| o != b && self.all[o].tier == tier)
    }

    /// Returns the highest version that all running members of its tier support, and for how long nothing has changed
    /// in any tier. None while a partition or heavy loss is active or a running member has not announced its versions.
    pub(super) fn common(&self, b: usize, now: Millis) -> Option<(u8, Millis)> {
        if self.heavy_loss.0 > 0 || self.partitions.values().any(|p| p.0 > 0) {
            return None;
        }
        let own = self.all[b].reads?;
        let mut common = own.1;
        for other in self.others(b).map(|o| &self.all[o]).filter(|o| o.runs) {
            other.since?;
            common = common.min(other.reads?.1);
        }
        Some((common, now - self.changed.max(0.0)))
    }
}
