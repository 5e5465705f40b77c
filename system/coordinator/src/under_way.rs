//! What is under way at a coordinator: proposals, operations, long polls, and the reading of the platform's list.
use crate::outputs::RequestId;
use magpiegap_protocol::{
    Command, FeedPoll, FencingToken, JobId, Millis, Role, RoleToken, RunStart, Submission,
    ViewNumber, WorkerEntry,
};

/// Why something was proposed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Purpose {
    /// A scheduler needs it; these are the runs in it.
    Scheduler {
        service: String,
        runs: Vec<RunStart>,
    },
    /// To take a role.
    Claim(Role),
    /// To prove that the view stands.
    Lease,
    /// The first proposal in a view: with it all that was proposed before is settled.
    FirstOfView,
}

/// What a client or operator wants.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Operation {
    Submit(Box<Submission>),
    Cancel(JobId),
    ReplaceConfiguration {
        base: u64,
        version: u64,
        body: Vec<u8>,
        change: Vec<u8>,
    },
    DescribeConfiguration,
}

/// An operation that is not settled yet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Pending {
    pub operation: Operation,
    pub requests: Vec<RequestId>,
    pub since: Millis,
    /// It was proposed at least once, and so may take effect.
    pub proposed: bool,
}

/// A question about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Question {
    pub queue: String,
    pub job: JobId,
    /// The job is to be cancelled, and it is asked whether it is there.
    pub cancel: bool,
}

/// A question that waits until the view is confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WaitingRead {
    pub request: RequestId,
    pub question: Question,
    pub since: Millis,
}

/// A proposal under way.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Proposal {
    pub purpose: Option<Purpose>,
    /// The operation that it is to settle.
    pub pending: Option<u64>,
    pub proposed_at: Millis,
    pub view: ViewNumber,
    pub role_token: Option<RoleToken>,
    pub command: Command,
    /// When it is sent to the head again, in case it was lost on its way there.
    pub again_at: Millis,
}

/// A long poll that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    pub request: RequestId,
    pub poll: FeedPoll,
    pub until: Millis,
}

/// The reader of the platform's list.
#[derive(Clone, Debug)]
pub(crate) struct Reader {
    pub token: FencingToken,
    pub sequence: u64,
    pub next_at: Millis,
    pub open: Option<(u64, Millis)>,
    pub collected: Vec<WorkerEntry>,
    pub told_at: Millis,
}
