//! Places and starts the tasks of one service, as a state machine without I/O.
//!
//! A [`Scheduler`] exists on the coordinator that has the service's role. It reads the replicated state, proposes
//! commands for the log, and lists the calls to make to workers. It owns no socket, disk or clock: its caller sends the
//! calls, commits the commands and tells the time.
//!
//! A run is in the log before its start is sent, and a completion is in the log before it is acknowledged to its worker.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod applied;
mod backfill;
mod call_table;
mod calls;
mod capacity_index;
mod discovery;
mod ejection_report;
mod explanation;
mod forecast;
mod health;
mod job_calendar;
mod job_review;
mod lease_schedule;
mod lease_timing;
mod leases;
mod nominations;
mod orders;
mod placement;
mod planner;
mod planning_schedule;
mod preemption;
mod queue;
mod replies;
mod response_times;
mod run;
mod run_table;
mod scheduler;
mod settings;
mod take_over;
mod worker;

pub use calls::{
    ListedCompletion, ListedRun, Listing, Output, RefusalReason, WorkerCall, WorkerOrder,
    WorkerReply,
};
pub use explanation::{Explanation, RunExplanation, StepExplanation, WorkerCounts};
pub use response_times::ResponseTimes;
pub use scheduler::{Scheduler, Summary};
pub use settings::SchedulerSettings;
