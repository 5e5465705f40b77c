//! The actions of the model, and the properties that are checked.
use crate::model_state::{
    Budget, ModelState, PendingCall, PendingReply, LONG_MS, MEDIUM_MS, SHORT_MS,
};
use magpiegap_scheduler::WorkerReply;
use stateright::{Model, Property};

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Delivers everything in flight, in order.
    DeliverAll,
    DeliverCall(usize),
    LoseCall(usize),
    TimeOut(usize),
    DeliverReply(usize),
    LoseReply(usize),
    Commit,
    PassShort,
    PassMedium,
    PassLong,
    /// Permanently loses all calls to this worker.
    MakeUnreachable(usize),
    FailOver,
    Crash(usize),
}

/// The model that is explored.
pub(crate) struct RunModel {
    pub budget: Budget,
    pub work_ms: u64,
}

impl Model for RunModel {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        vec![ModelState::new(self.budget, self.work_ms)]
    }

    fn actions(&self, model_state: &ModelState, actions: &mut Vec<Action>) {
        let budget = model_state.budget;
        for (position, call) in model_state.calls.iter().enumerate() {
            actions.push(Action::DeliverCall(position));
            if budget.lost_messages > 0 && !call.has_timed_out {
                actions.push(Action::LoseCall(position));
            }
            if budget.late_calls > 0 && !call.has_timed_out {
                actions.push(Action::TimeOut(position));
            }
        }
        for position in 0..model_state.replies.len() {
            actions.push(Action::DeliverReply(position));
            if budget.lost_messages > 0 {
                actions.push(Action::LoseReply(position));
            }
        }
        if !model_state.proposals.is_empty() {
            actions.push(Action::Commit);
        }
        if !(model_state.calls.is_empty()
            && model_state.replies.is_empty()
            && model_state.proposals.is_empty())
        {
            actions.push(Action::DeliverAll);
        }
        if budget.short > 0 {
            actions.push(Action::PassShort);
        }
        if budget.medium > 0 {
            actions.push(Action::PassMedium);
        }
        if budget.long > 0 {
            actions.push(Action::PassLong);
        }
        if budget.unreachable_workers > 0 {
            actions.extend([Action::MakeUnreachable(0), Action::MakeUnreachable(1)]);
        }
        if budget.failovers > 0 {
            actions.push(Action::FailOver);
        }
        if budget.crashes > 0 {
            actions.extend([Action::Crash(0), Action::Crash(1)]);
        }
    }

    fn next_state(&self, last: &ModelState, action: Action) -> Option<ModelState> {
        let mut model_state = last.clone();
        match action {
            Action::DeliverAll => model_state.deliver_all(),
            Action::DeliverCall(position) => model_state.deliver_call(position),
            Action::LoseCall(position) => {
                model_state.budget.lost_messages -= 1;
                let PendingCall { owner, call, .. } = model_state.calls.remove(position);
                model_state.replies.push(PendingReply {
                    owner,
                    call: call.id,
                    reply: WorkerReply::TimedOut,
                });
            }
            Action::TimeOut(position) => {
                model_state.budget.late_calls -= 1;
                model_state.calls[position].has_timed_out = true;
                let (owner, call) = (
                    model_state.calls[position].owner,
                    model_state.calls[position].call.id,
                );
                model_state.replies.push(PendingReply {
                    owner,
                    call,
                    reply: WorkerReply::TimedOut,
                });
            }
            Action::DeliverReply(position) => model_state.deliver_reply(position),
            Action::LoseReply(position) => {
                model_state.budget.lost_messages -= 1;
                model_state.lose_reply(position);
            }
            Action::Commit => model_state.commit(),
            Action::PassShort => {
                model_state.budget.short -= 1;
                model_state.pass_time(SHORT_MS);
            }
            Action::PassMedium => {
                model_state.budget.medium -= 1;
                model_state.pass_time(MEDIUM_MS);
            }
            Action::MakeUnreachable(number) => {
                model_state.budget.unreachable_workers -= 1;
                model_state.unreachable.insert(number);
            }
            Action::PassLong => {
                model_state.budget.long -= 1;
                model_state.pass_time(LONG_MS);
            }
            Action::FailOver => {
                model_state.budget.failovers -= 1;
                model_state.fail_over();
            }
            Action::Crash(number) => {
                model_state.budget.crashes -= 1;
                model_state.crash(number);
            }
        }
        Some(model_state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "at most one run at a time, and none after an acknowledged completion",
                |_, model_state: &ModelState| model_state.violation.is_none(),
            ),
            Property::sometimes("the task completes", |_, model_state: &ModelState| {
                model_state.completion_acknowledged
            }),
        ]
    }
}
