//! Transitions of the model: failovers, commits, delivery of calls and replies, passage of time, and worker crashes.
use crate::model_state::{
    ModelState, PendingCall, PendingReply, RoleOwner, MAX_CALLS, MAX_LEASE_MS, ROLE_LEASE_MS,
    SERVICE,
};
use magpiegap_fleet::{RunEvent, Work};
use magpiegap_jobs::Applied;
use magpiegap_protocol::{
    Command, CompletionKind, Entry, LogPosition, Member, ProposalId, ReplicaId, Resources, Role,
    RoleToken, RunId, RunStart, ViewNumber, WallMillis,
};
use magpiegap_scheduler::{
    Output, Scheduler, SchedulerSettings, WorkerCall, WorkerOrder, WorkerReply,
};

fn settings() -> SchedulerSettings {
    SchedulerSettings {
        max_lease_ms: MAX_LEASE_MS,
        role_lease_ms: ROLE_LEASE_MS,
        ..SchedulerSettings::default()
    }
}

fn replica(owner: usize) -> ReplicaId {
    ReplicaId {
        member: Member {
            address: owner as u32 + 1,
            disk: 0,
        },
        incarnation: 1,
    }
}

fn role() -> Role {
    Role::Scheduler(SERVICE.to_owned())
}

impl ModelState {
    pub(crate) fn fail_over(&mut self) {
        let number = self.owners.len();
        let expected = self.state.fencing_token(&role());
        let claim = Command::ClaimRole {
            role: role(),
            holder: replica(number),
            expected,
        };
        self.apply(number, None, claim);
        for owner in &mut self.owners {
            owner
                .role_lease_until
                .get_or_insert(self.now + ROLE_LEASE_MS);
        }
        let token = self.state.fencing_token(&role());
        let mut scheduler = Scheduler::new(SERVICE, token, settings(), self.now, &self.state, 7);
        scheduler.handle_worker_list(self.now, &self.state, &self.entries());
        self.owners.push(RoleOwner {
            scheduler,
            role_lease_until: None,
        });
        self.run_owner(number);
    }

    pub(crate) fn apply(
        &mut self,
        by: usize,
        role_token: Option<RoleToken>,
        command: Command,
    ) -> Applied {
        let index = self.state.position.index + 1;
        let runs: Vec<RunStart> = match &command {
            Command::StartRuns { runs } | Command::SubmitJob { runs, .. } => runs.clone(),
            _ => Vec::new(),
        };
        let entry = Entry {
            position: LogPosition {
                view: ViewNumber(1),
                index,
            },
            proposal: ProposalId {
                origin: replica(by),
                sequence: index.0,
            },
            role_token,
            command,
            wall_ms: WallMillis(1_000_000 + self.now),
        };
        let applied = self.state.apply(&entry);
        for (number, owner) in self.owners.iter_mut().enumerate() {
            let own: &[RunStart] = if number == by { &runs } else { &[] };
            owner.scheduler.handle_applied(
                self.now,
                entry.position,
                &self.state,
                &applied.changes,
                own,
            );
        }
        applied
    }

    pub(crate) fn commit(&mut self) {
        let Some((by, command)) = self.proposals.pop_front() else {
            return;
        };
        let role_token = RoleToken {
            role: role(),
            token: self.owners[by].scheduler.token(),
        };
        self.apply(by, Some(role_token), command);
        self.run_owners();
    }

    pub(crate) fn holds_role_lease(&self, owner: usize) -> bool {
        self.owners[owner]
            .role_lease_until
            .is_none_or(|until| self.now < until)
    }

    pub(crate) fn run_owners(&mut self) {
        for owner in 0..self.owners.len() {
            self.run_owner(owner);
        }
    }

    pub(crate) fn run_owner(&mut self, owner: usize) {
        if !self.holds_role_lease(owner) {
            return;
        }
        let wall = 1_000_000 + self.now;
        self.owners[owner]
            .scheduler
            .on_timeout(self.now, WallMillis(wall), &self.state);
        for output in self.owners[owner].scheduler.poll_outputs() {
            match output {
                Output::Propose(command) => self.proposals.push_back((owner, command)),
                Output::Call(call) => self.send(owner, call),
                Output::Log(_) => {}
            }
        }
    }

