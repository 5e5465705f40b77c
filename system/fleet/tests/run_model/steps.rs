//! The steps that the checker takes, and what must hold after each.
use crate::world::{Budget, PendingCall, PendingReply, World, LONG_MS, MIDDLE_MS, SHORT_MS};
use magpiegap_scheduler::WorkerReply;
use stateright::{Model, Property};

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// All that is in flight is delivered and answered in order.
    DeliverAll,
    DeliverCall(usize),
    LoseCall(usize),
    TimeOut(usize),
    DeliverReply(usize),
    LoseReply(usize),
    Commit,
    PassShort,
    PassMiddle,
    PassLong,
    /// No call reaches this worker any more.
    MakeUnreachable(usize),
    TakeOver,
    Crash(usize),
}

/// The model: what is explored.
pub(crate) struct Runs {
    pub budget: Budget,
    pub work_ms: u64,
}

impl Model for Runs {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self.budget, self.work_ms)]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let budget = world.budget;
        for (position, call) in world.calls.iter().enumerate() {
            steps.push(Step::DeliverCall(position));
            if budget.lost_messages > 0 && !call.has_timed_out {
                steps.push(Step::LoseCall(position));
            }
            if budget.late_calls > 0 && !call.has_timed_out {
                steps.push(Step::TimeOut(position));
            }
        }
        for position in 0..world.replies.len() {
            steps.push(Step::DeliverReply(position));
            if budget.lost_messages > 0 {
                steps.push(Step::LoseReply(position));
            }
        }
        if !world.proposals.is_empty() {
            steps.push(Step::Commit);
        }
        if !(world.calls.is_empty() && world.replies.is_empty() && world.proposals.is_empty()) {
            steps.push(Step::DeliverAll);
        }
        if budget.short > 0 {
            steps.push(Step::PassShort);
        }
        if budget.middle > 0 {
            steps.push(Step::PassMiddle);
        }
        if budget.long > 0 {
            steps.push(Step::PassLong);
        }
        if budget.unreachable_workers > 0 {
            steps.extend([Step::MakeUnreachable(0), Step::MakeUnreachable(1)]);
        }
        if budget.take_overs > 0 {
            steps.push(Step::TakeOver);
        }
        if budget.crashes > 0 {
            steps.extend([Step::Crash(0), Step::Crash(1)]);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::DeliverAll => world.deliver_all(),
            Step::DeliverCall(position) => world.deliver_call(position),
            Step::LoseCall(position) => {
                world.budget.lost_messages -= 1;
                let PendingCall { owner, call, .. } = world.calls.remove(position);
                world.replies.push(PendingReply {
                    owner,
                    call: call.id,
                    reply: WorkerReply::TimedOut,
                });
            }
            Step::TimeOut(position) => {
                world.budget.late_calls -= 1;
                world.calls[position].has_timed_out = true;
                let (owner, call) = (world.calls[position].owner, world.calls[position].call.id);
                world.replies.push(PendingReply {
                    owner,
                    call,
                    reply: WorkerReply::TimedOut,
                });
            }
            Step::DeliverReply(position) => world.deliver_reply(position),
            Step::LoseReply(position) => {
                world.budget.lost_messages -= 1;
                world.lose_reply(position);
            }
            Step::Commit => world.commit(),
            Step::PassShort => {
                world.budget.short -= 1;
                world.pass_time(SHORT_MS);
            }
            Step::PassMiddle => {
                world.budget.middle -= 1;
                world.pass_time(MIDDLE_MS);
            }
            Step::MakeUnreachable(number) => {
                world.budget.unreachable_workers -= 1;
                world.unreachable.insert(number);
            }
            Step::PassLong => {
                world.budget.long -= 1;
                world.pass_time(LONG_MS);
            }
            Step::TakeOver => {
                world.budget.take_overs -= 1;
                world.take_over();
            }
            Step::Crash(number) => {
                world.budget.crashes -= 1;
                world.crash(number);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no run beside another one, and none after a noted end",
                |_, world: &World| world.violation.is_none(),
            ),
            Property::sometimes("the task ends", |_, world: &World| {
                world.completion_acknowledged
            }),
        ]
    }
}
