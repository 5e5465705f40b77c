//! The steps that the checker takes, and what must hold after each.
use crate::world::{Answer, Budget, Call, World, LONG_MS, MIDDLE_MS, SHORT_MS};
use magpiegap_scheduler::WorkerReply;
use stateright::{Model, Property};

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// All that is under way arrives and is answered in order.
    Settle,
    Arrive(usize),
    Lose(usize),
    GiveUp(usize),
    Answer(usize),
    LoseAnswer(usize),
    Commit,
    Pass,
    PassMiddle,
    PassLong,
    /// No call reaches a worker any more.
    Silence(usize),
    TakeOver,
    Crash(usize),
}
/// What is explored.
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
            steps.push(Step::Arrive(position));
            if budget.lost > 0 && !call.is_given_up {
                steps.push(Step::Lose(position));
            }
            if budget.late > 0 && !call.is_given_up {
                steps.push(Step::GiveUp(position));
            }
        }
        for position in 0..world.answers.len() {
            steps.push(Step::Answer(position));
            if budget.lost > 0 {
                steps.push(Step::LoseAnswer(position));
            }
        }
        if !world.proposals.is_empty() {
            steps.push(Step::Commit);
        }
        if !(world.calls.is_empty() && world.answers.is_empty() && world.proposals.is_empty()) {
            steps.push(Step::Settle);
        }
        if budget.short > 0 {
            steps.push(Step::Pass);
        }
        if budget.middle > 0 {
            steps.push(Step::PassMiddle);
        }
        if budget.long > 0 {
            steps.push(Step::PassLong);
        }
        if budget.silences > 0 {
            steps.extend([Step::Silence(0), Step::Silence(1)]);
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
            Step::Settle => world.settle(),
            Step::Arrive(position) => world.arrive(position),
            Step::Lose(position) => {
                world.budget.lost -= 1;
                let Call { holder, call, .. } = world.calls.remove(position);
                world.answers.push(Answer {
                    holder,
                    call: call.id,
                    reply: WorkerReply::TimedOut,
                });
            }
            Step::GiveUp(position) => {
                world.budget.late -= 1;
                world.calls[position].is_given_up = true;
                let (holder, call) = (world.calls[position].holder, world.calls[position].call.id);
                world.answers.push(Answer {
                    holder,
                    call,
                    reply: WorkerReply::TimedOut,
                });
            }
            Step::Answer(position) => world.answer(position, false),
            Step::LoseAnswer(position) => {
                world.budget.lost -= 1;
                world.answer(position, true);
            }
            Step::Commit => world.commit(),
            Step::Pass => {
                world.budget.short -= 1;
                world.pass(SHORT_MS);
            }
            Step::PassMiddle => {
                world.budget.middle -= 1;
                world.pass(MIDDLE_MS);
            }
            Step::Silence(number) => {
                world.budget.silences -= 1;
                world.silent.insert(number);
            }
            Step::PassLong => {
                world.budget.long -= 1;
                world.pass(LONG_MS);
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
                |_, world: &World| world.wrong.is_none(),
            ),
            Property::sometimes("the task ends", |_, world: &World| world.noted_done),
        ]
    }
}
