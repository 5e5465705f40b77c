//! Steps that could not be placed in a planning round, so that similar ones need not be tried in it.
use crate::backfill::expected_duration_ms;
use magpiegap_protocol::{Millis, StepSpec};

/// A step that could not be placed in a round.
struct FailedPlacement {
    step: StepSpec,
    /// Shorter tasks may still be placed.
    min_duration_ms: Millis,
}

/// Steps that could not be placed in a round. Steps that need the same or more cannot be placed either and are skipped.
#[derive(Default)]
pub(crate) struct FailedPlacements {
    failed: Vec<FailedPlacement>,
}

impl FailedPlacements {
    /// Whether a step needs at least what a step that failed needs.
    pub(crate) fn covers(&self, step: &StepSpec) -> bool {
        let duration_ms = expected_duration_ms(step);
        let is_covered_by = |failed: &FailedPlacement| {
            failed.step.resources.fits_in(&step.resources)
                && failed.step.requirements == step.requirements
                && failed.step.affinity == step.affinity
                && failed.min_duration_ms <= duration_ms
                && failed.step.anti_affinity == 0
                && !failed.step.gang
        };
        self.failed.iter().any(is_covered_by)
    }

    pub(crate) fn len(&self) -> usize {
        self.failed.len()
    }

    /// Adds a step that could not be placed. If no worker had enough capacity, shorter tasks cannot be placed either.
    /// Otherwise reservations prevented the placement, and shorter tasks may still fit before these.
    pub(crate) fn add(&mut self, step: &StepSpec, any_has_capacity: bool) {
        let min_duration_ms = if any_has_capacity {
            expected_duration_ms(step)
        } else {
            0
        };
        self.failed.push(FailedPlacement {
            step: step.clone(),
            min_duration_ms,
        });
    }
}
