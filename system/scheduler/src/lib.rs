//! Places and starts the tasks of one service, as a state machine without I/O.
//!
//! A [`Scheduler`] exists where its role is held. It reads the replicated state, proposes commands for the log, and
//! says which calls to make to workers. A run is in the log before its start is sent, and an end is in the log before
//! the worker is told that it was seen.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backfill;
mod calls;
mod explanation;
mod health;
mod hold_waits;
mod holds;
mod outlook;
mod placement;
mod planning;
mod preemption;
mod queue;
mod replies;
mod reservations;
mod response_times;
mod room_index;
mod runs;
mod scheduler;
mod settings;
mod take_over;
mod worker;
mod worker_list;

pub use calls::{
    ListedCompletion, ListedRun, Listing, Output, RefusalReason, WorkerCall, WorkerOrder,
    WorkerReply,
};
pub use explanation::{Explanation, RunExplanation, StepExplanation, WorkerCounts};
pub use response_times::ResponseTimes;
pub use scheduler::{Scheduler, Summary};
pub use settings::SchedulerSettings;
