//! A stand-in for an upstream. It does what PROTOCOL.md, "Running tasks", says, with `guards` true: fencing tokens, holds,
//! lives, starts, stops and the two lists. What a task does stands in its `spec`:
//! `work MS` ends `done` after that time; `lasts` runs until it is stopped; `lasts, run 1 fails after MS` does too, but its
//! first run ends `failed` then, through its own fault; a start with `unreadable` is answered 400.
use crate::{
    http::{serve, Request, Response},
    json::Json,
    record::Record,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    time::{Duration, Instant},
};

const MAX_HOLD_MS: u64 = 6000;
/// A stop takes this long; `stop_ms` is 400.
const STOP_MS: u64 = 60;
/// A run that begins while the upstream is grey fails after this time.
const GREY_MS: u64 = 100;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    pub cpu: u64,
    pub mem_mb: u64,
}

#[derive(Clone, Debug)]
struct Run {
    run: u64,
    size: Size,
    started_at: u64,
    /// When it ends by itself, and how.
    ends: Option<(u64, &'static str)>,
    stops_at: Option<u64>,
}

#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    fence: u64,
    hold_until: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    last_number: u64,
    /// The highest run of a task that ended or was stopped here.
    closed: HashMap<String, u64>,
    /// The tasks of all runs that were started.
    started: Vec<String>,
    /// How many starts were answered 400.
    unreadable: u64,
}

pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub labels: Vec<String>,
    pub capacity: Size,
    clock_start: Instant,
    clock_offset: u64,
    state: Mutex<State>,
    record: Record,
    /// It fails all that it starts (`srv_grey`).
    grey: AtomicBool,
    /// The sizes of tasks, by job and step, as the clients sent them: the order to start a run does not carry them.
    sizes: Sizes,
}

/// The size of each task, by the hexadecimal name of its job and its step.
pub type Sizes = Arc<Mutex<HashMap<(String, String), Size>>>;

pub struct WorkerSettings {
    pub number: usize,
    pub service: String,
    pub zone: String,
    pub capacity: Size,
}

impl Worker {
    pub fn start(
        settings: WorkerSettings,
        sizes: Sizes,
        record: Record,
    ) -> std::io::Result<Arc<Worker>> {
        let number = settings.number;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Arc::new(Worker {
            id: format!("i-{:08x}", 0x5a00 + number),
            service: settings.service,
            address: listener.local_addr()?,
            zone: settings.zone,
            labels: vec!["a".to_owned(), format!("r1-{number}")],
            capacity: settings.capacity,
            clock_start: Instant::now(),
            clock_offset: 100_000 * (number as u64 + 1),
            state: Mutex::new(State::default()),
            record,
            grey: AtomicBool::new(false),
            sizes,
        });
        let ticking = worker.clone();
        std::thread::spawn(move || loop {
            drop(ticking.state());
            std::thread::sleep(Duration::from_millis(5));
        });
        let serving = worker.clone();
        serve(listener, Arc::new(move |request| Some(serving.handle(&request))));
        Ok(worker)
    }

    fn clock(&self) -> u64 {
        self.clock_offset + self.clock_start.elapsed().as_millis() as u64
    }

    /// The state, after everything that was due by now has happened.
    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock();
        let lapsed = now > state.hold_until;
        let due = |run: &Run| match (run.ends, run.stops_at) {
            (Some((at, how)), _) if now >= at => Some(how),
            (_, Some(at)) if now >= at => Some("stopped"),
            _ if lapsed => Some("lapsed"),
            _ => None,
        };
        let ended: Vec<(String, u64, &'static str)> = state
            .runs
            .iter()
            .filter_map(|(task, run)| Some((task.clone(), run.run, due(run)?)))
            .collect();
        for (task, run, how) in ended {
            state.runs.remove(&task);
            state.close(&task, run);
            state.last_number += 1;
            let number = state.last_number;
            self.record.line(format!("upstream {} ended {task} run {run}: {how}", self.id));
            state.ends.push(End {
                number,
                task,
                run,
                how,
            });
        }
        state
    }

    fn handle(&self, request: &Request) -> Response {
        if request.method == "GET" {
            return Response::new(200, "{}");
        }
        if request.header("expected-instance") != Some(self.id.as_str()) {
            return Response::new(421, "");
        }
        let Some(body) = Json::parse(&request.body) else {
            return Response::new(400, "{}");
        };
        let fence = body.number("fenceToken").unwrap_or(0);
        {
            let mut state = self.state();
            if fence < state.fence {
                return self.refused("fence");
            }
            state.fence = fence;
        }
        match request.target.as_str() {
            "/-/run-start" => self.start_run(&body),
            "/-/run-stop" => self.stop_run(&body),
            "/-/hold" => self.hold(&body),
            _ => Response::new(404, ""),
        }
    }

