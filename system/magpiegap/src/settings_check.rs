//! The operator's check of a settings file: all faults, warnings, and fields that are not used.
use crate::settings::{FieldFault, NodeSettings, SettingsError};
use std::{fmt, path::Path};

/// The only way of sending orders to workers that this program supports.
const INVOCATION: &str = "invocation";

/// The result of the check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsReport {
    /// Name of the machine.
    pub node_name: String,
    /// Name of the role.
    pub role: String,
    /// Fields with values that can't be used.
    pub faults: Vec<FieldFault>,
    /// What works, but may not be meant.
    pub warnings: Vec<String>,
    /// Fields that this program does not use.
    pub unused: Vec<String>,
}

impl SettingsReport {
    /// Reads a settings file and looks at all of it.
    ///
    /// # Errors
    /// When it can't be read, or is no settings file.
    pub fn of(file: &Path) -> Result<SettingsReport, SettingsError> {
        let (settings, mut unused) = NodeSettings::parse(file)?;
        unused.sort_unstable();
        Ok(SettingsReport {
            faults: settings.faults(),
            warnings: warnings(&settings),
            unused,
            node_name: settings.node_name,
            role: settings.role,
        })
    }

    /// Whether a process can start with it.
    pub fn is_fine(&self) -> bool {
        self.faults.is_empty()
    }
}

impl fmt::Display for SettingsReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_fine() {
            "fine"
        } else {
            "can't be used"
        };
        write!(f, "{verdict}: {} on {}", self.role, self.node_name)?;
        for FieldFault { field, must } in &self.faults {
            write!(f, "\nfault: {field} must be {must}")?;
        }
        for warning in &self.warnings {
            write!(f, "\nwarning: {warning}")?;
        }
        if !self.unused.is_empty() {
            write!(f, "\nnot used by this program: {}", self.unused.join(", "))?;
        }
        Ok(())
    }
}

/// Warns of what works, but may not be meant.
pub(crate) fn warnings(settings: &NodeSettings) -> Vec<String> {
    let mut warnings = Vec::new();
    if !settings.commands.is_empty() && settings.commands != INVOCATION {
        warnings.push(format!(
            "commands = {:?} is not known; workers are told what to do as with {INVOCATION:?}",
            settings.commands
        ));
    }
    if settings.seeds.is_empty() {
        warnings.push("seeds is empty: other coordinators have to find this one".to_owned());
    }
    if !settings.zones.is_empty() && !settings.zones.contains_key(&settings.zone) {
        warnings.push(format!(
            "zone {:?} is not in the table of zones",
            settings.zone
        ));
    }
    warnings
}
