//! Places and starts the tasks of one service, as a state machine without I/O.
//!
//! The coordinator that owns a service's role runs its [`Scheduler`]. It reads the replicated state, proposes commands
//! for the log and emits calls to workers. It uses no sockets, disks or clocks: its caller sends the calls, commits the
//! commands and passes in the current time.
//!
//! A run is committed to the log before its start is sent, and a completion is committed before it is acknowledged to
//! its worker.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod applied;
mod backfill;
mod call_table;
mod calls;
mod capacity_index;
mod changed_jobs;
mod discovery;
mod ejection_report;
mod explanation;
mod failed_placements;
mod forecast;
mod health;
mod job_reconciliation;
mod job_timers;
mod lease_schedule;
mod lease_timing;
mod leases;
mod locality;
mod nominations;
mod orders;
mod placement;
mod planned_unit;
mod planner;
mod planning_round;
mod planning_schedule;
mod preemption;
mod queue;
mod replies;
mod response_times;
mod run;
mod run_table;
mod scheduler;
mod settings;
mod stalls;
mod start_backoff;
mod submission_placement;
mod take_over;
mod unit_placement;
mod worker;

pub use calls::{
    ListedCompletion, ListedRun, Listing, Output, RefusalReason, WorkerCall, WorkerOrder,
    WorkerReply,
};
pub use explanation::{
    Explanation, RejectedStartsExplanation, RunExplanation, StepExplanation, WorkerCounts,
};
pub use response_times::ResponseTimes;
pub use scheduler::{Scheduler, SchedulerSummary};
pub use settings::SchedulerSettings;
