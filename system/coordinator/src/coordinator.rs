//! The coordinator's state, its start, and what may be read of it.
//!
//! The inputs and what follows from each stand in [`crate::steps`]; each concern (roles, proposals, requests, reads,
//! feed, platform list) has a module with its part of the implementation.
use crate::{
    counters::Counters, job_query::PendingRead, machine::Machine, operation::PendingOperations,
    outage::Outage, outputs::Output, pending_poll::PendingPoll, platform_reader::PlatformReader,
    proposal::Proposal, settings::CoordinatorSettings,
};
use magpiegap_control::{DurableState, Output as ControlOutput, Replica, TimeOfDay};
use magpiegap_distribution::ConfigurationSource;
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{Feed, Millis, Role, ViewNumber, WallMillis, WorkerList};
use magpiegap_scheduler::Scheduler;
use std::collections::BTreeMap;

/// A coordinator: a replica of the state, the roles that it holds, and the requests that it responds to.
///
/// It does no I/O: inputs come with the time, and [`Coordinator::poll_outputs`] returns what to do.
pub struct Coordinator {
    pub(crate) settings: CoordinatorSettings,
    pub(crate) replica: Replica,
    pub(crate) machine: Machine,
    /// The configuration in force, and those before it.
    pub(crate) configurations: ConfigurationSource,
    /// The schedulers of the roles held here, by service.
    pub(crate) schedulers: BTreeMap<String, Scheduler>,
    /// The reader of the platform's list, where its role is held here.
    pub(crate) platform_reader: Option<PlatformReader>,
    /// The newest list of workers known, whoever has read it.
    pub(crate) platform_list: Option<WorkerList>,
    pub(crate) roles_vacant_since: BTreeMap<Role, Millis>,
    /// Proposals in flight, by their sequence number.
    pub(crate) proposals: BTreeMap<u64, Proposal>,
    /// The last number given to a proposal or a call to the platform.
    pub(crate) last_sequence: u64,
    pub(crate) last_proposed_at: Millis,
    pub(crate) operations: PendingOperations,
    /// Queries that wait until the view is confirmed.
    pub(crate) pending_reads: Vec<PendingRead>,
    /// How long there has been no contact with a majority of the voters.
    pub(crate) contact_outage: Outage,
    /// How long this coordinator has not known what is acknowledged.
    pub(crate) information_outage: Outage,
    pub(crate) feed: Feed,
    pub(crate) pending_polls: Vec<PendingPoll>,
    /// Roles may be acted on before this time.
    pub(crate) lease_expiry: Millis,
    /// The view in which something was proposed.
    pub(crate) entered_view: Option<ViewNumber>,
    /// The first proposal in that view is committed: all that was proposed in earlier views is committed too, or lost.
    pub(crate) has_committed_in_view: bool,
    /// Its roles are handed over: the process is about to end.
    pub(crate) draining: bool,
    pub(crate) now: Millis,
    pub(crate) time_of_day: TimeOfDay,
    /// The median of the times of day of all coordinators.
    pub(crate) median_wall: WallMillis,
    pub(crate) counters: Counters,
    /// Moving average of the time from a proposal until it is applied here.
    pub(crate) commit_latency_ms: Millis,
    pub(crate) outputs: Vec<Output>,
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
            platform_reader: None,
            platform_list: None,
            roles_vacant_since: BTreeMap::new(),
            proposals: BTreeMap::new(),
            last_sequence: 0,
            last_proposed_at: 0,
            operations: PendingOperations::default(),
            pending_reads: Vec::new(),
            contact_outage: Outage::default(),
            information_outage: Outage::default(),
            feed: Feed::default(),
            pending_polls: Vec::new(),
            lease_expiry: 0,
            entered_view: None,
            has_committed_in_view: false,
            draining: false,
            now,
            time_of_day: TimeOfDay::default(),
            median_wall: WallMillis(0),
            counters: Counters::default(),
            commit_latency_ms: 0,
            outputs: Vec::new(),
        };
        coordinator.update_configuration();
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

    /// The configuration in force; `None`: there is none yet.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configurations.newest().map(AsRef::as_ref)
    }

    /// Handles that a connection to the coordinator at an address was refused.
    pub fn handle_connection_refused(&mut self, now: Millis, address: u32) {
        self.replica.handle_connection_refused(address, now);
    }

    /// Replaces the addresses at which other coordinators may be found.
    pub fn set_seeds(&mut self, seeds: &[u32]) {
        self.replica.set_seeds(seeds);
    }

    /// Whether it is draining, and the others go on without it.
    pub fn has_departed(&self) -> bool {
        self.draining && self.replica.view().position(&self.replica.own()).is_none()
    }

    /// Hands its roles over: the process is about to end.
    pub fn drain(&mut self, now: Millis) {
        self.now = now;
        self.draining = true;
        self.replica.drain(now);
    }

    pub(crate) fn log(&mut self, line: String) {
        self.outputs.push(Output::Control(ControlOutput::Log(line)));
    }

    /// Moves the clocks on. Returns the time of day of this machine, without the jumps of its clock.
    pub(crate) fn advance_clocks(&mut self, now: Millis, clock: WallMillis) -> WallMillis {
        let own_wall = self.time_of_day.read(now, clock);
        self.now = now;
        self.median_wall = self.replica.median_time_of_day(own_wall, now);
        own_wall
    }
}
