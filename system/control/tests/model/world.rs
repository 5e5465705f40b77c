//! A state of the model: machines with their disks and processes, messages in flight, the remaining budget of steps,
//! and the first violation found.
use crate::common::{counting_state::CountingState, disk_change::DiskChange};
use magpiegap_control::{DurableState, Replica, StateMachine};
use magpiegap_protocol::{Member, Millis, PeerMessage, ProposalId, ReplicaId, ViewNumber};
use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    hash::{DefaultHasher, Hash, Hasher},
};

/// The time that passes in one tick.
pub(crate) const TICK_MS: Millis = 110;
/// Maximum number of reads in flight. Reads are sent to machines that consider themselves the tail.
pub(crate) const MAX_PENDING_READS: usize = 2;

/// How often each kind of step may still occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub ticks: u8,
    pub writes: u8,
    pub reads: u8,
    pub lost_messages: u8,
    pub kills: u8,
    pub power_losses: u8,
    pub wipes: u8,
    /// Disks that are restored from an earlier copy.
    pub restores: u8,
    pub partitions: u8,
    pub freezes: u8,
}

pub(crate) const EMPTY_BUDGET: Budget = Budget {
    ticks: 0,
    writes: 0,
    reads: 0,
    lost_messages: 0,
    kills: 0,
    power_losses: 0,
    wipes: 0,
    restores: 0,
    partitions: 0,
    freezes: 0,
};

/// A machine with its disk and, while it runs, its process.
#[derive(Clone)]
pub(crate) struct Machine {
    /// What a process would read if it started now.
    pub disk: DurableState,
    /// The part of `disk` that survives a power loss.
    pub synced: DurableState,
    /// An earlier copy of the disk.
    pub copy: Option<Box<DurableState>>,
    /// The process has reported the disk as superseded.
    pub is_superseded: bool,
    /// Changes submitted to the disk and not synced yet, with their tickets.
    pub pending: VecDeque<(u64, DiskChange)>,
    pub process: Option<(Replica, CountingState)>,
    pub is_partitioned: bool,
    pub is_frozen: bool,
}

/// A read in flight at a tail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Read {
    pub machine: usize,
    pub since: Millis,
    /// The newest entry acknowledged to any client when the read started.
    pub acknowledged: u64,
}

/// A state of the model.
#[derive(Clone)]
pub(crate) struct World {
    pub now: Millis,
    pub machines: Vec<Machine>,
    pub links: BTreeMap<(usize, usize), VecDeque<(ReplicaId, PeerMessage)>>,
    pub budget: Budget,
    pub incarnations: u64,
    pub proposals: u64,
    /// The proposal that was first applied at each index by any replica. It counts as acknowledged from then on.
    pub history: BTreeMap<u64, ProposalId>,
    pub reads: Vec<Read>,
    pub violation: Option<String>,
}

pub(crate) fn address(machine: usize) -> u32 {
    machine as u32 + 1
}

impl World {
    pub(crate) fn new(size: usize, tolerance: usize, budget: Budget) -> World {
        let voters: Vec<Member> = (0..size)
            .map(|machine| Member {
                address: address(machine),
                disk: 0,
            })
            .collect();
        let empty = DurableState::empty(
            0,
            Some(ViewNumber(0)),
            voters.clone(),
            CountingState::default().snapshot(),
        );
        let machine = |_| Machine {
            disk: empty.clone(),
            synced: empty.clone(),
            copy: None,
            is_superseded: false,
            pending: VecDeque::new(),
            process: None,
            is_partitioned: false,
            is_frozen: false,
        };
        let mut world = World {
            now: 0,
            machines: (0..size).map(machine).collect(),
            links: BTreeMap::new(),
            budget,
            incarnations: 0,
            proposals: 0,
            history: BTreeMap::new(),
            reads: Vec::new(),
            violation: None,
        };
        for machine in 0..size {
            world.start(machine, tolerance);
        }
        world
    }

    pub(crate) fn is_responsive(&self, machine: usize) -> bool {
        self.machines[machine].process.is_some() && !self.machines[machine].is_frozen
    }

    pub(crate) fn replica(&self, machine: usize) -> Option<&Replica> {
        self.machines[machine]
            .process
            .as_ref()
            .map(|(replica, _)| replica)
    }

    /// A hash that identifies the world.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

impl fmt::Debug for World {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for machine in &self.machines {
            let process = machine
                .process
                .as_ref()
                .map(|(replica, state)| (replica, state.position()));
            write!(
                f,
                "{:?} {process:?} ",
                (&machine.pending, machine.is_partitioned, machine.is_frozen)
            )?;
            write!(
                f,
                "{:?} {:?} ",
                machine.disk.agreement, machine.disk.entries
            )?;
            write!(
                f,
                "{:?} {:?} ",
                machine.synced.agreement, machine.synced.entries
            )?;
        }
        write!(
            f,
            "{} {:?} {:?} {:?} {:?}",
            self.now, self.links, self.budget, self.reads, self.violation
        )
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.digest() == other.digest()
    }
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest().hash(state);
    }
}
