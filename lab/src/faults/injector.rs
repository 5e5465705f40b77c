//! Shared by all faults: the handles that they act through, the selection of their targets, and actions on many targets
//! at once.
use super::announcements::Announcements;
use super::error::FaultError;
use crate::draw::{Party, PlannedFault};
use crate::fleet::Fleet;
use crate::guard::Guard;
use std::future::Future;
use std::sync::Arc;
use tokio::task::JoinSet;

/// Injects faults into a fleet; clones share the fleet.
#[derive(Clone)]
pub(super) struct Injector {
    pub(super) fleet: Arc<Fleet>,
    pub(super) guard: Guard,
    pub(super) announcements: Arc<Announcements>,
}

/// The balancers that a fault targets, including those whose discovery agent it targets.
pub(super) fn balancers_of(fault: &PlannedFault) -> Vec<usize> {
    let balancer = |party: &Party| match party {
        Party::Balancer(balancer) | Party::Agent(balancer) => Some(*balancer),
        Party::Clients(_) | Party::Upstream(_) => None,
    };
    fault.on.iter().filter_map(balancer).collect()
}

/// The upstreams that a fault targets.
pub(super) fn upstreams_of(fault: &PlannedFault) -> Vec<usize> {
    let upstream = |party: &Party| match party {
        Party::Upstream(upstream) => Some(*upstream),
        Party::Clients(_) | Party::Balancer(_) | Party::Agent(_) => None,
    };
    fault.on.iter().filter_map(upstream).collect()
}

/// Runs an action for each victim, all at once, and waits for all of them.
///
/// # Errors
/// Returns the first error; the remaining actions are aborted.
pub(super) async fn for_each_at_once<F, T>(victims: Vec<usize>, action: F) -> Result<(), FaultError>
where
    F: Fn(usize) -> T,
    T: Future<Output = Result<(), FaultError>> + Send + 'static,
{
    let mut tasks = JoinSet::new();
    for victim in victims {
        tasks.spawn(action(victim));
    }
    join_all(tasks).await
}

/// Waits for all tasks.
///
/// # Errors
/// Returns the first error; the remaining tasks are aborted.
pub(super) async fn join_all(mut tasks: JoinSet<Result<(), FaultError>>) -> Result<(), FaultError> {
    while let Some(joined) = tasks.join_next().await {
        joined??;
    }
    Ok(())
}
