//! The roles: an election each time one is vacant, decided by whose claim comes first in the log.
use crate::{coordinator::Coordinator, outputs::Output, under_way::Purpose};
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{Command, FencingToken, Millis, Role, RoleToken, RunStart, Submission};
use magpiegap_scheduler::{Output as SchedulerOutput, Scheduler, WorkerReply};
use std::collections::BTreeMap;

/// How long each further candidate waits before it claims a vacant role.
const CLAIM_DELAY_MS: Millis = 200;
/// A holder proposes something at least this often, so that it knows that its view stands.
const LEASE_EVERY_MS: Millis = 300;

impl Coordinator {
    /// Whether this coordinator may act in its roles: the others can't have gone on without it yet.
    pub(crate) fn may_act(&self) -> bool {
        self.now < self.lease_until && self.settled_in_view && self.replica.is_active()
    }

    /// All roles that there should be, in a fixed order.
    fn wanted_roles(&self) -> Vec<Role> {
        let services = self
            .configurations
            .newest()
            .map(|configuration| configuration.services.keys());
        let schedulers = services
            .into_iter()
            .flatten()
            .map(|service| Role::Scheduler(service.clone()));
        schedulers.chain([Role::PlatformReader]).collect()
    }

    /// Claims the roles that are vacant, where it is this coordinator's turn.
    pub(crate) fn claim_roles(&mut self) {
        // A claim by what is known before the view is settled may be void, and does no harm.
        if self.entered_view.is_none() || !self.replica.is_active() || self.leaving {
            return;
        }
        let chain = self.replica.view().chain.clone();
        let own = self.replica.own();
        let Some(place) = chain.iter().position(|replica| *replica == own) else {
            return;
        };
        for (number, role) in self.wanted_roles().into_iter().enumerate() {
            let state = self.machine.state.roles.get(&role).copied();
            let held = state.is_some_and(|state| chain.contains(&state.holder));
            if held && !self.is_deposed(&role) {
                self.vacant_since.remove(&role);
                continue;
            }
            let since = *self.vacant_since.entry(role.clone()).or_insert(self.now);
            let rank = (place + chain.len() - number % chain.len()) % chain.len();
            let due = since + rank as u64 * CLAIM_DELAY_MS;
            let under_way = self.proposals.values().any(
                |proposal| matches!(&proposal.purpose, Some(Purpose::Claim(claimed)) if *claimed == role),
            );
            if self.now >= due && !under_way {
                let expected = state.map_or(FencingToken::default(), |state| state.token);
                let command = Command::ClaimRole {
                    role: role.clone(),
                    holder: own,
                    expected: FencingToken(expected.0),
                };
                self.propose(command, None, Some(Purpose::Claim(role)), None);
            }
        }
    }

    /// Whether a scheduler here has met a worker that has seen a higher token. It does nothing any more: either another
    /// coordinator holds the role, and the log will say so, or the role is claimed anew with a higher token.
    fn is_deposed(&self, role: &Role) -> bool {
        match role {
            Role::Scheduler(service) => self
                .schedulers
                .get(service)
                .is_some_and(Scheduler::is_deposed),
            Role::PlatformReader => false,
        }
    }

    /// Keeps the lease of a holder fresh.
    pub(crate) fn renew_lease(&mut self) {
        let holds = !self.schedulers.is_empty() || self.reader.is_some();
        if holds && self.settled_in_view && self.now >= self.last_proposed_at + LEASE_EVERY_MS {
            self.propose(Command::Noop, None, Some(Purpose::Lease), None);
        }
    }

    /// Begins and ends the work of roles as the log has it.
    pub(crate) fn follow_roles(&mut self) {
        let own = self.replica.own();
        let mut held: BTreeMap<String, FencingToken> = BTreeMap::new();
        let mut reader = None;
        for (role, state) in &self.machine.state.roles {
            if state.holder != own {
                continue;
            }
            match role {
                Role::Scheduler(service) => {
                    held.insert(service.clone(), state.token);
                }
                Role::PlatformReader => reader = Some(state.token),
            }
        }
        self.schedulers
            .retain(|service, scheduler| held.get(service) == Some(&scheduler.token()));
        for (service, token) in held {
            if self.schedulers.contains_key(&service) {
                continue;
            }
            let seed = self.settings.control.seed ^ token.0;
            let settings = self.settings.scheduler.clone();
            let mut scheduler = Scheduler::new(
                &service,
                FencingToken(token.0),
                settings,
                self.now,
                &self.machine.state,
                seed,
            );
            if let Some(list) = &self.platform {
                scheduler.list(self.now, &self.machine.state, &list.workers);
            }
            self.log(format!("scheduler of {service} with token {token}"));
            self.schedulers.insert(service, scheduler);
        }
        self.follow_reader(reader);
    }

    /// Takes up the newest configuration.
    pub(crate) fn follow_configuration(&mut self) {
        let state = &self.machine.state.configuration;
        if state.version
            == self
                .configurations
                .newest()
                .map_or(0, |configuration| configuration.version)
        {
            return;
        }
        if self.configurations.follow(state.version, &state.change) {
            return;
        }
        // Only valid ones get into the log.
        if let Ok(configuration) = Configuration::parse(&state.body) {
            self.configurations.push(configuration);
        }
    }

    /// What accepts a job, if its service's scheduler is here.
    pub(crate) fn submission_command(
        &mut self,
        submission: Submission,
    ) -> Option<(Command, RoleToken, Purpose)> {
        if !self.may_act() {
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
            role: Role::Scheduler(service.clone()),
            token: scheduler.token(),
        };
        let runs = match &command {
            Command::SubmitJob { runs, .. } => runs.clone(),
            _ => Vec::new(),
        };
        Some((command, role_token, Purpose::Scheduler { service, runs }))
    }

    /// Lets the schedulers do what is due, and hands on what they want done.
    pub(crate) fn run_schedulers(&mut self) {
        if !self.may_act() {
            return;
        }
        let services: Vec<String> = self.schedulers.keys().cloned().collect();
        for service in services {
            let (now, wall) = (self.now, self.wall);
            let Some(scheduler) = self.schedulers.get_mut(&service) else {
                continue;
            };
            scheduler.run(now, wall, &self.machine.state);
            let token = scheduler.token();
            let outputs = scheduler.poll_outputs();
            self.hand_on(&service, token, outputs);
        }
    }

    fn hand_on(&mut self, service: &str, token: FencingToken, outputs: Vec<SchedulerOutput>) {
        for output in outputs {
            match output {
                SchedulerOutput::Propose(command) => {
                    self.propose_for_scheduler(service, token, command)
                }
                SchedulerOutput::Call(call) => {
                    self.counters.worker_calls += 1;
                    self.out.push(Output::CallWorker {
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
        let runs: Vec<RunStart> = match &command {
            Command::StartRuns { runs } => runs.clone(),
            _ => Vec::new(),
        };
        let role_token = RoleToken {
            role: Role::Scheduler(service.to_owned()),
            token,
        };
        let purpose = Purpose::Scheduler {
            service: service.to_owned(),
            runs,
        };
        self.propose(command, Some(role_token), Some(purpose), None);
    }

    /// A worker has answered, or has not in time.
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
            .filter(|s| s.token() == token)
        {
            scheduler.reply(now, &self.machine.state, call, reply);
        }
    }
}
