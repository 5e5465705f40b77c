//! Builds: what part of a fleet runs instead of the program under test.
use super::fault::Target;
use serde::Deserialize;

/// Another program, or the one under test with other options.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Build {
    /// Its name. `--build NAME=COMMAND` says what it runs; without that it is the program under test.
    pub name: String,
    /// Options that go before the experiment's.
    #[serde(default)]
    pub options: toml::Table,
    /// It gets none of the experiment's options: it may be too old to know them.
    #[serde(default)]
    pub bare: bool,
    /// Who runs it from the start; by default nobody.
    #[serde(default)]
    pub on: Option<Target>,
}

/// One set of options before another: what `over` states goes before what `base` does, key by key.
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
