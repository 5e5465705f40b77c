//! The work of one attempt, and the calls that it makes to the next tier.
use super::attempt::{ActiveAttempt, Outcome};
use super::emulated::Upstream;
use crate::call::{Call, CallResult};
use crate::clock::pause;
use crate::draw::Draws;
use crate::experiment::{Effect, Millis};
use crate::machine::{Admission, Collapse, Token};
use crate::net::lock;
use crate::oracle::Rule;
use crate::world::{RequestProfile, World};
use hyper::StatusCode;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;

/// The work of an error response, as a share of the full work.
const ERROR_WORK: f64 = 0.1;
/// A collapse breaks a rule if balancers that had been notified of the start sent at least this share of the work.
const INFORMED_SHARE: f64 = 2.0 / 3.0;

impl Upstream {
    /// Does the work of one attempt, and makes its calls to the next tier.
    pub(super) async fn serve(
        &self,
        world: &World,
        profile: RequestProfile,
        balancer: usize,
        deadline: Millis,
        attempt: &mut ActiveAttempt<'_>,
    ) -> Outcome {
        let tier = &world.experiment.tiers[self.plan.tier];
        let mut draws = Draws::new(profile.seed ^ attempt.number as u64);
        let work = profile.size * tier.work * draws.noise();
        let token = self.next_token();
        if !self.admit(world, balancer, token, work, attempt).await {
            lock(&world.tally).second(world.now()).declined += 1;
            return Outcome {
                status: StatusCode::SERVICE_UNAVAILABLE,
                declined: true,
            };
        }
        let began = world.now();
        let errors = self.errors.load(Ordering::Relaxed) as f64 / 1e6;
        if draws.chance(errors) {
            self.work(world, token, work * ERROR_WORK).await;
            return Outcome::ran(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let calls = self.draw_calls(world, &mut draws);
        let work_before_calls = if calls > 0 { work / 2.0 } else { work };
        self.work(world, token, work_before_calls).await;
        attempt.work += work_before_calls;
        let class = &world.experiment.classes[profile.class];
        pause(class.waits.0.mean() * tier.work).await;
        for number in 0..calls {
            let seed = draws.seed();
            if !self.call(world, profile, seed, number, deadline).await {
                return Outcome::ran(StatusCode::INTERNAL_SERVER_ERROR);
            }
        }
        if calls > 0 {
            self.work(world, token, work - work_before_calls).await;
            attempt.work += work - work_before_calls;
        }
        let took = world.now() - began;
        lock(&self.state).load_report.record_served(took);
        if class.effect == Effect::Keyed && self.plan.tier == 0 {
            lock(&world.oracle).effect(world.now(), profile.key, profile.class, self.index);
        }
        Outcome::ran(StatusCode::OK)
    }

    /// Waits until an attempt has a slot; returns false if the machine rejects it.
    async fn admit(
        &self,
        world: &World,
        balancer: usize,
        token: Token,
        work: f64,
        attempt: &mut ActiveAttempt<'_>,
    ) -> bool {
        let informed = lock(&world.oracle).knows_start(balancer, self.index, self.starts());
        let (waiter, slot) = oneshot::channel();
        let (admission, collapse) = {
            let mut state = lock(&self.state);
            let now = world.now();
            let admission = state.machine.handle_request(now, token, work, informed);
            if admission == Admission::Queued {
                state.waiters.insert(token, waiter);
            }
            let collapse = state
                .machine
                .collapse()
                .filter(|_| !state.collapse_reported);
            state.collapse_reported |= collapse.is_some();
            (admission, collapse)
        };
        if let Some(collapse) = collapse {
            self.judge_collapse(world, &collapse);
        }
        self.wake.notify_one();
        if admission == Admission::Full {
            return false;
        }
        attempt.token = Some(token);
        // A sender dropped without a message means a restart: the attempt is never completed.
        if admission == Admission::Queued && slot.await.is_err() {
            std::future::pending::<()>().await;
        }
        true
    }

    /// Reports a collapse that was caused by balancers that had been notified of the start.
    fn judge_collapse(&self, world: &World, collapse: &Collapse) {
        if collapse.informed_share < INFORMED_SHARE {
            return;
        }
        let case = format!(
            "{} collapsed: it was sent {:.0} ms of work, its limit is {:.0} ms, and {:.0} % of the work came from balancers \
                 that had been notified of its start",
            self.plan.name,
            collapse.sent,
            collapse.limit,
            collapse.informed_share * 100.0
        );
        world.report_violation(Rule::Overloaded, case);
    }

    /// Draws how many calls an attempt makes to the next tier.
    fn draw_calls(&self, world: &World, draws: &mut Draws) -> usize {
        let tier = self.plan.tier;
        if tier + 1 >= world.experiment.tiers.len() {
            return 0;
        }
        draws.count(world.plan.calls[tier + 1] / world.plan.calls[tier])
    }

    /// Makes one call to the next tier through the upstream's sidecar balancer; returns whether it was served.
    async fn call(
        &self,
        world: &World,
        profile: RequestProfile,
        seed: u64,
        number: usize,
        deadline: Millis,
    ) -> bool {
        let Some(balancer) = world.sidecar(self.index) else {
            return false;
        };
        let now = world.now();
        let timeout = (deadline - now).min(world.plan.spans[profile.class].1);
        if timeout <= 1.0 {
            return false;
        }
        // Keys derive from the request's key, so that a repeat of the request makes calls with the same keys.
        let key = profile.key.wrapping_mul(31).wrapping_add(number as u64 + 1);
        let call = Call {
            balancer,
            link: world.client_links[balancer][0].clone(),
            delay: 0.0,
            profile: RequestProfile {
                seed,
                key,
                at_upstreams: 0.0,
                ..profile
            },
            sent: now,
            timeout,
            cancels_after: None,
            retry: false,
            flood: None,
        };
        matches!(call.make(world).await, CallResult::Served(_))
    }
}
