//! Bounds the lengths of the lists in the settings and the objectives of classes.
//!
//! The balancer numbers zones with 16 bits and machine kinds with 8 bits, and reserves the highest number for names
//! that the settings do not list. In a longer list, two names would share a number. State per tenant and class is
//! allocated at start, so its size is bounded too.
use crate::error::DeploymentError;
use balancer_core::Class;

/// The simulator's wire format has one byte for the class.
const MAX_CLASSES: usize = 256;
/// The protocol between the balancers of a tier numbers tenants with 16 bits.
const MAX_TENANTS: usize = u16::MAX as usize;
/// One number is stored for each pair of a tenant and a class: 8 MiB in total.
const MAX_PAIRS: usize = 1 << 20;
/// The highest 16-bit number is reserved for names that the settings do not list.
const MAX_ZONES: usize = u16::MAX as usize;
/// The highest 8-bit number is reserved, see [`MAX_ZONES`].
const MAX_KINDS: usize = u8::MAX as usize;
/// Shorter objectives have no practical meaning, and a quotient with one as its divisor may not be finite.
const MIN_OBJECTIVE_MS: f64 = 1e-3;

/// Number of entries under each key.
pub(crate) struct Lengths {
    /// `classes`
    pub classes: usize,
    /// `tenants`
    pub tenants: usize,
    /// `dcs`
    pub zones: usize,
    /// `kinds`
    pub kinds: usize,
}

/// Refuses lists that are too long.
pub(crate) fn check_lengths(lengths: &Lengths) -> Result<(), DeploymentError> {
    check_length("classes", lengths.classes, MAX_CLASSES)?;
    check_length("tenants", lengths.tenants, MAX_TENANTS)?;
    check_length("dcs", lengths.zones, MAX_ZONES)?;
    check_length("kinds", lengths.kinds, MAX_KINDS)?;
    if lengths.classes * lengths.tenants > MAX_PAIRS {
        return Err(DeploymentError::TooManyPairs {
            tenants: lengths.tenants,
            classes: lengths.classes,
            max: MAX_PAIRS,
        });
    }
    Ok(())
}

fn check_length(key: &'static str, entries: usize, max: usize) -> Result<(), DeploymentError> {
    if entries > max {
        return Err(DeploymentError::TooManyEntries { key, entries, max });
    }
    Ok(())
}

/// Refuses objectives that are too short to divide by.
pub(crate) fn check_objectives(classes: &[Class]) -> Result<(), DeploymentError> {
    let too_short = |class: &Class| class.objective < MIN_OBJECTIVE_MS;
    match classes.iter().position(too_short) {
        Some(class) => Err(DeploymentError::ObjectiveTooShort {
            class,
            min: MIN_OBJECTIVE_MS,
        }),
        None => Ok(()),
    }
}
