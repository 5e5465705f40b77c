//! Makes the disks of balancers full, failing or slow, by writing directives that the balancer's build with fault
//! injection reads.
use super::error::FaultError;
use super::injector::{balancers_of, Injector};
use crate::draw::PlannedFault;
use crate::experiment::FaultKind;

/// The directive for the balancer's fault injection.
fn directive(fault: &PlannedFault) -> String {
    match (fault.kind, fault.delay) {
        (FaultKind::DiskSlow, Some((min, _))) => format!("slow {min:.0}ms"),
        (FaultKind::DiskFull, _) => "full".into(),
        _ => "failing".into(),
    }
}

impl Injector {
    pub(super) async fn fail_disks(&self, fault: &PlannedFault) -> Result<(), FaultError> {
        let directive = directive(fault);
        let balancers = balancers_of(fault);
        for &balancer in &balancers {
            self.fleet.balancers[balancer].set_disk_faults(Some(&directive))?;
        }
        self.fleet.world.clock.until(fault.until).await;
        for &balancer in &balancers {
            self.fleet.balancers[balancer].set_disk_faults(None)?;
        }
        Ok(())
    }
}
