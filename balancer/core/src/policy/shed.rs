//! Owns the level up to which all copies of a tier refuse alike: what is over a tenant's limit there.
use super::limits::{limits, RESERVATION};
use crate::{interface::*, state::*};

/// A tenant must be over its limit by so many standard errors of the sums.
const ERRORS: f64 = 2.0;
/// The limits are those of this multiple of the room, and so far may they go beyond it who are within theirs:
/// each copy's own admission holds back what is not there, and room grows only by what is tried.
pub(super) const ROOM_SPARE: f64 = 1.25;
/// No more of a tenant's requests is refused: what still passes shows when there is room.
const PART_MOST: f64 = 0.95;
/// How fast a copy learns, per request, that refused ones come again, and how much more often at most.
const AGAIN_GAIN: f64 = 0.02;
const AGAIN_MOST: f64 = 8.0;

impl Shed {
    /// Takes in sums: the published limits over the tier tell what part of each tenant's demand is over. What
    /// keeps to the stated quotas is not: where it finds no room, that is for each copy's own admission.
    pub(crate) fn hear(&mut self, sums: Option<&TierSums>, quotas: f64, tenants: &[TenantState]) {
        self.parts.fill(0.0);
        let Some(s) = sums.filter(|s| s.load.tenants.len() == tenants.len()) else {
            return;
        };
        let demands: Vec<f64> = s.load.tenants.iter().map(|t| t.demand).collect();
        let weight = |(t, &asked): (&TenantState, &f64)| if asked > 0.0 { t.weight } else { 0.0 };
        let weights: Vec<f64> = tenants.iter().zip(&demands).map(weight).collect();
        let limits = limits(
            (s.load.room * ROOM_SPARE).max(quotas),
            &demands,
            &weights,
            RESERVATION,
        );
        for (i, (limit, &asked)) in limits
            .iter()
            .zip(&demands)
            .enumerate()
            .filter(|t| *t.1 .1 > 0.0)
        {
            // The smaller a part of the whole, the less sure it is.
            let sure = 1.0 + ERRORS * s.error * (demands.iter().sum::<f64>() / asked).sqrt();
            self.parts[i] = (1.0 - limit * sure / asked).clamp(0.0, PART_MOST);
        }
    }

    /// Places a request. First goes what earns least for its work, in doublings, so that what copies learned
    /// apart makes no two orders; then what has the lowest tie.
    pub(crate) fn judge(&mut self, tenant: usize, r: &Request, classes: &[Class]) -> Level {
        self.asked(tenant, r.class);
        let passes = 1.0 - self.parts[tenant];
        if self.parts.iter().all(|&part| part < 0.005) {
            return Level::Absent;
        } else if passes > 0.995 {
            return Level::Within;
        }
        let value = |c: usize| (classes[c].value / self.takes[c].max(1.0)).log2().round();
        let before = self.before(tenant, (r.class, r.tie), value);
        let refused = before < (1.0 - self.again * passes).min(PART_MOST);
        // Refused ones come again with their ties, so that most of what comes is below the level: it is put
        // where as many pass as should.
        let off = 1.0 - f64::from(u8::from(!refused)) / passes;
        self.again = (self.again * (1.0 + AGAIN_GAIN * off)).clamp(1.0, AGAIN_MOST);
        [Level::Above, Level::Below][usize::from(refused)]
    }
}