    fn refused(&self, reason: &str) -> Response {
        let clock = self.clock();
        Response::new(409, format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"))
    }

    fn done(&self) -> Response {
        Response::new(200, format!("{{\"clockMs\":{}}}", self.clock()))
    }

    fn start_run(&self, body: &Json) -> Response {
        let (Some(task), Some(run), Some(deadline)) =
            (body.text("task"), body.number("runId"), body.number("deadlineMs"))
        else {
            return Response::new(400, "{}");
        };
        let spec = body.text("spec").unwrap_or("");
        if spec.starts_with("unreadable") {
            let mut state = self.state();
            state.unreadable += 1;
            self.record.line(format!("upstream {} answered 400 to {task} run {run}", self.id));
            drop(state);
            return Response::new(400, format!("{{\"clockMs\":{}}}", self.clock()));
        }
        let mut state = self.state();
        let now = self.clock();
        if state.runs.get(task).is_some_and(|known| known.run == run) {
            state.extend_hold(deadline, now);
            drop(state);
            return self.done();
        }
        if deadline < now {
            drop(state);
            return self.refused("late");
        }
        state.extend_hold(deadline, now);
        let closed = state.closed.get(task).copied().unwrap_or(0);
        if run <= closed || state.runs.contains_key(task) {
            drop(state);
            return self.refused("old");
        }
        let size = self.size_of(task);
        let used = state.used();
        if used.cpu + size.cpu > self.capacity.cpu || used.mem_mb + size.mem_mb > self.capacity.mem_mb
        {
            drop(state);
            return self.refused("room");
        }
        self.record.line(format!("upstream {} began {task} run {run}", self.id));
        state.started.push(task.to_owned());
        state.runs.insert(
            task.to_owned(),
            Run {
                run,
                size,
                started_at: now,
                ends: match self.grey.load(Ordering::Relaxed) {
                    true => Some((now + GREY_MS, "failed")),
                    false => ends_at(spec, run, now),
                },
                stops_at: None,
            },
        );
        drop(state);
        self.done()
    }

    fn size_of(&self, task: &str) -> Size {
        let mut parts = task.split('.');
        let job = parts.next().unwrap_or("").to_owned();
        let step = parts.nth(1).unwrap_or("").to_owned();
        let sizes = self.sizes.lock().unwrap_or_else(PoisonError::into_inner);
        sizes.get(&(job, step)).copied().unwrap_or_default()
    }

    fn stop_run(&self, body: &Json) -> Response {
        let (Some(task), Some(run)) = (body.text("task"), body.number("runId")) else {
            return Response::new(400, "{}");
        };
        let mut state = self.state();
        let now = self.clock();
        match state.runs.get_mut(task).filter(|known| known.run == run) {
            Some(known) => {
                known.stops_at.get_or_insert(now + STOP_MS);
            }
            None => state.close(task, run),
        }
        drop(state);
        self.done()
    }

    fn hold(&self, body: &Json) -> Response {
        let last_seen = body.number("lastSeen").unwrap_or(0);
        let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2000));
        {
            let mut state = self.state();
            let now = self.clock();
            if let Some(deadline) = body.number("deadlineMs") {
                state.extend_hold(deadline, now);
            }
            state.ends.retain(|end| end.number > last_seen);
        }
        let until = Instant::now() + wait;
        while Instant::now() < until && self.state().ends.is_empty() {
            std::thread::sleep(Duration::from_millis(3));
        }
        let state = self.state();
        let now = self.clock();
        let running: Vec<String> = state
            .runs
            .iter()
            .map(|(task, run)| format!("[\"{task}\",{},\"\",{}]", run.run, run.percent(now)))
            .collect();
        let ended: Vec<String> = state
            .ends
            .iter()
            .take(500)
            .map(|end| {
                let End {
                    number,
                    task,
                    run,
                    how,
                } = end;
                format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
            })
            .collect();
        Response::new(
            200,
            format!(
                "{{\"clockMs\":{now},\"running\":[{}],\"ended\":[{}]}}",
                running.join(","),
                ended.join(",")
            ),
        )
    }

    /// From now on, what is started here fails, or no longer does. What runs goes on.
    pub fn set_grey(&self, grey: bool) {
        self.record.line(format!("upstream {} grey: {grey}", self.id));
        self.grey.store(grey, Ordering::Relaxed);
    }

    /// The tasks that run here now.
    pub fn running(&self) -> Vec<String> {
        self.state().runs.keys().cloned().collect()
    }

    /// How many starts were answered 400 here.
    pub fn unreadable(&self) -> u64 {
        self.state().unreadable
    }

    /// How many runs of a job have been started here.
    pub fn starts(&self, job: &str) -> usize {
        self.state().started.iter().filter(|task| task.starts_with(job)).count()
    }

    pub fn used(&self) -> Size {
        self.state().used()
    }

    /// The entry in the platform's list.
    pub fn entry(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}},\
             \"labels\":[\"{}\"]}}",
            self.id,
            self.service,
            self.address,
            self.zone,
            self.capacity.cpu,
            self.capacity.mem_mb,
            self.labels.join("\",\"")
        )
    }
}

impl State {
    fn extend_hold(&mut self, deadline: u64, now: u64) {
        self.hold_until = self.hold_until.max(deadline.min(now + MAX_HOLD_MS));
    }

    fn close(&mut self, task: &str, run: u64) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run);
    }

    fn used(&self) -> Size {
        let mut used = Size::default();
        for run in self.runs.values() {
            used.cpu += run.size.cpu;
            used.mem_mb += run.size.mem_mb;
        }
        used
    }
}

impl Run {
    fn percent(&self, now: u64) -> u64 {
        match self.ends {
            Some((at, "done")) if at > self.started_at => {
                ((now - self.started_at) * 100 / (at - self.started_at)).min(99)
            }
            _ => 0,
        }
    }
}

/// When a run ends by itself, by the words of its spec.
fn ends_at(spec: &str, run: u64, now: u64) -> Option<(u64, &'static str)> {
    let number = |text: &str| text.trim().parse::<u64>().ok();
    if let Some(work) = spec.strip_prefix("work ") {
        return Some((now + number(work)?, "done"));
    }
    let fails_after = spec.strip_prefix("lasts, run 1 fails after ")?;
    (run == 1).then_some((now + number(fails_after)?, "failed"))
}