    pub(crate) fn send(&mut self, owner: usize, call: WorkerCall) {
        let is_renewal = matches!(call.order, WorkerOrder::RenewLease { .. });
        let in_flight = self.calls.iter().filter(|call| !call.has_timed_out).count();
        if is_renewal && in_flight >= MAX_CALLS {
            // Treated as lost, to bound the number of calls in flight.
            self.replies.push(PendingReply {
                owner,
                call: call.id,
                reply: WorkerReply::TimedOut,
            });
            return;
        }
        self.calls.push(PendingCall {
            owner,
            call,
            has_timed_out: false,
        });
    }

    pub(crate) fn deliver_call(&mut self, position: usize) {
        let PendingCall {
            owner,
            call,
            has_timed_out,
        } = self.calls.remove(position);
        let Some(number) = self
            .workers
            .iter()
            .position(|worker| worker.entry.address == call.address)
        else {
            return;
        };
        if self.unreachable.contains(&number) {
            if !has_timed_out {
                self.replies.push(PendingReply {
                    owner,
                    call: call.id,
                    reply: WorkerReply::TimedOut,
                });
            }
            return;
        }
        let worker = &mut self.workers[number];
        let work = Work {
            resources: Resources {
                cpu: 1000,
                memory_mb: 10,
                gpu: 0,
            },
            duration_ms: self.work_ms,
            kind: CompletionKind::Done,
            checkpoints: false,
            gang: false,
        };
        let reply = worker.handle_call(self.now, &call, Some(work));
        self.record_run_events();
        if !has_timed_out {
            self.replies.push(PendingReply {
                owner,
                call: call.id,
                reply,
            });
        }
    }

    pub(crate) fn record_run_events(&mut self) {
        for number in 0..self.workers.len() {
            let incarnation = self.workers[number].entry.incarnation.clone();
            for run_event in self.workers[number].poll_events() {
                match run_event {
                    RunEvent::Started { run, .. } => self.record_start(&incarnation, run),
                    RunEvent::Completed(completion) => {
                        self.running.remove(&(incarnation.clone(), completion.run));
                    }
                    RunEvent::Acknowledged(completions) => {
                        self.completion_acknowledged |= completions
                            .iter()
                            .any(|completion| completion.kind == CompletionKind::Done);
                    }
                }
            }
        }
    }

    pub(crate) fn record_start(&mut self, incarnation: &str, run: RunId) {
        if let Some((other, other_run)) = self.running.iter().next() {
            self.violation = Some(format!(
                "run {run} on {incarnation} is concurrent with run {other_run} on {other}"
            ));
        }
        if self.completion_acknowledged {
            self.violation = Some(format!(
                "run {run} on {incarnation} started after a completion was acknowledged"
            ));
        }
        self.running.insert((incarnation.to_owned(), run));
    }

    pub(crate) fn pass_time(&mut self, ms: u64) {
        self.now += ms;
        for worker in &mut self.workers {
            worker.on_timeout(self.now);
        }
        self.record_run_events();
        self.run_owners();
    }

    pub(crate) fn crash(&mut self, number: usize) {
        let incarnation = self.workers[number].entry.incarnation.clone();
        self.running.retain(|(other, _)| *other != incarnation);
        self.workers[number] = self.new_worker(number);
        let entries = self.entries();
        for owner in &mut self.owners {
            owner
                .scheduler
                .handle_worker_list(self.now, &self.state, &entries);
        }
        self.run_owners();
    }

    pub(crate) fn deliver_reply(&mut self, position: usize) {
        let pending = self.replies.remove(position);
        self.handle_reply(pending);
    }

    pub(crate) fn lose_reply(&mut self, position: usize) {
        let mut pending = self.replies.remove(position);
        pending.reply = WorkerReply::TimedOut;
        self.handle_reply(pending);
    }

    fn handle_reply(&mut self, pending: PendingReply) {
        let PendingReply { owner, call, reply } = pending;
        self.owners[owner]
            .scheduler
            .handle_reply(self.now, &self.state, call, reply);
        self.run_owner(owner);
    }

    /// Commits all pending proposals and delivers all calls and replies in flight, as without faults.
    pub(crate) fn deliver_all(&mut self) {
        // Only the current proposals: a scheduler that has lost the role keeps proposing until its lease expires.
        for _ in 0..self.proposals.len() {
            self.commit();
        }
        let in_flight = self.calls.iter().filter(|call| !call.has_timed_out).count();
        for _ in 0..in_flight {
            if let Some(position) = self.calls.iter().position(|call| !call.has_timed_out) {
                self.deliver_call(position);
            }
        }
        for _ in 0..self.replies.len() {
            self.deliver_reply(0);
        }
    }
}
