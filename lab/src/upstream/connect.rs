//! The ports of an upstream, and requests on their connections.
use super::emulated::Upstream;
use super::out::Out;
use crate::call::body;
use crate::clock::pause;
use crate::experiment::Millis;
use crate::net::{lock, Link, LinkedStream, Manner, Port};
use crate::oracle::Rule;
use crate::world::World;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;

const BODY_MOST: usize = 64 << 10;

impl Upstream {
    /// Starts its cores and its ports.
    pub fn start(self: &Arc<Self>, world: &Arc<World>) -> Result<(), String> {
        let (own, shared) = (self.clone(), world.clone());
        tokio::spawn(async move { own.run(&shared).await });
        for (&balancer, link) in &self.links {
            let (tell, mode) = watch::channel(Manner::Open);
            let at = world.block.upstream(self.index, balancer);
            let mut port = Port::bind(at, mode).map_err(|e| format!("{at}: {e}"))?;
            let (mut listens, mut changes, link) =
                (self.listens.subscribe(), link.changes(), link.clone());
            let (own, shared) = (self.clone(), world.clone());
            let on = link.clone();
            tokio::spawn(async move {
                loop {
                    let mode = match (on.is_silent(), *listens.borrow_and_update()) {
                        (true, _) => Manner::Silent,
                        (false, true) => Manner::Open,
                        (false, false) => Manner::Refusing,
                    };
                    tell.send_if_modified(|now| std::mem::replace(now, mode) != mode);
                    tokio::select! {
                        _ = changes.changed() => {}
                        _ = listens.changed() => {}
                        () = shared.ended() => return,
                    }
                }
            });
            let shared = world.clone();
            tokio::spawn(async move {
                loop {
                    match port.accept().await {
                        Ok(Some(stream)) => {
                            let (own, world, link) = (own.clone(), shared.clone(), link.clone());
                            tokio::spawn(async move {
                                own.connection(world, stream, balancer, link).await
                            });
                        }
                        Ok(None) => return,
                        Err(e) => {
                            tracing::warn!(upstream = %own.plan.name, "accept: {e}");
                            tokio::time::sleep(Duration::from_millis(10)).await;
                        }
                    }
                }
            });
        }
        Ok(())
    }

    async fn connection(
        self: Arc<Self>,
        world: Arc<World>,
        stream: TcpStream,
        balancer: usize,
        link: Arc<Link>,
    ) {
        let delay = world.delay(world.plan.balancers[balancer].zone, self.plan.zone);
        let gate = LinkedStream::new(stream, link.clone());
        let mut resets = link.resets();
        if self.connected(1) > self.plan.connections {
            self.connected(-1);
            return;
        }
        lock(&world.tally).second(world.now()).connections += 1;
        // What a handshake costs both sides.
        let hello = self.token();
        self.work(&world, hello, self.plan.connection_work).await;
        pause(2.0 * delay * self.plan.round_trips).await;
        let own = self.clone();
        let on = link.clone();
        let service = service_fn(move |request| {
            let (own, world, link) = (own.clone(), world.clone(), on.clone());
            async move {
                Ok::<_, Infallible>(own.respond(&world, request, balancer, &link, delay).await)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.connection_idle)
            .serve_connection(TokioIo::new(gate), service);
        tokio::select! {
            // How it ended shows in the requests that were on it.
            _ = connection => {}
            _ = resets.changed() => {}
        }
        self.connected(-1);
    }

    async fn respond(
        &self,
        world: &World,
        request: Request<Incoming>,
        balancer: usize,
        link: &Link,
        delay: Millis,
    ) -> Response<Full<Bytes>> {
        let (head, incoming) = request.into_parts();
        let path = head.uri.path().to_string();
        if path == "/-/healthy" || path == "/-/load" {
            return self.probe(world, &path).await;
        }
        let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let Some(id) = header("req-id") else {
            return plain(StatusCode::NOT_FOUND);
        };
        let id = u64::from_str_radix(id, 16).ok();
        let patience = header("req-deadline")
            .and_then(|d| d.strip_suffix('u'))
            .and_then(|d| d.parse::<f64>().ok());
        if Limited::new(incoming, BODY_MOST).collect().await.is_err() {
            return plain(StatusCode::BAD_REQUEST);
        }
        let now = world.now();
        let Some(id) = id else {
            let text = head
                .headers
                .get("req-id")
                .map(|v| format!("{v:?}"))
                .unwrap_or_default();
            world.breaks(
                Rule::Foreign,
                format!("{}: {text} was sent by no client", self.plan.name),
            );
            return plain(StatusCode::BAD_REQUEST);
        };
        let Some(number) = lock(&world.oracle).attempt(now, id, balancer, self.index) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        // One that has ended is no work any more; what is sent for it is the oracle's case.
        let Some(asked) = world.asked(id) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        {
            let mut tally = lock(&world.tally);
            let second = tally.second(now);
            second.attempts[self.plan.zone] += 1;
            second.firsts += u64::from(number == 0);
            second.crossings += u64::from(world.plan.balancers[balancer].zone != self.plan.zone);
        }
        let mut out = Out {
            upstream: self,
            world,
            id,
            number,
            link,
            changes: *link.changes().borrow(),
            token: None,
            work: 0.0,
            came: now,
            tenant: asked.tenant,
        };
        pause(delay).await;
        let until = patience.map(|us| now + us / 1000.0);
        let (status, declined) = self.serve(world, asked, balancer, until, &mut out).await;
        let mark = out.seal(status, declined);
        pause(delay).await;
        world.spent(id, world.now() - now);
        let mut response = match mark {
            Some(mark) => Response::new(Full::new(body(&self.plan.name, mark))),
            None => plain(status),
        };
        let headers = response.headers_mut();
        if declined {
            headers.insert("srv-declined", hyper::header::HeaderValue::from_static("1"));
        }
        if let Ok(load) = self.load(world.now()).try_into() {
            headers.insert("srv-load", load);
        }
        response
    }

    async fn probe(&self, world: &World, path: &str) -> Response<Full<Bytes>> {
        let tier = &world.experiment.tiers[self.plan.tier];
        let Some(work) = tier.probe_work else {
            return plain(StatusCode::NOT_FOUND);
        };
        lock(&world.tally).second(world.now()).probes += 1;
        let token = self.token();
        self.work(world, token, work.mean()).await;
        match path {
            "/-/load" => Response::new(Full::new(Bytes::from(self.load(world.now())))),
            _ => plain(StatusCode::OK),
        }
    }
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
