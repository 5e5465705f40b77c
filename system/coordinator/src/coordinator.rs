//! The coordinator: takes inputs, and says what to send, keep, call and answer.
use crate::{
    counters::Counters,
    lapse::Lapse,
    machine::Machine,
    outputs::Output,
    settings::CoordinatorSettings,
    under_way::{Pending, Proposal, Reader, Waiter, WaitingRead},
};
use magpiegap_control::{DurableState, Output as ControlOutput, Replica, TimeOfDay};
use magpiegap_distribution::ConfigurationSource;
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{Feed, Millis, PlatformList, Role, ViewNumber, WallMillis};
use magpiegap_scheduler::Scheduler;
use std::collections::BTreeMap;

/// A coordinator.
pub struct Coordinator {
    pub(crate) settings: CoordinatorSettings,
    pub(crate) replica: Replica,
    pub(crate) machine: Machine,
    /// The configuration in force, and those before it.
    pub(crate) configurations: ConfigurationSource,
    pub(crate) schedulers: BTreeMap<String, Scheduler>,
    pub(crate) reader: Option<Reader>,
    pub(crate) platform: Option<PlatformList>,
    pub(crate) vacant_since: BTreeMap<Role, Millis>,
    pub(crate) proposals: BTreeMap<u64, Proposal>,
    pub(crate) next_sequence: u64,
    pub(crate) last_proposed_at: Millis,
    pub(crate) pending: BTreeMap<u64, Pending>,
    /// Questions that wait until the view is confirmed.
    pub(crate) reads: Vec<WaitingRead>,
    /// How long there has been no contact with a majority of the voters.
    pub(crate) without_contact: Lapse,
    /// How long this coordinator has not known what is acknowledged.
    pub(crate) uninformed: Lapse,
    pub(crate) next_pending: u64,
    pub(crate) feed: Feed,
    pub(crate) waiters: Vec<Waiter>,
    /// Roles may be acted on before this time.
    pub(crate) lease_until: Millis,
    /// The view in which something was proposed, and whether that is committed: then all that was proposed in earlier
    /// views is settled.
    pub(crate) entered_view: Option<ViewNumber>,
    pub(crate) settled_in_view: bool,
    pub(crate) leaving: bool,
    pub(crate) now: Millis,
    pub(crate) time_of_day: TimeOfDay,
    /// The middle one of the times of day of all coordinators.
    pub(crate) wall: WallMillis,
    pub(crate) counters: Counters,
    /// About how long a proposal takes until it is applied here.
    pub(crate) commit_ms: Millis,
    pub(crate) out: Vec<Output>,
}

impl Coordinator {
    /// A coordinator that has just started, with what was on its disk, and with the machine recovered from that.
    pub fn new(
        settings: CoordinatorSettings,
        durable: DurableState,
        machine: Machine,
        now: Millis,
    ) -> Coordinator {
        let replica = Replica::new(settings.control.clone(), durable, now);
        let mut coordinator = Coordinator {
            settings,
            replica,
            machine,
            configurations: ConfigurationSource::default(),
            schedulers: BTreeMap::new(),
            reader: None,
            platform: None,
            vacant_since: BTreeMap::new(),
            proposals: BTreeMap::new(),
            next_sequence: 0,
            last_proposed_at: 0,
            pending: BTreeMap::new(),
            reads: Vec::new(),
            without_contact: Lapse::default(),
            uninformed: Lapse::default(),
            next_pending: 0,
            feed: Feed::default(),
            waiters: Vec::new(),
            lease_until: 0,
            entered_view: None,
            settled_in_view: false,
            leaving: false,
            now,
            time_of_day: TimeOfDay::default(),
            wall: WallMillis(0),
            counters: Counters::default(),
            commit_ms: 0,
            out: Vec::new(),
        };
        coordinator.follow_configuration();
        coordinator.refresh_feed();
        coordinator
    }

    /// The replica below.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The replicated state.
    pub fn state(&self) -> &magpiegap_jobs::State {
        &self.machine.state
    }

    /// The configuration that it goes by; `None`: there is none yet.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configurations.newest().map(AsRef::as_ref)
    }

    /// A connection to the coordinator at an address was refused.
    pub fn handle_connection_refused(&mut self, now: Millis, address: u32) {
        self.replica.handle_connection_refused(address, now);
    }

    /// Replaces the addresses at which other coordinators may be found.
    pub fn set_seeds(&mut self, seeds: &[u32]) {
        self.replica.set_seeds(seeds);
    }

    /// Whether it was told to leave, and the others go on without it.
    pub fn has_left(&self) -> bool {
        self.leaving && self.replica.view().position(&self.replica.own()).is_none()
    }

    /// Hands its roles on: the process is about to end.
    pub fn leave(&mut self, now: Millis) {
        self.now = now;
        self.leaving = true;
        self.replica.leave(now);
    }

    pub(crate) fn log(&mut self, line: String) {
        self.out.push(Output::Control(ControlOutput::Log(line)));
    }

    /// Takes note of the time. Returns the time of day of this machine, without the jumps of its clock.
    pub(crate) fn begin_step(&mut self, now: Millis, clock: WallMillis) -> WallMillis {
        let own_wall = self.time_of_day.read(now, clock);
        self.now = now;
        self.wall = self.replica.median_wall(own_wall, now);
        own_wall
    }
}
