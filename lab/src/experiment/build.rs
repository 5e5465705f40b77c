//! Builds: alternative programs or options that part of a fleet runs instead of the program under test.
use super::fault::Target;
use serde::Deserialize;

/// Another program, or the program under test with other options.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Build {
    /// Its name. `--build NAME=COMMAND` sets the command to run; the default is the program under test.
    pub name: String,
    /// Options that override those of the experiment.
    #[serde(default)]
    pub options: toml::Table,
    /// Passes none of the experiment's options, for a version too old to accept them.
    #[serde(default)]
    pub bare: bool,
    /// The balancers that start with this build; none by default.
    #[serde(default)]
    pub on: Option<Target>,
}

/// Merges two option tables recursively; keys in `over` take precedence over those in `base`.
pub fn merged(base: &toml::Table, over: &toml::Table) -> toml::Table {
    let mut all = base.clone();
    for (key, value) in over {
        let inner = match (all.get(key), value) {
            (Some(toml::Value::Table(a)), toml::Value::Table(b)) => {
                toml::Value::Table(merged(a, b))
            }
            _ => value.clone(),
        };
        all.insert(key.clone(), inner);
    }
    all
}
