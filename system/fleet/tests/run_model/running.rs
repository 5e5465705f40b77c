//! What happens: the role passes on, the log commits, calls arrive, answers come back, time passes, workers die.
use crate::world::{Answer, Call, Holder, World, LEASE_MS, MAX_HOLD_MS, MOST_CALLS, SERVICE};
use magpiegap_fleet::{Deed, Work};
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
        max_lease_ms: MAX_HOLD_MS,
        role_lease_ms: LEASE_MS,
        ..SchedulerSettings::default()
    }
}

fn replica(holder: usize) -> ReplicaId {
    ReplicaId {
        member: Member {
            address: holder as u32 + 1,
            disk: 0,
        },
        incarnation: 1,
    }
}

fn role() -> Role {
    Role::Scheduler(SERVICE.to_owned())
}

impl World {
    pub(crate) fn take_over(&mut self) {
        let number = self.holders.len();
        let expected = self.state.fencing_token(&role());
        let claim = Command::ClaimRole {
            role: role(),
            holder: replica(number),
            expected,
        };
        self.apply(number, None, claim);
        for holder in &mut self.holders {
            holder.acts_until.get_or_insert(self.now + LEASE_MS);
        }
        let token = self.state.fencing_token(&role());
        let mut scheduler = Scheduler::new(SERVICE, token, settings(), self.now, &self.state, 7);
        scheduler.handle_worker_list(self.now, &self.state, &self.entries());
        self.holders.push(Holder {
            scheduler,
            acts_until: None,
        });
        self.run(number);
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
        for (number, holder) in self.holders.iter_mut().enumerate() {
            let own: &[RunStart] = if number == by { &runs } else { &[] };
            holder.scheduler.handle_applied(
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
            token: self.holders[by].scheduler.token(),
        };
        self.apply(by, Some(role_token), command);
        self.run_all();
    }

    pub(crate) fn may_act(&self, holder: usize) -> bool {
        self.holders[holder]
            .acts_until
            .is_none_or(|until| self.now < until)
    }

    pub(crate) fn run_all(&mut self) {
        for holder in 0..self.holders.len() {
            self.run(holder);
        }
    }

    pub(crate) fn run(&mut self, holder: usize) {
        if !self.may_act(holder) {
            return;
        }
        let wall = 1_000_000 + self.now;
        self.holders[holder]
            .scheduler
            .on_timeout(self.now, WallMillis(wall), &self.state);
        for output in self.holders[holder].scheduler.poll_outputs() {
            match output {
                Output::Propose(command) => self.proposals.push_back((holder, command)),
                Output::Call(call) => self.send(holder, call),
                Output::Log(_) => {}
            }
        }
    }

    pub(crate) fn send(&mut self, holder: usize, call: WorkerCall) {
        let is_hold = matches!(call.order, WorkerOrder::RenewLease { .. });
        let under_way = self.calls.iter().filter(|call| !call.is_given_up).count();
        if is_hold && under_way >= MOST_CALLS {
            // As good as lost, and answered so.
            self.answers.push(Answer {
                holder,
                call: call.id,
                reply: WorkerReply::TimedOut,
            });
            return;
        }
        self.calls.push(Call {
            holder,
            call,
            is_given_up: false,
        });
    }

    pub(crate) fn arrive(&mut self, position: usize) {
        let Call {
            holder,
            call,
            is_given_up,
        } = self.calls.remove(position);
        let Some(number) = self
            .workers
            .iter()
            .position(|worker| worker.entry.address == call.address)
        else {
            return;
        };
        if self.silent.contains(&number) {
            if !is_given_up {
                self.answers.push(Answer {
                    holder,
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
            how: CompletionKind::Done,
            checkpoints: false,
            gang: false,
        };
        let reply = worker.take(self.now, &call, Some(work));
        self.note_deeds();
        if !is_given_up {
            self.answers.push(Answer {
                holder,
                call: call.id,
                reply,
            });
        }
    }

    pub(crate) fn note_deeds(&mut self) {
        for number in 0..self.workers.len() {
            let incarnation = self.workers[number].entry.incarnation.clone();
            for deed in self.workers[number].take_deeds() {
                match deed {
                    Deed::Started { run, .. } => self.started(&incarnation, run),
                    Deed::Ended { run, .. } => {
                        self.running.remove(&(incarnation.clone(), run));
                    }
                    Deed::Noted(ends) => {
                        self.noted_done |= ends.iter().any(|end| end.how == CompletionKind::Done);
                    }
                }
            }
        }
    }

    pub(crate) fn started(&mut self, incarnation: &str, run: RunId) {
        if let Some((other, other_run)) = self.running.iter().next() {
            self.wrong = Some(format!(
                "run {run} on {incarnation} beside run {other_run} on {other}"
            ));
        }
        if self.noted_done {
            self.wrong = Some(format!(
                "run {run} on {incarnation} after an end was taken note of"
            ));
        }
        self.running.insert((incarnation.to_owned(), run));
    }

    pub(crate) fn pass(&mut self, ms: u64) {
        self.now += ms;
        for worker in &mut self.workers {
            worker.pass_time(self.now);
        }
        self.note_deeds();
        self.run_all();
    }

    pub(crate) fn crash(&mut self, number: usize) {
        let incarnation = self.workers[number].entry.incarnation.clone();
        self.running.retain(|(other, _)| *other != incarnation);
        self.workers[number] = self.new_worker(number);
        let entries = self.entries();
        for holder in &mut self.holders {
            holder
                .scheduler
                .handle_worker_list(self.now, &self.state, &entries);
        }
        self.run_all();
    }

    pub(crate) fn answer(&mut self, position: usize, is_lost: bool) {
        let Answer {
            holder,
            call,
            reply,
        } = self.answers.remove(position);
        let reply = if is_lost {
            WorkerReply::TimedOut
        } else {
            reply
        };
        self.holders[holder]
            .scheduler
            .handle_reply(self.now, &self.state, call, reply);
        self.run(holder);
    }

    /// All that is under way arrives, is answered and is committed, as it would on a calm day.
    pub(crate) fn settle(&mut self) {
        // A scheduler that has lost the role proposes again and again until its lease ends.
        for _ in 0..self.proposals.len() {
            self.commit();
        }
        let under_way = self.calls.iter().filter(|call| !call.is_given_up).count();
        for _ in 0..under_way {
            if let Some(position) = self.calls.iter().position(|call| !call.is_given_up) {
                self.arrive(position);
            }
        }
        for _ in 0..self.answers.len() {
            self.answer(0, false);
        }
    }
}
