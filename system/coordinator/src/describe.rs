//! The state of the cluster, for operators.
use crate::coordinator::Coordinator;
use magpiegap_protocol::{CoordinatorAnswer, JobId, Role};
use std::fmt::Write;

impl Coordinator {
    /// The state of the cluster as this coordinator sees it, as JSON.
    pub fn describe(&self) -> String {
        let view = self.replica.view();
        let state = &self.machine.state;
        let chain: Vec<String> =
            view.chain.iter().map(|replica| format!("\"{}\"", replica.member.ip())).collect();
        let mut roles = Vec::new();
        for (role, held) in &state.roles {
            let name = match role {
                Role::PlatformReader => "platform-reader".to_owned(),
                Role::Scheduler(service) => format!("scheduler {service}"),
            };
            let holder = held.holder.member.ip();
            roles.push(format!("{{\"role\":\"{name}\",\"holder\":\"{holder}\",\"token\":{}}}", held.token));
        }
        let mut schedulers = Vec::new();
        for (service, scheduler) in &self.schedulers {
            let sum = scheduler.summary();
            schedulers.push(format!(
                "{{\"service\":\"{service}\",\"workers\":{},\"silent\":{},\"runs\":{},\"waiting\":{}}}",
                sum.workers, sum.silent, sum.runs, sum.waiting
            ));
        }
        let mut text = String::new();
        let _ = write!(
            text,
            "{{\"view\":{},\"settled\":{},\"proposals\":{},\"requests\":{},\"chain\":[{}],\"voters\":{},\"active\":{},\"committed\":{},\"configuration\":{},\
             \"jobs\":{},\"roles\":[{}],\"schedulers\":[{}]}}",
            view.number,
            self.settled_in_view,
            self.proposals.len(),
            self.pending.len(),
            chain.join(","),
            view.voters.len(),
            self.replica.is_active(),
            self.replica.committed(),
            state.configuration.version,
            state.jobs.len(),
            roles.join(","),
            schedulers.join(",")
        );
        text
    }

    /// What there is to say of a job, or who can say it.
    pub(crate) fn explain(&self, job: JobId) -> CoordinatorAnswer {
        let state = &self.machine.state;
        let Some(known) = state.jobs.get(&job) else {
            return match self.may_deny() {
                true => CoordinatorAnswer::NoSuchJob,
                false => CoordinatorAnswer::NotServing,
            };
        };
        let service = &known.submission.service;
        if let Some(scheduler) = self.schedulers.get(service).filter(|_| self.may_act()) {
            let text = scheduler.explain(state, job).and_then(|said| serde_json::to_string(&said).ok());
            return text.map_or(CoordinatorAnswer::NotServing, CoordinatorAnswer::Description);
        }
        match state.roles.get(&Role::Scheduler(service.clone())) {
            Some(held) if held.holder != self.replica.own() => {
                CoordinatorAnswer::Elsewhere(held.holder.member.address)
            }
            _ => CoordinatorAnswer::NotServing,
        }
    }
}
