//! A stand-in for an upstream that runs tasks, as the pages describe it: fences, holds, ends with numbers, stops.
//!
//! The spec of a job has a line for each step: the milliseconds that each of its tasks takes, and its thousandths of a core.
use crate::{
    http::{serve, Message},
    json::{quote, Json},
    record::Record,
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// The longest hold (`maxHoldMs`).
const MAX_HOLD_MS: u64 = 6000;
const POLL: Duration = Duration::from_millis(2);

struct Run {
    run: u64,
    cpu: u64,
    started_at: u64,
    duration_ms: u64,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// A run that was at work.
#[derive(Clone, Debug)]
pub struct Span {
    pub worker: String,
    pub task: String,
    /// When it began, in milliseconds since the start.
    pub from: u64,
    /// When it ended; `None` while it runs.
    pub until: Option<u64>,
}

#[derive(Default)]
struct State {
    fence: u64,
    hold_until: u64,
    running: BTreeMap<String, Run>,
    /// The highest run of each task that ended or was stopped here.
    closed: BTreeMap<String, u64>,
    ended: Vec<End>,
    last_end: u64,
}

/// A worker; clones share it.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub rack: String,
    /// Its thousandths of a core.
    pub cpu: u64,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
    spans: Arc<Mutex<Vec<Span>>>,
}

impl Worker {
    /// Starts a worker on a free loopback port.
    pub fn start(
        id: &str,
        service: &str,
        rack: &str,
        cpu: u64,
        record: &Record,
        spans: &Arc<Mutex<Vec<Span>>>,
    ) -> std::io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Worker {
            id: id.to_owned(),
            service: service.to_owned(),
            rack: rack.to_owned(),
            cpu,
            address: listener.local_addr()?,
            state: Arc::default(),
            record: record.clone(),
            spans: spans.clone(),
        };
        let handler = worker.clone();
        serve(listener, move |request| handler.handle(request));
        let ticker = worker.clone();
        std::thread::spawn(move || loop {
            drop(ticker.advanced());
            std::thread::sleep(Duration::from_millis(5));
        });
        Ok(worker)
    }

    /// Its entry in the platform's list.
    pub fn entry(&self) -> String {
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":64000,\"gpu\":0}},\"labels\":[\"a\",{}],\"id\":{}}}",
            quote(&self.service),
            self.address,
            self.cpu,
            quote(&self.rack),
            quote(&self.id)
        )
    }

    /// The state, with all ends that are due by now.
    fn advanced(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.record.now();
        let hold_is_over = now > state.hold_until;
        let due: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| {
                let how = match now >= run.started_at + run.duration_ms {
                    true => "done",
                    false if hold_is_over => "lapsed",
                    false => return None,
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in due {
            self.end(&mut state, &task, how);
        }
        state
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push(End {
            number,
            task: task.to_owned(),
            run: run.run,
            how,
        });
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run.run);
        let now = self.record.now();
        let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        let open = spans
            .iter_mut()
            .find(|span| span.until.is_none() && span.worker == self.id && span.task == task);
        if let Some(span) = open {
            span.until = Some(now);
        }
        let ran = now - run.started_at;
        self.record.line(format!(
            "worker {} run {task} {} ended {how} after {ran} ms",
            self.id, run.run
        ));
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        if request
            .header("Expected-Instance")
            .is_some_and(|expected| expected != self.id)
        {
            return (421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.text()) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.advanced();
        let fence = body.number("fenceToken").unwrap_or(0);
        if fence < state.fence {
            return self.refused("fence");
        }
        state.fence = fence;
        match request.path() {
            "/-/run-start" => self.start_run(state, &body),
            "/-/run-stop" => self.stop_run(state, &body),
            "/-/hold" => self.hold(state, &body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn refused(&self, reason: &str) -> (u16, String) {
        let clock = self.record.now();
        (
            409,
            format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"),
        )
    }

    fn accepted(&self) -> (u16, String) {
        (200, format!("{{\"clockMs\":{}}}", self.record.now()))
    }

    fn extend_hold(&self, state: &mut State, deadline: u64) {
        let longest = self.record.now() + MAX_HOLD_MS;
        state.hold_until = state.hold_until.max(deadline.min(longest));
    }

    fn start_run(&self, mut state: MutexGuard<'_, State>, body: &Json) -> (u16, String) {
        let (Some(task), Some(run), Some(deadline)) = (
            body.text("task"),
            body.number("runId"),
            body.number("deadlineMs"),
        ) else {
            return (400, "{}".to_owned());
        };
        let now = self.record.now();
        if state
            .running
            .get(task)
            .is_some_and(|known| known.run == run)
        {
            self.extend_hold(&mut state, deadline);
            return self.accepted();
        }
        if state.closed.get(task).is_some_and(|closed| run <= *closed) {
            self.extend_hold(&mut state, deadline);
            return self.refused("old");
        }
        if now > deadline {
            return self.refused("late");
        }
        let step: usize = task
            .split('.')
            .nth(2)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let line = body
            .text("spec")
            .unwrap_or("")
            .lines()
            .nth(step)
            .unwrap_or("");
        let mut words = line.split(' ');
        let duration = words.next().and_then(|text| text.parse().ok());
        let cpu = words.next().and_then(|text| text.parse::<u64>().ok());
        let (Some(duration_ms), Some(cpu)) = (duration, cpu) else {
            return (400, "{}".to_owned());
        };
        self.extend_hold(&mut state, deadline);
        let used: u64 = state.running.values().map(|run| run.cpu).sum();
        if used + cpu > self.cpu || state.running.contains_key(task) {
            return self.refused("room");
        }
        state.running.insert(
            task.to_owned(),
            Run {
                run,
                cpu,
                started_at: now,
                duration_ms,
            },
        );
        self.spans
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Span {
                worker: self.id.clone(),
                task: task.to_owned(),
                from: now,
                until: None,
            });
        let fence = state.fence;
        self.record.line(format!(
            "worker {} run {task} {run} started, fence {fence}, {duration_ms} ms of work",
            self.id
        ));
        self.accepted()
    }

    fn stop_run(&self, mut state: MutexGuard<'_, State>, body: &Json) -> (u16, String) {
        let (Some(task), Some(run)) = (body.text("task"), body.number("runId")) else {
            return (400, "{}".to_owned());
        };
        self.record
            .line(format!("worker {} told to stop run {task} {run}", self.id));
        if state
            .running
            .get(task)
            .is_some_and(|known| known.run == run)
        {
            self.end(&mut state, task, "stopped");
        } else {
            let closed = state.closed.entry(task.to_owned()).or_default();
            *closed = (*closed).max(run);
        }
        self.accepted()
    }

    fn hold<'a>(&'a self, mut state: MutexGuard<'a, State>, body: &Json) -> (u16, String) {
        let last_seen = body.number("lastSeen").unwrap_or(0);
        state.ended.retain(|end| end.number > last_seen);
        if let Some(deadline) = body.number("deadlineMs") {
            self.extend_hold(&mut state, deadline);
        }
        let until = self.record.now() + body.number("waitMs").unwrap_or(0).min(2000);
        while state.ended.is_empty() && self.record.now() < until {
            drop(state);
            std::thread::sleep(POLL);
            state = self.advanced();
        }
        let now = self.record.now();
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, run)| {
                let percent = (now - run.started_at) * 100 / run.duration_ms.max(1);
                format!("[{},{},\"\",{}]", quote(task), run.run, percent.min(99))
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|end| {
                format!(
                    "[{},{},{},\"{}\",\"\"]",
                    end.number,
                    quote(&end.task),
                    end.run,
                    end.how
                )
            })
            .collect();
        let body = format!(
            "{{\"clockMs\":{now},\"running\":[{}],\"ended\":[{}]}}",
            running.join(","),
            ended.join(",")
        );
        (200, body)
    }
}

/// Serves the platform's list of these workers.
pub fn platform(workers: &[Worker]) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let workers = workers.to_vec();
    serve(listener, move |request| match request.path() {
        "/instances" => {
            let entries: Vec<String> = workers.iter().map(Worker::entry).collect();
            let body = format!(
                "{{\"instances\":[{}],\"nextPageToken\":null}}",
                entries.join(",")
            );
            (200, body)
        }
        _ => (404, "{}".to_owned()),
    });
    Ok(address)
}
