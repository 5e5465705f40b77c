//! Chain replication under an agreed membership view, as a state machine without I/O.
//!
//! The coordinators agree on a sequence of views; each view is decided by a majority of the voters of the previous
//! one. A view names a chain: writes enter at the head, are replicated from member to member, and are committed at the
//! tail once they are durable on every member. A voter that has promised a ballot for the next view accepts no more
//! writes in the current one, so every member of the old chain that promises such a ballot holds all committed
//! entries.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod agreement;
mod catch_up;
mod catch_up_backoff;
mod chain;
mod chain_state;
mod commit_history;
mod disk_confirmation;
mod disk_notes;
mod disk_tickets;
mod durable_state;
mod fitness;
mod inputs;
mod log;
mod membership;
mod own_disk;
mod peer;
mod progress;
mod quorum_contact;
mod replica;
mod replication;
mod ring;
mod settings;
mod snapshot_progress;
mod snapshot_transfer;
mod state_machine;
mod time_of_day;
mod tolerance;
mod view_change;
mod view_composition;
mod view_reason;
mod view_timer;
mod voting;

pub use durable_state::{AgreementState, DiskRecords, DurableRecord, DurableState};
pub use replica::{Output, Replica, QUORUM_CONTACT_TIMEOUT_MS};
pub use settings::ControlSettings;
pub use state_machine::{restore, EncodedSnapshot, RestoreError, StateMachine, StateSnapshot};
pub use time_of_day::TimeOfDay;
pub use tolerance::Tolerance;
