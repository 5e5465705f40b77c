//! Options: the precedence of their sources, and the errors for unusable ones.
use balancer_proxy::options::{load, Level, Loaded, Options, Source};
use std::path::Path;
use std::time::Duration;

fn read(text: &str, variables: &[(&str, &str)], set: &[&str]) -> Result<Loaded, String> {
    let variables = variables
        .iter()
        .map(|(n, v)| (n.to_string(), v.to_string()));
    let set: Vec<String> = set.iter().map(|s| s.to_string()).collect();
    load(Some((Path::new("o.toml"), text)), variables, &set).map_err(|error| error.to_string())
}

#[test]
fn defaults_apply_without_options() {
    let loaded = load(None, std::iter::empty(), &[]).expect("defaults");
    assert_eq!(loaded.options, Options::default());
    let named = read("", &[], &[]).expect("defaults");
    assert_eq!(named.options, Options::default());
    let entries = named.entries();
    assert!(
        entries.len() > 4
            && entries
                .iter()
                .all(|(key, _)| named.source(key) == Source::Default)
    );
}

#[test]
fn later_source_overrides_earlier_and_is_reported() {
    let file = "version = 1\n[log]\nlevel = \"warn\"\nrate = 5\nparts = { discovery = \"debug\" }\n[figures]\nevery = \"250ms\"\n";
    let variables = [
        ("BALANCER_OPTION_LOG_LEVEL", "error"),
        ("BALANCER_OPTION_LOG_PARTS_MODULE", "off"),
    ];
    let loaded = read(file, &variables, &["log.level=debug"]).expect("valid input");
    assert_eq!(loaded.options.log.level, Level::Debug);
    assert_eq!(loaded.options.metrics.interval, Duration::from_millis(250));
    assert_eq!(loaded.options.log.targets.len(), 2);
    let origin = |key: &str| loaded.source(key).to_string();
    assert_eq!(
        (origin("log.level"), origin("log.rate")),
        ("--set".into(), "o.toml:4".into())
    );
    assert_eq!(
        origin("log.parts.module"),
        "BALANCER_OPTION_LOG_PARTS_MODULE"
    );
    assert_eq!(origin("log.format"), "default");
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of inputs and their errors")]
fn error_is_one_line_with_position_and_key() {
    for (text, expected) in [
        (
            "[log]\nlevle = \"info\"\n",
            "o.toml:2: log.levle: unknown; the nearest known key is log.level",
        ),
        (
            "[lgo]\n",
            "o.toml:1: lgo: unknown; the nearest known key is log",
        ),
        (
            "[log]\n\nlevel = \"loud\"\n",
            "o.toml:3: log.level: \"loud\": unknown variant `loud`",
        ),
        (
            "[log]\nrate = 0\n",
            "o.toml:2: log.rate: 0: must be at least 1",
        ),
        (
            "[log]\nparts = { discvery = \"info\" }\n",
            "the nearest known key is log.parts.discovery",
        ),
        (
            "[figures]\nevery = \"5\"\n",
            "o.toml:2: figures.every: \"5\"",
        ),
        (
            "[figures]\nevery = \"5 parsecs\"\n",
            "o.toml:2: figures.every",
        ),
        ("[figures]\nevery = 5\n", "o.toml:2: figures.every: 5"),
        ("[figures]\nevery = \"1ms\"\n", "must be at least 100ms"),
        (
            "[duties]\nport = 1\n",
            "o.toml:2: duties.port: this version has no table \"duties\"",
        ),
        (
            "[peers]\nport = 1\n",
            "o.toml:2: peers.port: unknown; the nearest known key is peers.on",
        ),
        (
            "[peers]\nversion_most = 0\n",
            "o.toml:2: peers.version_most: 0: no supported version remains; this program supports",
        ),
        (
            "[peers]\nversion_most = 300\n",
            "o.toml:2: peers.version_most: 300: ",
        ),
        (
            "version = 2\n",
            "o.toml:1: version: 2 is not supported; this program supports 1 to 1",
        ),
        ("[log\n", "o.toml:1: "),
    ] {
        let error = read(text, &[], &[]).expect_err(text);
        assert!(
            error.contains(expected) && !error.contains('\n'),
            "{text:?}: {error}"
        );
    }
    let error = read("", &[("BALANCER_OPTION_LOG_LEVLE", "info")], &[]).expect_err("unknown");
    assert!(
        error.starts_with("BALANCER_OPTION_LOG_LEVLE") && error.contains("log.level"),
        "{error}"
    );
    assert!(read("", &[], &["log.level"]).is_err());
}

#[test]
fn only_reloadable_options_change_in_a_running_program() {
    let before = Options::default();
    let check_reload = |text: &str| {
        let loaded = read(text, &[], &[]).expect("valid input");
        loaded
            .check_reloadable(&before)
            .map_err(|error| error.to_string())
    };
    assert_eq!(
        check_reload("[log]\nlevel = \"debug\"\nrate = 3\n[figures]\nevery = \"2s\"\n[peers]\nshed = false\n"),
        Ok(())
    );
    assert!(check_reload("[log]\nformat = \"json\"\n")
        .is_err_and(|e| e.contains("o.toml:2: log.format")));
    assert!(check_reload("[figures]\ndir = \"/tmp\"\n").is_err_and(|e| e.contains("figures.dir")));
    assert!(check_reload("[figures]\nlog = true\n").is_err());
    assert!(check_reload("[peers]\non = true\n").is_err_and(|e| e.contains("o.toml:2: peers.on")));
    assert!(check_reload("[peers]\nversion_most = 1\n")
        .is_err_and(|e| e.contains("peers.version_most")));
}

#[test]
fn variables_with_earlier_prefix_are_reported_as_deprecated() {
    let old = ("HERONDOCK_LOG_LEVEL", "error");
    let loaded = read("", &[old], &[]).expect("valid input");
    assert_eq!(loaded.options.log.level, Level::Error);
    assert_eq!(loaded.deprecated, ["HERONDOCK_LOG_LEVEL"]);

    let loaded =
        read("", &[old, ("BALANCER_OPTION_LOG_LEVEL", "debug")], &[]).expect("valid input");
    assert_eq!(loaded.options.log.level, Level::Debug);

    let loaded = read("", &[("BALANCER_OPTION_LOG_LEVEL", "debug")], &[]).expect("valid input");
    assert!(loaded.deprecated.is_empty());
}
