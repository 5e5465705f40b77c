//! Singleton roles. Vacant roles are claimed through the log, and the first claim wins. Each holder has a fencing token
//! and acts only while it has a lease.
use crate::{
    coordinator::Coordinator,
    outputs::Output,
    proposal::{ProposalDraft, Purpose},
};
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{Command, FencingToken, Millis, Role, RoleToken, Submission};
use magpiegap_scheduler::{Output as SchedulerOutput, Scheduler, WorkerReply};
use std::collections::{BTreeMap, BTreeSet};

/// Additional delay of each lower-ranked candidate before it claims a vacant role.
const CLAIM_DELAY_MS: Millis = 200;
/// Interval at which a role holder makes a proposal if it has no other, to confirm that its view is current.
const LEASE_RENEWAL_INTERVAL_MS: Millis = 300;

impl Coordinator {
    /// Returns whether this coordinator may act in its roles. While the lease lasts, the other coordinators cannot have
    /// installed a view without it.
    pub(crate) fn holds_lease(&self) -> bool {
        self.now < self.lease_expiry && self.has_committed_in_view && self.replica.is_active()
    }

    /// Returns all roles that must have a holder, in a fixed order. A service needs a scheduler while it is configured
    /// or has jobs: a configuration that drops a service does not end the jobs that were accepted for it.
    fn required_roles(&self) -> Vec<Role> {
        let configured = self
            .configurations
            .newest()
            .map(|configuration| configuration.services.keys().map(String::as_str));
        let with_jobs = self.machine.state.service_jobs.services();
        let services: BTreeSet<&str> = configured.into_iter().flatten().chain(with_jobs).collect();
        let schedulers = services
            .into_iter()
            .map(|service| Role::Scheduler(service.to_owned()));
        schedulers.chain([Role::PlatformReader]).collect()
    }

    /// Claims vacant roles for which this coordinator's claim delay has passed.
    pub(crate) fn claim_roles(&mut self) {
        // A claim made before the first commit in the view may be based on an outdated token; it is then rejected.
        if self.entered_view.is_none() || !self.replica.is_active() || self.draining {
            return;
        }
        let chain = self.replica.view().chain.clone();
        let own = self.replica.own();
        let Some(position) = chain.iter().position(|replica| *replica == own) else {
            return;
        };
        let required = self.required_roles();
        self.roles_vacant_since
            .retain(|role, _| required.contains(role));
        for (number, role) in required.into_iter().enumerate() {
            let state = self.machine.state.roles.get(&role).copied();
            let has_active_holder = state.is_some_and(|state| chain.contains(&state.holder));
            if has_active_holder && !self.is_deposed(&role) {
                self.roles_vacant_since.remove(&role);
                continue;
            }
            let vacant_since = *self
                .roles_vacant_since
                .entry(role.clone())
                .or_insert(self.now);
            // Each role has a different first candidate, so that roles are spread over the chain.
            let rank = (position + chain.len() - number % chain.len()) % chain.len();
            let claim_at = vacant_since + rank as u64 * CLAIM_DELAY_MS;
            if self.now >= claim_at && !self.has_claim_in_flight(&role) {
                let expected = state.map_or(FencingToken::default(), |state| state.token);
                let command = Command::ClaimRole {
                    role: role.clone(),
                    holder: own,
                    expected,
                };
                self.propose(ProposalDraft::with_purpose(
                    command,
                    Purpose::RoleClaim(role),
                ));
            }
        }
    }

    fn has_claim_in_flight(&self, role: &Role) -> bool {
        self.proposals.values().any(
            |proposal| matches!(&proposal.draft.purpose, Some(Purpose::RoleClaim(claimed)) if claimed == role),
        )
    }

    /// Returns whether a local scheduler has contacted a worker that has seen a higher token. The scheduler has then
    /// stopped. Either the log will show another holder, or the role must be claimed again to get a higher token.
    fn is_deposed(&self, role: &Role) -> bool {
        match role {
            Role::Scheduler(service) => self
                .schedulers
                .get(service)
                .is_some_and(Scheduler::is_deposed),
            Role::PlatformReader => false,
        }
    }

    /// Renews the lease of a role holder by a no-op proposal if nothing else was proposed recently.
    pub(crate) fn renew_lease(&mut self) {
        let holds_role = !self.schedulers.is_empty() || self.platform_reader.is_some();
        let is_due = self.now >= self.last_proposed_at + LEASE_RENEWAL_INTERVAL_MS;
        if holds_role && self.has_committed_in_view && is_due {
            self.propose(ProposalDraft::with_purpose(
                Command::Noop,
                Purpose::LeaseRenewal,
            ));
        }
    }

