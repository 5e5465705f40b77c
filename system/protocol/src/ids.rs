//! Names of machines, processes, jobs, tasks and runs.
use minicbor::{Decode, Encode};
use std::{fmt, net::Ipv4Addr};

/// One core machine with one life of its disk. A machine whose disk was lost comes back as another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Member {
    /// The machine's IPv4 address, as a number.
    #[n(0)]
    pub address: u32,
    /// Drawn when the disk was first written; zero for disks of the first start of the whole system.
    #[n(1)]
    pub disk: u64,
}

impl Member {
    /// The machine's address.
    pub fn ip(&self) -> Ipv4Addr {
        Ipv4Addr::from(self.address)
    }
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:04x}", self.ip(), self.disk & 0xffff)
    }
}

/// One life of a coordinator process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ReplicaId {
    /// Its machine and disk.
    #[n(0)]
    pub member: Member,
    /// Drawn at each start of the process.
    #[n(1)]
    pub incarnation: u64,
}

/// A job's name, chosen by its client: 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct JobId(#[n(0)] pub u64);

impl JobId {
    /// Reads 16 lower-case hexadecimal digits.
    pub fn parse(text: &str) -> Option<JobId> {
        let proper =
            text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        proper
            .then(|| u64::from_str_radix(text, 16).ok().map(JobId))
            .flatten()
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Counts the starts of a task, from one. All members of a gang share it.
pub type RunId = u32;

/// One task of one step, at one of the times that a repeated job falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct TaskId {
    /// The job.
    #[n(0)]
    pub job: JobId,
    /// Which time of a repeated job; zero for others.
    #[n(1)]
    pub occurrence: u32,
    /// Position of the step.
    #[n(2)]
    pub step: u32,
    /// Position within the step.
    #[n(3)]
    pub index: u32,
}

impl TaskId {
    /// Reads the form `JOB.TIME.STEP.INDEX`.
    pub fn parse(text: &str) -> Option<TaskId> {
        let mut parts = text.split('.');
        let job = JobId::parse(parts.next()?)?;
        let mut number = || parts.next()?.parse::<u32>().ok();
        let task = TaskId {
            job,
            occurrence: number()?,
            step: number()?,
            index: number()?,
        };
        parts.next().is_none().then_some(task)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.occurrence, self.step, self.index
        )
    }
}
