//! Who lives, what each has announced, and between whom nothing passes. Owns that, from what the lab does and sees.
use super::header::Header;
use crate::experiment::Millis;
use std::collections::HashMap;

/// One balancer, as its peers could know it.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub tier: usize,
    pub place: u16,
    /// Since when it has spoken with the versions that it announces now; nothing while it can't act.
    pub since: Option<Millis>,
    /// The lowest and the highest version that it reads, since its last start.
    pub reads: Option<(u8, u8)>,
    runs: bool,
}

/// All of them.
pub(super) struct Members {
    all: Vec<Member>,
    /// Cuts between two, and when the last was healed.
    parted: HashMap<(usize, usize), (u32, Millis)>,
    /// Hardly any datagram arrives, and when that was over.
    muffled: (u32, Millis),
    /// When anybody last came, went, or began to read other versions.
    changed: Millis,
}

impl Members {
    /// By tier and place in its list.
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
            parted: HashMap::new(),
            muffled: (0, f64::NEG_INFINITY),
            changed: 0.0,
        }
    }

    pub(super) fn get(&self, b: usize) -> &Member {
        &self.all[b]
    }

    /// A process of it begins: what it read before is no longer announced.
    pub(super) fn starts(&mut self, b: usize, now: Millis) {
        let m = &mut self.all[b];
        (m.since, m.reads, m.runs) = (None, None, true);
        self.changed = now;
    }

    /// It can't act any more, or is asked to end.
    pub(super) fn stops(&mut self, b: usize, now: Millis) {
        let m = &mut self.all[b];
        (m.since, m.runs) = (None, false);
        self.changed = now;
    }

    /// One that was paused goes on.
    pub(super) fn goes_on(&mut self, b: usize, now: Millis) {
        self.all[b].runs = true;
        self.changed = now;
    }

    /// Nothing passes from one to another, or does again.
    pub(super) fn part(&mut self, from: usize, to: usize, parts: bool, now: Millis) {
        let pair = (from.min(to), from.max(to));
        let entry = self.parted.entry(pair).or_insert((0, f64::NEG_INFINITY));
        *entry = if parts {
            (entry.0 + 1, entry.1)
        } else {
            (entry.0.saturating_sub(1), now)
        };
        self.changed = now;
    }

    /// So little arrives that nobody can be sure of anybody, or that is over.
    pub(super) fn muffle(&mut self, muffles: bool, now: Millis) {
        let m = &mut self.muffled;
        *m = if muffles {
            (m.0 + 1, m.1)
        } else {
            (m.0.saturating_sub(1), now)
        };
        self.changed = now;
    }

    /// It sends this.
    pub(super) fn record_version(&mut self, b: usize, header: &Header, now: Millis) {
        let m = &mut self.all[b];
        // What it sent before it was ended may be read after.
        if !m.runs {
            return;
        }
        if m.since.is_none() || m.reads != Some(header.reads) {
            (m.since, m.reads) = (Some(now), Some(header.reads));
            self.changed = now;
        }
    }

    /// For how long two of a tier have lived, spoken as now and reached each other.
    pub(super) fn known_for(&self, a: usize, b: usize, now: Millis) -> Option<Millis> {
        let pair = (a.min(b), a.max(b));
        let (cuts, healed) = self
            .parted
            .get(&pair)
            .copied()
            .unwrap_or((0, f64::NEG_INFINITY));
        if cuts > 0 || self.muffled.0 > 0 {
            return None;
        }
        // What was before the run began counts for nothing.
        let since = self.all[a]
            .since?
            .max(self.all[b].since?)
            .max(healed)
            .max(self.muffled.1)
            .max(0.0);
        Some(now - since)
    }

    /// The others of its tier.
    pub(super) fn others(&self, b: usize) -> impl Iterator<Item = usize> + '_ {
        let tier = self.all[b].tier;
        (0..self.all.len()).filter(move |&o| o != b && self.all[o].tier == tier)
    }

    /// The highest version that everybody of its tier reads, and for how long nothing has changed in any tier. Nothing
    /// while anybody is cut off or silent.
    pub(super) fn common(&self, b: usize, now: Millis) -> Option<(u8, Millis)> {
        if self.muffled.0 > 0 || self.parted.values().any(|p| p.0 > 0) {
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
