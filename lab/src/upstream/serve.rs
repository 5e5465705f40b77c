//! The work of one attempt, and the calls that it makes to the next tier.
use super::emulated::Upstream;
use super::out::Out;
use crate::call::{Call, CallResult};
use crate::clock::pause;
use crate::draw::Calls;
use crate::experiment::Millis;
use crate::machine::Admission;
use crate::net::lock;
use crate::oracle::Rule;
use crate::world::{Asked, World};
use hyper::StatusCode;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;

/// What an error answer costs, as a part of the whole work.
const ERROR_WORK: f64 = 0.1;
/// A cold upstream that fell over is nobody's fault but theirs who knew of its start and sent this part of it.
const INFORMED_PART: f64 = 2.0 / 3.0;

impl Upstream {
    /// Does the work of one attempt. The second value: it was turned away and never ran.
    pub(super) async fn serve(
        &self,
        world: &World,
        asked: Asked,
        balancer: usize,
        until: Option<Millis>,
        out: &mut Out<'_>,
    ) -> (StatusCode, bool) {
        let tier = &world.experiment.tiers[self.plan.tier];
        let mut drawn = Calls::new(asked.seed ^ out.number as u64);
        let work = asked.size * tier.work * drawn.noise();
        let token = self.token();
        let knew_start = lock(&world.oracle).knows_start(balancer, self.index, self.starts());
        let (tell, slot) = oneshot::channel();
        let (admission, tipped) = {
            let mut state = lock(&self.state);
            let admission = state.machine.enter(world.now(), token, work, knew_start);
            if admission == Admission::Queued {
                state.waiters.insert(token, tell);
            }
            let tipped = state.machine.tipped().filter(|_| !state.tipped_told);
            state.tipped_told |= tipped.is_some();
            (admission, tipped)
        };
        if let Some(t) = tipped.filter(|t| t.knew_start >= INFORMED_PART) {
            let case = format!(
                "{} was sent {:.0} ms of work where it bears {:.0}, {:.0} of 100 by balancers that knew of its start",
                self.plan.name,
                t.sent,
                t.bears,
                t.knew_start * 100.0
            );
            world.breaks(Rule::Tipped, case);
        }
        self.wake.notify_one();
        if admission == Admission::Full {
            lock(&world.tally).second(world.now()).declined += 1;
            return (StatusCode::SERVICE_UNAVAILABLE, true);
        }
        out.token = Some(token);
        if admission == Admission::Queued && slot.await.is_err() {
            std::future::pending::<()>().await;
        }
        let began = world.now();
        let errors = self.errors.load(Ordering::Relaxed) as f64 / 1e6;
        if drawn.chance(errors) {
            self.work(world, token, work * ERROR_WORK).await;
            return (StatusCode::INTERNAL_SERVER_ERROR, false);
        }
        let calls = match world.experiment.tiers.get(self.plan.tier + 1) {
            Some(_) => {
                drawn.count(world.plan.calls[self.plan.tier + 1] / world.plan.calls[self.plan.tier])
            }
            None => 0,
        };
        let before = if calls > 0 { work / 2.0 } else { work };
        self.work(world, token, before).await;
        out.work += before;
        pause(world.experiment.classes[asked.class].waits.0.mean() * tier.work).await;
        let left = until.unwrap_or(f64::INFINITY);
        for n in 0..calls {
            if !self.call(world, asked, drawn.seed(), n, left).await {
                return (StatusCode::INTERNAL_SERVER_ERROR, false);
            }
        }
        if calls > 0 {
            self.work(world, token, work - before).await;
            out.work += work - before;
        }
        let took = world.now() - began;
        let mut state = lock(&self.state);
        state.recent += 0.1 * (took - state.recent);
        state.served += 1;
        drop(state);
        let class = &world.experiment.classes[asked.class];
        if class.effect == crate::experiment::Effect::Keyed && self.plan.tier == 0 {
            lock(&world.oracle).effect(world.now(), asked.key, asked.class, self.index);
        }
        (StatusCode::OK, false)
    }

    /// One call to the next tier through the balancer beside.
    async fn call(&self, world: &World, asked: Asked, seed: u64, n: usize, until: Millis) -> bool {
        let Some(balancer) = world.beside(self.index) else {
            return false;
        };
        let now = world.now();
        let patience = (until - now).min(world.plan.spans[asked.class].1);
        if patience <= 1.0 {
            return false;
        }
        // A repeat of the request makes the same calls: they carry the same keys.
        let key = asked.key.wrapping_mul(31).wrapping_add(n as u64 + 1);
        let call = Call {
            balancer,
            link: world.client_links[balancer][0].clone(),
            delay: 0.0,
            asked: Asked {
                seed,
                key,
                at_upstreams: 0.0,
                ..asked
            },
            sent: now,
            timeout: patience,
            cancels_after: None,
            retry: false,
            flood: None,
        };
        matches!(call.make(world).await, CallResult::Served(_))
    }

    /// Its load report now: measured now and then, shown a little later, and a little wrong.
    pub(super) fn load(&self, now: Millis) -> String {
        let mut state = lock(&self.state);
        let state = &mut *state;
        if state
            .load_report
            .next
            .as_ref()
            .is_some_and(|&(at, _)| now >= at)
        {
            state.load_report.text = state
                .load_report
                .next
                .take()
                .map(|(_, text)| text)
                .unwrap_or_default();
        }
        if now - state.load_report.at >= self.plan.report_period && state.load_report.next.is_none()
        {
            let (since, before) = state.counted;
            let span = (now - since).max(1.0);
            let mut noisy = |v: f64| {
                let off = (state.noise.noise() - 1.0) * 5.0;
                (v * (1.0 + self.noise * off)).max(0.0)
            };
            let qps = noisy((state.served - before) as f64 * 1000.0 / span);
            let (latency, held) = (noisy(state.recent), noisy(state.machine.holds() as f64));
            let text = format!("TEXT latency_ms={latency:.1}, qps={qps:.1}, inflight={held:.1}");
            (state.counted, state.load_report.at) = ((now, state.served), now);
            state.load_report.next = Some((now + self.plan.report_delay, text));
        }
        state.load_report.text.clone()
    }
}