    /// Starts and stops schedulers and the platform reader according to the roles in the replicated state.
    pub(crate) fn update_roles(&mut self) {
        let own = self.replica.own();
        let mut scheduler_tokens: BTreeMap<String, FencingToken> = BTreeMap::new();
        let mut reader_token = None;
        for (role, state) in &self.machine.state.roles {
            if state.holder != own {
                continue;
            }
            match role {
                Role::Scheduler(service) => {
                    scheduler_tokens.insert(service.clone(), state.token);
                }
                Role::PlatformReader => reader_token = Some(state.token),
            }
        }
        self.schedulers
            .retain(|service, scheduler| scheduler_tokens.get(service) == Some(&scheduler.token()));
        for (service, token) in scheduler_tokens {
            if !self.schedulers.contains_key(&service) {
                self.start_scheduler(service, token);
            }
        }
        self.update_platform_reader(reader_token);
    }

    fn start_scheduler(&mut self, service: String, token: FencingToken) {
        let seed = self.settings.control.random_seed ^ token.0;
        let mut scheduler = Scheduler::new(
            &service,
            token,
            self.settings.scheduler.clone(),
            self.now,
            &self.machine.state,
            seed,
        );
        if let Some(list) = &self.platform_list {
            scheduler.handle_worker_list(self.now, &self.machine.state, &list.workers);
        }
        self.log(format!("started scheduler service={service} token={token}"));
        self.schedulers.insert(service, scheduler);
    }

    /// Switches to the newest configuration of the replicated state.
    pub(crate) fn update_configuration(&mut self) {
        let state = &self.machine.state.configuration;
        if state.version
            == self
                .configurations
                .newest()
                .map_or(0, |configuration| configuration.version)
        {
            return;
        }
        if self
            .configurations
            .apply_change(state.version, &state.encoded_change)
        {
            return;
        }
        // The log contains only valid configurations.
        if let Ok(configuration) = Configuration::parse(&state.body) {
            self.configurations.push(configuration);
        }
    }

    /// Returns the proposal that accepts a job, or `None` if the scheduler of its service is not active here.
    pub(crate) fn draft_submission(&mut self, submission: Submission) -> Option<ProposalDraft> {
        if !self.holds_lease() {
            return None;
        }
        let service = submission.service.clone();
        let now = self.now;
        let scheduler = self
            .schedulers
            .get_mut(&service)
            .filter(|scheduler| !scheduler.is_deposed())?;
        let command = scheduler.submit(now, submission);
        let role_token = RoleToken {
            role: Role::Scheduler(service),
            token: scheduler.token(),
        };
        Some(ProposalDraft::by_scheduler(command, role_token))
    }

    /// Runs the schedulers and performs their outputs.
    pub(crate) fn run_schedulers(&mut self) {
        if !self.holds_lease() {
            return;
        }
        let services: Vec<String> = self.schedulers.keys().cloned().collect();
        for service in services {
            let (now, wall) = (self.now, self.median_wall);
            let Some(scheduler) = self.schedulers.get_mut(&service) else {
                continue;
            };
            scheduler.on_timeout(now, wall, &self.machine.state);
            let token = scheduler.token();
            let outputs = scheduler.poll_outputs();
            self.perform_scheduler_outputs(&service, token, outputs);
        }
    }

    fn perform_scheduler_outputs(
        &mut self,
        service: &str,
        token: FencingToken,
        outputs: Vec<SchedulerOutput>,
    ) {
        for output in outputs {
            match output {
                SchedulerOutput::Propose(command) => {
                    self.propose_for_scheduler(service, token, command)
                }
                SchedulerOutput::Call(call) => {
                    self.counters.worker_calls += 1;
                    self.outputs.push(Output::CallWorker {
                        service: service.to_owned(),
                        token,
                        call,
                    });
                }
                SchedulerOutput::Log(line) => self.log(line),
            }
        }
    }

    fn propose_for_scheduler(&mut self, service: &str, token: FencingToken, command: Command) {
        let role_token = RoleToken {
            role: Role::Scheduler(service.to_owned()),
            token,
        };
        self.propose(ProposalDraft::by_scheduler(command, role_token));
    }

    /// Handles a worker's reply to a call, or its timeout.
    pub fn handle_worker_reply(
        &mut self,
        now: Millis,
        service: &str,
        token: FencingToken,
        call: u64,
        reply: WorkerReply,
    ) {
        self.now = now;
        if let Some(scheduler) = self
            .schedulers
            .get_mut(service)
            .filter(|scheduler| scheduler.token() == token)
        {
            scheduler.handle_reply(now, &self.machine.state, call, reply);
        }
    }
}
