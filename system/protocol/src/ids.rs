//! Identifiers of machines, processes, jobs, tasks and runs, and the text forms of job and task identifiers.
use minicbor::{Decode, Encode};
use std::{fmt, net::Ipv4Addr, ops::RangeInclusive};

/// A core machine with one incarnation of its disk. A machine whose disk was lost rejoins as a new member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Member {
    /// The machine's IPv4 address as an integer.
    #[n(0)]
    pub address: u32,
    /// Random identifier generated when the disk is first written; zero for disks of the initial deployment.
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

/// One incarnation of a coordinator process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ReplicaId {
    /// The machine and disk that it runs on.
    #[n(0)]
    pub member: Member,
    /// Random identifier generated at each start of the process.
    #[n(1)]
    pub incarnation: u64,
}

/// Identifier of a job, assigned by its client; written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct JobId(#[n(0)] pub u64);

impl JobId {
    /// Parses 16 hexadecimal digits; `None` for other text. Both cases of a digit name the same job.
    pub fn parse(text: &str) -> Option<JobId> {
        if text.len() != 16 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(JobId)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Number of a run among the runs of its task, starting at one. All tasks of a gang share it.
pub type RunId = u32;

/// One task of one step in one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct TaskId {
    /// The job.
    #[n(0)]
    pub job: JobId,
    /// Number of the occurrence, starting at zero.
    #[n(1)]
    pub occurrence: u32,
    /// Position of the step in the job.
    #[n(2)]
    pub step: u32,
    /// Position of the task in the step.
    #[n(3)]
    pub index: u32,
}

impl TaskId {
    /// The range of the tasks of its step and occurrence, itself included.
    pub fn siblings(self) -> RangeInclusive<TaskId> {
        let last = TaskId {
            index: u32::MAX,
            ..self
        };
        TaskId { index: 0, ..self }..=last
    }

    /// Parses the form `JOB.OCCURRENCE.STEP.INDEX` as it is displayed; `None` for other text.
    pub fn parse(text: &str) -> Option<TaskId> {
        let mut fields = text.split('.');
        let name = fields.next()?;
        let job = JobId::parse(name).filter(|job| job.to_string() == name)?;
        let mut number = || fields.next()?.parse::<u32>().ok();
        let task = TaskId {
            job,
            occurrence: number()?,
            step: number()?,
            index: number()?,
        };
        fields.next().is_none().then_some(task)
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
