//! The clients of the fleet, with an open workload: each request is sent when it is due, independently of the requests
//! before it.
use crate::call::{Call, CallResult};
use crate::clock::pause;
use crate::draw::{Arrival, Draws};
use crate::experiment::{Effect, Group, Millis};
use crate::net::lock;
use crate::tally::{CompletedRequest, RequestOutcome};
use crate::world::{RequestProfile, World};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::Notify;

/// Counts the requests in flight.
#[derive(Default)]
pub struct InFlight {
    count: AtomicUsize,
    changed: Notify,
}

impl InFlight {
    /// The number of requests in flight.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_none(&self) {
        loop {
            let changed = self.changed.notified();
            if self.count() == 0 {
                return;
            }
            changed.await;
        }
    }
}

/// Sends every request of the plan when it is due.
pub async fn send_all(world: Arc<World>, in_flight: Arc<InFlight>) {
    for n in 0..world.plan.arrivals.len() {
        world
            .until_recording_lateness(world.plan.arrivals[n].at)
            .await;
        let (world, in_flight) = (world.clone(), in_flight.clone());
        in_flight.count.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(async move {
            let completed = request(&world, &world.plan.arrivals[n]).await;
            lock(&world.tally).completed.push(completed);
            if in_flight.count.fetch_sub(1, Ordering::SeqCst) == 1 {
                in_flight.changed.notify_waiters();
            }
        });
    }
}

/// Sends a request, with all attempts of its client, and returns how it ended.
async fn request(world: &World, a: &Arrival) -> CompletedRequest {
    let deadline = world.plan.spans[a.class].1;
    let clients = &world.experiment.clients;
    let mut drawn = Draws::new(a.seed);
    let profile = RequestProfile {
        class: a.class,
        tenant: a.tenant,
        size: a.size,
        seed: drawn.seed(),
        key: a.seed,
        at_upstreams: 0.0,
    };
    let (mut attempts, mut backoff) = (0, a.backoff);
    let mut due = a.at;
    let mut added = None;
    let how = loop {
        attempts += 1;
        let got = match choose_balancer(world, a, due, &mut drawn) {
            Some(balancer) => {
                let call = call_to(world, a, balancer, profile, due, attempts);
                call.make(world).await
            }
            None => CallResult::Unreached,
        };
        let (how, again, advice) = match got {
            CallResult::Served(time) => {
                added = Some(time);
                break RequestOutcome::Served;
            }
            CallResult::Left => break RequestOutcome::Left,
            CallResult::Refused(advice) => (RequestOutcome::Refused, true, advice),
            CallResult::Unreached => (RequestOutcome::Unreached, true, None),
            CallResult::Failed => (RequestOutcome::Failed, may_repeat(world, a.class), None),
            CallResult::Ended => (RequestOutcome::Failed, may_repeat(world, a.class), None),
            CallResult::TimedOut => (RequestOutcome::TimedOut, may_repeat(world, a.class), None),
        };
        let waits = advice.filter(|_| a.honours).unwrap_or(0.0).max(backoff);
        let next = world.now() + waits;
        if !again || attempts > clients.retries || next >= a.at + deadline {
            break how;
        }
        pause(waits).await;
        (due, backoff) = (next, backoff * 2.0);
    };
    let took = world.now() - a.at;
    CompletedRequest {
        at: a.at,
        class: a.class,
        tenant: a.tenant,
        zone: a.zone,
        how,
        took,
        client_attempts: attempts,
        added,
    }
}

/// One attempt of a client at a balancer, sent at `due`.
fn call_to(
    world: &World,
    a: &Arrival,
    balancer: usize,
    profile: RequestProfile,
    due: Millis,
    attempts: u32,
) -> Call {
    let deadline = world.plan.spans[a.class].1;
    let left = a.at + deadline - due;
    let timeout = (deadline * a.try_share).min(left);
    let abandons_after = a.abandons_after.filter(|_| attempts == 1);
    Call {
        balancer,
        link: world.client_links[balancer][a.zone].clone(),
        delay: world.delay(a.zone, world.plan.balancers[balancer].zone),
        profile,
        sent: due,
        timeout,
        cancels_after: abandons_after.map(|part| timeout * part),
        retry: attempts > 1,
        flood: world.experiment.tenants[a.tenant].connections,
    }
}

/// Whether a client may retry a request that may have run.
fn may_repeat(world: &World, class: usize) -> bool {
    let class = &world.experiment.classes[class];
    match class.effect {
        Effect::Safe => true,
        Effect::Keyed => class.group == Group::All,
        Effect::Once => false,
    }
}

/// The front's choice of a balancer: one in rotation, of the client's zone if the zone has any. A tenant that hops
/// sends all requests to one balancer at a time.
fn choose_balancer(world: &World, a: &Arrival, due: Millis, drawn: &mut Draws) -> Option<usize> {
    if world.outages.load(Ordering::Relaxed) > 0 {
        return None;
    }
    let in_rotation = |&b: &usize| world.in_rotation[b].load(Ordering::Relaxed);
    if let Some(every) = world.experiment.tenants[a.tenant].hops {
        let up: Vec<usize> = (0..world.experiment.fleet.front)
            .filter(in_rotation)
            .collect();
        return up
            .get((due / every.0.mean()).max(0.0) as usize % up.len().max(1))
            .copied();
    }
    let up: Vec<usize> = world.front_by_zone[a.zone]
        .iter()
        .copied()
        .filter(in_rotation)
        .collect();
    match up.len() {
        0 => None,
        n => Some(up[(drawn.seed() % n as u64) as usize]),
    }
}

/// The time in milliseconds after the last request within which all requests must have ended: the longest deadline,
/// the grace of the oracle and a margin.
pub fn completion_timeout(world: &World) -> Millis {
    world.plan.longest() + crate::oracle::ANSWER_GRACE + 1000.0
}
