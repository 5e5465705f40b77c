//! State, construction and accessors of the coordinator.
//!
//! [`crate::event_handlers`] processes inputs. Roles, proposals, requests, reads, the feed and the platform list are
//! implemented in a module each.
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

/// The longest turn should take at most this part of the suspicion timeout.
const TURNS_PER_SUSPICION: Millis = 10;

/// A coordinator: a replica of the state, the singleton roles that it holds, and its pending requests.
///
/// It does no I/O. Every input carries the current time, and [`Coordinator::poll_outputs`] returns the effects to
/// perform.
pub struct Coordinator {
    pub(crate) settings: CoordinatorSettings,
    pub(crate) replica: Replica,
    pub(crate) machine: Machine,
    /// The current configuration and earlier versions.
    pub(crate) configurations: ConfigurationSource,
    /// Schedulers whose roles this coordinator holds, by service.
    pub(crate) schedulers: BTreeMap<String, Scheduler>,
    /// Reader of the platform's worker list, if this coordinator holds that role.
    pub(crate) platform_reader: Option<PlatformReader>,
    /// Newest known worker list, read by this or another coordinator.
    pub(crate) platform_list: Option<WorkerList>,
    pub(crate) roles_vacant_since: BTreeMap<Role, Millis>,
    /// Proposals in flight, by sequence number.
    pub(crate) proposals: BTreeMap<u64, Proposal>,
    /// Last sequence number used for a proposal or a platform call.
    pub(crate) last_sequence: u64,
    pub(crate) last_proposed_at: Millis,
    pub(crate) operations: PendingOperations,
    /// Queries waiting for confirmation of the view.
    pub(crate) pending_reads: Vec<PendingRead>,
    /// Tracks loss of contact with a majority of the voters.
    pub(crate) contact_outage: Outage,
    /// Tracks how long the feed cannot be served because this coordinator may lack acknowledged entries or is draining.
    pub(crate) feed_outage: Outage,
    pub(crate) feed: Feed,
    pub(crate) pending_polls: Vec<PendingPoll>,
    /// End of the lease under which this coordinator acts in its roles.
    pub(crate) lease_expiry: Millis,
    /// The current view, once this coordinator has proposed its first entry in it.
    pub(crate) entered_view: Option<ViewNumber>,
    /// The first proposal in `entered_view` is committed. Every proposal of earlier views is then committed or lost.
    pub(crate) has_committed_in_view: bool,
    /// The process is shutting down and hands over its roles.
    pub(crate) draining: bool,
    pub(crate) now: Millis,
    pub(crate) time_of_day: TimeOfDay,
    /// Median of the coordinators' wall clocks.
    pub(crate) median_wall: WallMillis,
    pub(crate) counters: Counters,
    /// Moving average of the time from a local proposal until it is applied here.
    pub(crate) commit_latency_ms: Millis,
    pub(crate) outputs: Vec<Output>,
}

impl Coordinator {
    /// Creates a coordinator from its durable state and the machine recovered from it.
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
            feed_outage: Outage::default(),
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

    /// Returns the replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the replicated state.
    pub fn state(&self) -> &magpiegap_jobs::State {
        &self.machine.state
    }

    /// Returns the current configuration, or `None` if none has been accepted.
    pub fn configuration(&self) -> Option<&Configuration> {
        self.configurations.newest().map(AsRef::as_ref)
    }

    /// Handles a refused connection to the coordinator at an address.
    pub fn handle_connection_refused(&mut self, now: Millis, address: u32) {
        self.replica.handle_connection_refused(address, now);
    }

    /// Replaces the seed addresses of other coordinators.
    pub fn set_seeds(&mut self, seeds: &[u32]) {
        self.replica.set_seeds(seeds);
    }

    /// Records how long it took to handle a batch of inputs and to perform the outputs. Returns whether that was too long
    /// for the heartbeats, which wait for it.
    pub fn record_turn(&mut self, elapsed_ms: Millis) -> bool {
        let limit_ms = self.settings.control.suspicion_timeout_ms / TURNS_PER_SUSPICION;
        let is_long = elapsed_ms > limit_ms;
        self.counters.long_turns += u64::from(is_long);
        self.counters.longest_turn_ms = self.counters.longest_turn_ms.max(elapsed_ms);
        is_long
    }

    /// Returns whether this coordinator is draining and no longer part of the view.
    pub fn has_departed(&self) -> bool {
        self.draining && self.replica.view().position(&self.replica.own()).is_none()
    }

    /// Starts handing over roles before the process shuts down.
    pub fn drain(&mut self, now: Millis) {
        self.now = now;
        self.draining = true;
        self.replica.drain(now);
    }

    pub(crate) fn log(&mut self, line: String) {
        self.outputs.push(Output::Control(ControlOutput::Log(line)));
    }

    /// Advances the clocks. Returns the local wall-clock time, corrected for clock jumps.
    pub(crate) fn advance_clocks(&mut self, now: Millis, clock: WallMillis) -> WallMillis {
        let own_wall = self.time_of_day.read(now, clock);
        self.now = now;
        self.median_wall = self.replica.median_time_of_day(own_wall, now);
        own_wall
    }
}
