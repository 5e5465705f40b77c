//! How many entries each list of the settings may have. Owns no state.
//!
//! Positions of zones and kinds are numbers of 16 and 8 bits to the module, and a last one stands for names that the
//! settings don't list: a longer list would give two names one number. What is kept for each tenant and class takes
//! memory from the start on.
use balancer_core::Class;

/// The simulator names a class by a byte.
const CLASSES_MOST: usize = 256;
/// The tier's protocol numbers tenants with 16 bits.
const TENANTS_MOST: usize = u16::MAX as usize;
/// A number is kept for each class of each tenant: 8 MiB of them.
const CLASSES_OF_TENANTS_MOST: usize = 1 << 20;
/// Positions from 0, without the one for names that are not listed.
const ZONES_MOST: usize = u16::MAX as usize;
/// See [`ZONES_MOST`].
const KINDS_MOST: usize = u8::MAX as usize;
/// Shorter objectives, in milliseconds, mean nothing, and what is divided by them would not stay finite.
const OBJECTIVE_LEAST: f64 = 1e-3;

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

/// Refuses lists that are too long; the message names the list.
pub(crate) fn check_lengths(lengths: &Lengths) -> Result<(), String> {
    let Lengths {
        classes,
        tenants,
        zones,
        kinds,
    } = *lengths;
    for (field, length, most) in [
        ("classes", classes, CLASSES_MOST),
        ("tenants", tenants, TENANTS_MOST),
        ("dcs", zones, ZONES_MOST),
        ("kinds", kinds, KINDS_MOST),
    ] {
        if length > most {
            return Err(format!("{field}: {length} entries; {most} at most"));
        }
    }
    if classes * tenants > CLASSES_OF_TENANTS_MOST {
        let most = CLASSES_OF_TENANTS_MOST;
        return Err(format!(
            "tenants: {tenants} for {classes} classes; {most} at most of both multiplied"
        ));
    }
    Ok(())
}

/// Refuses objectives that nothing can be divided by.
pub(crate) fn check_objectives(classes: &[Class]) -> Result<(), String> {
    match classes.iter().position(|c| c.objective < OBJECTIVE_LEAST) {
        Some(i) => Err(format!(
            "classes[{i}].objective: must be at least {OBJECTIVE_LEAST}"
        )),
        None => Ok(()),
    }
}
