//! Requests on the connections of an upstream: attempts and health checks.
use super::attempt::ActiveAttempt;
use super::emulated::Upstream;
use crate::call::body;
use crate::clock::pause;
use crate::experiment::Millis;
use crate::net::{lock, Link};
use crate::oracle::Rule;
use crate::world::{RequestProfile, World};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};

/// The maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// The value of a header, if it is printable ASCII.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The time to the deadline of a request, if it has one.
fn remaining(headers: &HeaderMap) -> Option<Millis> {
    let micros = header(headers, "req-deadline")?.strip_suffix('u')?;
    Some(micros.parse::<f64>().ok()? / 1000.0)
}

impl Upstream {
    /// Responds to a request: serves an attempt, or a health check.
    pub(super) async fn respond(
        &self,
        world: &World,
        request: Request<Incoming>,
        balancer: usize,
        link: &Link,
    ) -> Response<Full<Bytes>> {
        let (head, incoming) = request.into_parts();
        let path = head.uri.path();
        if path == "/-/healthy" || path == "/-/load" {
            return self.check_health(world, path).await;
        }
        let Some(id) = header(&head.headers, "req-id") else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let read = Limited::new(incoming, MAX_BODY_BYTES).collect().await;
        if read.is_err() {
            return empty_response(StatusCode::BAD_REQUEST);
        }
        let now = world.now();
        let Ok(id) = u64::from_str_radix(id, 16) else {
            self.report_foreign(world, &head.headers);
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let Some(number) = lock(&world.oracle).attempt(now, id, balancer, self.index) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        // The request has ended: its attempts do no work. The oracle has judged this attempt already.
        let Some(profile) = world.profile(id) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        self.count_attempt(world, balancer, number, now);
        let attempt = ActiveAttempt {
            upstream: self,
            world,
            id,
            number,
            link,
            link_changes: *link.changes().borrow(),
            token: None,
            work: 0.0,
            began: now,
            tenant: profile.tenant,
            ended: false,
        };
        let deadline = remaining(&head.headers).map_or(f64::INFINITY, |left| now + left);
        self.serve_attempt(world, profile, balancer, deadline, attempt)
            .await
    }

    /// Serves an attempt, with the network delay in both directions.
    async fn serve_attempt(
        &self,
        world: &World,
        profile: RequestProfile,
        balancer: usize,
        deadline: Millis,
        mut attempt: ActiveAttempt<'_>,
    ) -> Response<Full<Bytes>> {
        let (id, began) = (attempt.id, attempt.began);
        let delay = world.delay(world.plan.balancers[balancer].zone, self.plan.zone);
        pause(delay).await;
        let outcome = self
            .serve(world, profile, balancer, deadline, &mut attempt)
            .await;
        let mark = attempt.finish(outcome);
        pause(delay).await;
        world.add_upstream_time(id, world.now() - began);
        let mut response = match mark {
            Some(mark) => Response::new(Full::new(body(&self.plan.name, mark))),
            None => empty_response(outcome.status),
        };
        let headers = response.headers_mut();
        if outcome.declined {
            headers.insert("srv-declined", HeaderValue::from_static("1"));
        }
        if let Ok(load) = self.load_report(world.now()).try_into() {
            headers.insert("srv-load", load);
        }
        response
    }

    fn report_foreign(&self, world: &World, headers: &HeaderMap) {
        let id = headers.get("req-id").map(|id| format!("{id:?}"));
        let case = format!(
            "{}: request id {} was not sent by any client",
            self.plan.name,
            id.unwrap_or_default()
        );
        world.report_violation(Rule::Foreign, case);
    }

    fn count_attempt(&self, world: &World, balancer: usize, number: usize, now: Millis) {
        let mut tally = lock(&world.tally);
        let second = tally.second(now);
        second.attempts[self.plan.zone] += 1;
        second.first_attempts += u64::from(number == 0);
        second.cross_zone_attempts +=
            u64::from(world.plan.balancers[balancer].zone != self.plan.zone);
    }

    async fn check_health(&self, world: &World, path: &str) -> Response<Full<Bytes>> {
        let tier = &world.experiment.tiers[self.plan.tier];
        let Some(work) = tier.probe_work else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        lock(&world.tally).second(world.now()).probes += 1;
        let token = self.next_token();
        self.work(world, token, work.mean()).await;
        match path {
            "/-/load" => Response::new(Full::new(Bytes::from(self.load_report(world.now())))),
            _ => empty_response(StatusCode::OK),
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
