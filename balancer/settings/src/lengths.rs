//! Bounds what each list of the settings may hold. Owns no state.
//!
//! Positions of zones and kinds are numbers of 16 and 8 bits to the balancer, and a last one stands for names that the
//! settings don't list: a longer list would give two names one number. What is stored for each tenant and class takes
//! memory from the start on.
use crate::error::DeploymentError;
use balancer_core::Class;

/// The simulator names a class by a byte.
const MAX_CLASSES: usize = 256;
/// The tier's protocol numbers tenants with 16 bits.
const MAX_TENANTS: usize = u16::MAX as usize;
/// A number is stored for each class of each tenant: 8 MiB of them.
const MAX_PAIRS: usize = 1 << 20;
/// Positions from 0, without the one for names that are not listed.
const MAX_ZONES: usize = u16::MAX as usize;
/// See [`MAX_ZONES`].
const MAX_KINDS: usize = u8::MAX as usize;
/// Shorter objectives, in milliseconds, mean nothing, and what is divided by them would not stay finite.
const MIN_OBJECTIVE: f64 = 1e-3;

/// The lengths of the lists.
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

/// Refuses objectives that nothing can be divided by.
pub(crate) fn check_objectives(classes: &[Class]) -> Result<(), DeploymentError> {
    let too_short = |class: &Class| class.objective < MIN_OBJECTIVE;
    match classes.iter().position(too_short) {
        Some(class) => Err(DeploymentError::ObjectiveTooShort {
            class,
            min: MIN_OBJECTIVE,
        }),
        None => Ok(()),
    }
}
