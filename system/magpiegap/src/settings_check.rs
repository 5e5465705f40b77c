//! Check of a settings file for the operator: invalid fields, warnings and unused fields.
use crate::settings::{FieldFault, NodeSettings, SettingsError};
use std::{fmt, path::Path};

/// The only supported value of the `commands` setting.
const INVOCATION: &str = "invocation";

/// The result of checking a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsReport {
    /// Name of the machine.
    pub node_name: String,
    /// Name of the role.
    pub role: String,
    /// Fields with invalid values.
    pub faults: Vec<FieldFault>,
    /// Values that are valid, but probably a mistake.
    pub warnings: Vec<String>,
    /// Fields that this program does not use.
    pub unused: Vec<String>,
}

impl SettingsReport {
    /// Parses a settings file and checks all of its fields.
    ///
    /// # Errors
    /// When the file can't be read or parsed.
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

    /// Whether a process can start with these settings.
    pub fn is_valid(&self) -> bool {
        self.faults.is_empty()
    }
}

impl fmt::Display for SettingsReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_valid() {
            "fine"
        } else {
            "can't be used"
        };
        write!(f, "{verdict}: {} on {}", self.role, self.node_name)?;
        for FieldFault { field, must_be } in &self.faults {
            write!(f, "\nfault: {field} must be {must_be}")?;
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

/// Returns warnings about values that are valid, but probably a mistake.
pub(crate) fn warnings(settings: &NodeSettings) -> Vec<String> {
    let mut warnings = Vec::new();
    if !settings.commands.is_empty() && settings.commands != INVOCATION {
        warnings.push(format!(
            "commands = {:?} is not supported; using {INVOCATION:?} instead",
            settings.commands
        ));
    }
    if settings.seeds.is_empty() {
        warnings.push(
            "seeds is empty: this coordinator can join only if others have it among their seeds"
                .to_owned(),
        );
    }
    if !settings.zones.is_empty() && !settings.zones.contains_key(&settings.zone) {
        warnings.push(format!("zone {:?} is not listed in zones", settings.zone));
    }
    warnings
}
