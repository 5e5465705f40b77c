//! The deployment with its upstreams, platform, clients and operator.
use crate::{
    cluster::Cluster,
    http::{self, serve, NoResponse, Response},
    record::Record,
    worker::{Size, Sizes, Worker, WorkerSettings},
};
use std::{
    net::TcpListener,
    sync::{Arc, PoisonError},
    time::Duration,
};

pub const HOST: &str = "ficu95.example";
pub const SERVICE: &str = "huvo11a";

pub struct World {
    pub cluster: Cluster,
    pub workers: Vec<Arc<Worker>>,
    sizes: Sizes,
    pub record: Record,
}

/// One step of a job that a client sends.
pub struct Step {
    pub count: u64,
    pub size: Size,
    pub estimated_ms: u64,
    pub depends_on: Vec<usize>,
    pub gang: bool,
    pub long_running: bool,
    /// The rack that holds the data.
    pub affinity: Option<String>,
}

impl Step {
    pub fn new(count: u64, size: Size, estimated_ms: u64) -> Step {
        Step {
            count,
            size,
            estimated_ms,
            depends_on: Vec::new(),
            gang: false,
            long_running: false,
            affinity: None,
        }
    }

    fn json(&self) -> String {
        let mut fields = vec![
            format!("\"count\":{}", self.count),
            format!("\"cpu\":{}", self.size.cpu),
            format!("\"memMb\":{}", self.size.mem_mb),
        ];
        if self.estimated_ms > 0 {
            fields.push(format!("\"estimatedMs\":{}", self.estimated_ms));
        }
        if !self.depends_on.is_empty() {
            fields.push(format!("\"dependsOn\":{:?}", self.depends_on));
        }
        if self.gang {
            fields.push("\"gang\":true".to_owned());
        }
        if let Some(rack) = &self.affinity {
            fields.push(format!("\"affinity\":\"{rack}\""));
        }
        if self.long_running {
            fields.push("\"longRunning\":true".to_owned());
        }
        format!("{{{}}}", fields.join(","))
    }
}

impl World {
    /// Starts everything: `workers` upstreams of one service, `edges` edge machines, and a first configuration.
    pub fn start(
        workers: usize,
        edges: usize,
        capacity: Size,
        configuration: &str,
        record: &Record,
    ) -> Result<World, String> {
        let say = |context: &str, error: std::io::Error| format!("{context}: {error}");
        let sizes = Sizes::default();
        let workers: Vec<Arc<Worker>> = (0..workers)
            .map(|number| {
                let settings = WorkerSettings {
                    number,
                    service: SERVICE.to_owned(),
                    zone: ["zone-a", "zone-b", "zone-c"][number % 3].to_owned(),
                    capacity,
                };
                Worker::start(settings, sizes.clone(), record.clone())
            })
            .collect::<Result<_, _>>()
            .map_err(|error| say("upstreams", error))?;
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| say("platform", error))?;
        let platform = listener.local_addr().map_err(|error| say("platform", error))?;
        let entries: Vec<String> = workers.iter().map(|worker| worker.entry()).collect();
        let list = format!("{{\"instances\":[{}],\"nextPageToken\":null}}", entries.join(","));
        serve(listener, Arc::new(move |_| Some(Response::new(200, list.clone()))));
        let cluster =
            Cluster::start(edges, platform, record.clone()).map_err(|error| say("cluster", error))?;
        let world = World {
            cluster,
            workers,
            sizes,
            record: record.clone(),
        };
        let patience = Duration::from_secs(15);
        if !world.cluster.configure(0, configuration, patience) {
            return Err("no configuration was taken".to_owned());
        }
        if !world.cluster.wait_until_ready(patience) {
            return Err("the proxies are not ready".to_owned());
        }
        world.cluster.end_bootstrap().map_err(|error| say("settings", error))?;
        Ok(world)
    }

    /// The body of a job. The upstreams learn the sizes of its tasks, which the order to start a run does not carry.
    pub fn job_body(&self, path: &str, spec: &str, steps: &[Step]) -> Vec<u8> {
        let id = path.rsplit('/').next().unwrap_or("").to_owned();
        {
            let mut sizes = self.sizes.lock().unwrap_or_else(PoisonError::into_inner);
            for (number, step) in steps.iter().enumerate() {
                sizes.insert((id.clone(), number.to_string()), step.size);
            }
        }
        let steps: Vec<String> = steps.iter().map(Step::json).collect();
        format!("{{\"spec\":\"{spec}\",\"steps\":[{}]}}", steps.join(",")).into_bytes()
    }

    /// Hands a job in at a proxy; the same again at the other after silence, a cut, 429, 502, 503 or 504. Returns whether it
    /// was accepted.
    pub fn submit(&self, path: &str, spec: &str, steps: &[Step]) -> bool {
        let body = self.job_body(path, spec, steps);
        for attempt in 0..8 {
            let answer = self.call(attempt % 2, "POST", path, &body, 3000);
            if answer.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// A client's call at a proxy.
    pub fn call(
        &self,
        edge: usize,
        method: &str,
        path: &str,
        body: &[u8],
        deadline_ms: u64,
    ) -> Result<Response, NoResponse> {
        let deadline = deadline_ms.to_string();
        let headers = [("Host", HOST), ("Deadline-Ms", deadline.as_str())];
        let timeout = Duration::from_millis(deadline_ms);
        let answer = http::call(self.cluster.frontend(edge), method, path, &headers, body, timeout);
        let shown = match &answer {
            Ok(answer) => format!("{} {}", answer.status, answer.text()),
            Err(error) => format!("{error:?}"),
        };
        self.record.line(format!("client: {method} {path} at edge-{edge}: {shown}"));
        answer
    }

    /// What a GET says of a job's state.
    pub fn state(&self, path: &str) -> String {
        for edge in [0, 1, 0, 1] {
            if let Ok(answer) = self.call(edge, "GET", path, b"", 3000) {
                if answer.status == 200 || answer.status == 410 {
                    return answer.text();
                }
            }
        }
        "no answer".to_owned()
    }

    /// Whether a task of a job runs on any upstream now.
    pub fn runs(&self, job: &str) -> bool {
        let of_job = |task: &String| task.starts_with(job);
        self.workers.iter().any(|worker| worker.running().iter().any(of_job))
    }

    /// How many runs of a job have been started.
    pub fn starts(&self, job: &str) -> usize {
        self.workers.iter().map(|worker| worker.starts(job)).sum()
    }

    /// How much of all upstreams' processors is in use, in percent.
    pub fn used_percent(&self) -> u64 {
        let used: u64 = self.workers.iter().map(|worker| worker.used().cpu).sum();
        let all: u64 = self.workers.iter().map(|worker| worker.capacity.cpu).sum();
        used * 100 / all
    }

    /// How many tasks of a size there is room for now.
    pub fn room_for(&self, size: Size) -> u64 {
        let room = |worker: &Arc<Worker>| {
            let used = worker.used();
            let by_cpu = (worker.capacity.cpu - used.cpu) / size.cpu.max(1);
            by_cpu.min((worker.capacity.mem_mb - used.mem_mb) / size.mem_mb.max(1))
        };
        self.workers.iter().map(room).sum()
    }
}
