//! Owns the decision module: passes it events in order, carries out its actions, and maintains its clock, its timers
//! and the ids of requests and attempts. Decides nothing.
mod attempts;
mod endpoints;
mod observability;
mod persistence;
mod requests;
mod state;
mod tier;
mod timer_loop;
mod timers;

pub(crate) use requests::{PendingResponse, ReceivedRequest};
pub(crate) use state::Handle;

use crate::message::FinalResponse;
use crate::metrics::{Metrics, RequestOutcome};
use crate::recovery::Recovery;
use crate::upstreams::Transport;
use attempts::{AttemptLimits, AttemptResult};
use balancer_core::{Action, Balancer, Ending, Event, Millis};
use state::{AttemptId, Driver, Shared};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use timers::{Timer, Timers};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum duration of a timer set by the module, in milliseconds.
const MAX_TIMER: Millis = 71.0 * 60_000.0;

/// Returns the Unix time in milliseconds. The module's clock uses it, so that start times of upstreams need no
/// conversion.
pub(crate) fn unix_ms() -> Millis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |elapsed| elapsed.as_secs_f64() * 1000.0)
}

/// The parts of a driver.
pub(crate) struct DriverConfig {
    /// The decision module.
    pub balancer: Balancer,
    /// The instant at which the module's clock read `start_ms`.
    pub start: Instant,
    /// The module's clock at the start. It advances by elapsed time and ignores changes of the system clock.
    pub start_ms: Millis,
    /// Carries out attempts on upstream connections.
    pub transport: Transport,
    /// Maximum number of open requests.
    pub max_open: usize,
    /// Counts the outcomes of requests and attempts, if metrics are on.
    pub metrics: Option<Metrics>,
    /// Saves state for the next start, if recovery is on.
    pub recovery: Option<Recovery>,
}

impl Handle {
    /// Creates a driver; its timers fire only while [`Handle::run`] runs.
    pub(crate) fn new(config: DriverConfig) -> Handle {
        let driver = Driver {
            balancer: config.balancer,
            start: config.start,
            start_ms: config.start_ms,
            transport: config.transport,
            max_open: config.max_open,
            next_id: 0,
            open: HashMap::new(),
            attempts: HashMap::new(),
            upstreams: HashMap::new(),
            timers: Timers::default(),
            events: VecDeque::new(),
            has_endpoints: false,
            metrics: config.metrics,
            recovery: config.recovery,
            shutdown_deadline: None,
        };
        Handle(Rc::new(Shared {
            driver: RefCell::new(driver),
            timers_changed: Notify::new(),
            subscribe: Notify::new(),
        }))
    }

    /// Passes an event to the module and carries out its actions, then does the same for the events that these cause.
    fn feed(&self, event: Event) {
        let mut driver = self.0.driver.borrow_mut();
        driver.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = driver.events.pop_front() {
            let now = driver.now();
            driver.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(&mut driver, action);
            }
        }
    }

    fn perform(&self, driver: &mut Driver, action: Action) {
        match action {
            Action::Send {
                request,
                upstream,
                timeout,
                write_by,
            } => {
                self.send(
                    driver,
                    request,
                    upstream,
                    AttemptLimits { timeout, write_by },
                );
            }
            Action::Cancel { request, attempt } => {
                let id = AttemptId::new(request, attempt);
                if let Some(event) = driver.end_attempt(id, AttemptResult::of(Ending::Cancelled)) {
                    driver.events.push_back(event);
                }
            }
            Action::Refuse {
                request,
                retry_after,
                reason,
            } => {
                let response = FinalResponse::Refused { retry_after };
                driver.respond(request, response, RequestOutcome::Refused(reason));
            }
            Action::Fail { request } => {
                driver.respond(request, FinalResponse::Failed, RequestOutcome::Failed);
            }
            Action::CloseIdle(id) => {
                if let Some(known) = driver.upstreams.get(&id) {
                    known.upstream.close_idle();
                }
            }
            Action::Subscribe => self.0.subscribe.notify_one(),
            Action::SetTimer { after, token } => {
                let after = Duration::from_secs_f64(after.clamp(0.0, MAX_TIMER) / 1000.0);
                driver
                    .timers
                    .set(Instant::now() + after, Timer::Module(token));
                self.0.timers_changed.notify_one();
            }
            Action::Log(line) => tracing::info!(target: "module", event = "module", "{line}"),
        }
    }
}
