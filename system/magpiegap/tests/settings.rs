//! Parsing of settings files, derived values, and reports of invalid or unused fields.
use googletest::prelude::*;
use magpiegap::{FieldFault, NodeSettings, SettingsReport};
use std::path::PathBuf;

const VALID: &str = r#"
nodeName = "core-1"
role = "coordinator"
ip = "10.1.0.15"
internalPortRange = [7660, 7675]
seeds = ["10.1.0.15:8146", "10.2.0.25:8146"]
someLaterField = { a = 1 }
[bounds]
maxHoldMs = 6000
graceS = 6
"#;

/// Writes a settings file; `name` must be unique to the test.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("settings-{name}.toml"));
    std::fs::write(&path, text).unwrap();
    path
}

fn fault(name: &str, text: &str) -> String {
    NodeSettings::read(&file(name, text))
        .map(|_| String::new())
        .unwrap_or_else(|error| error.to_string())
}

#[googletest::test]
fn ports_and_seeds_are_derived_from_settings() {
    let settings = NodeSettings::read(&file("fine", VALID)).unwrap();
    expect_that!(settings.peer_port(), eq(7660));
    expect_that!(settings.request_port(), eq(7661));
    expect_that!(settings.agent_address().to_string(), eq("127.0.0.1:7662"));
    expect_that!(
        settings.seed_addresses(),
        elements_are![eq(&0x0a01_000f), eq(&0x0a02_0019)]
    );
    expect_that!(settings.bootstrap, eq(false));
}

#[googletest::test]
fn an_invalid_setting_gives_a_line_naming_it() {
    let line = fault("ports", &VALID.replace("[7660, 7675]", "[7660, 7661]"));
    expect_that!(
        line,
        ends_with("internalPortRange must be at least three ports")
    );
    let line = fault("hold", &VALID.replace("maxHoldMs = 6000", "maxHoldMs = -1"));
    expect_that!(line, contains_substring("bounds.maxHoldMs must be"));
    let line = fault("ip", &VALID.replace("10.1.0.15\"\nint", "ten\"\nint"));
    expect_that!(line, contains_substring("ip"));
    expect_that!(line.lines().count(), eq(1));
    expect_that!(fault("cut", &VALID[..60]), not(eq("")));
    let missing = NodeSettings::read(&PathBuf::from("/nowhere/at-all.toml"));
    expect_that!(
        missing.map(|_| ()).unwrap_err().to_string(),
        starts_with("/nowhere/at-all.toml")
    );
}

#[googletest::test]
fn agents_on_one_host_use_distinct_loopback_addresses() {
    let alone = NodeSettings::read(&file("alone", VALID)).unwrap();
    expect_that!(alone.agent_address().to_string(), eq("127.0.0.1:7662"));
    let shared = VALID.replace("ip = \"10.1.0.15\"", "ip = \"127.0.62.3\"");
    let shared = NodeSettings::read(&file("shared", &shared)).unwrap();
    expect_that!(shared.agent_address().to_string(), eq("127.0.62.3:7662"));
}

#[googletest::test]
fn a_check_reports_every_invalid_field() {
    let text =
        VALID.replace("maxHoldMs = 6000", "maxHoldMs = -1") + "[faultTolerance]\nzones = 9\n";
    let report = SettingsReport::of(&file("several", &text)).unwrap();
    expect_that!(report.is_valid(), eq(false));
    let fields: Vec<&str> = report
        .faults
        .iter()
        .map(|FieldFault { field, .. }| *field)
        .collect();
    expect_that!(
        fields,
        elements_are![eq(&"bounds.maxHoldMs"), eq(&"faultTolerance.zones")]
    );
    expect_that!(
        report.to_string(),
        contains_substring("fault: bounds.maxHoldMs must be at least 500")
    );
}

#[googletest::test]
fn unused_fields_are_reported_and_ignored() {
    let text = VALID.replace("[bounds]", "[bounds]\nlater_ms = 3");
    let report = SettingsReport::of(&file("unused", &text)).unwrap();
    expect_that!(report.is_valid(), eq(true));
    expect_that!(
        report.unused,
        elements_are![eq("bounds.later_ms"), eq("someLaterField")]
    );
    expect_that!(report.warnings.is_empty(), eq(true));
}

#[googletest::test]
fn unsupported_commands_and_unknown_zone_give_warnings() {
    let text = VALID.replace(
        "someLaterField = { a = 1 }",
        "commands = \"heartbeat\"\nzone = \"a\"",
    );
    let text = text + "[zones]\nb = \"region\"\n";
    let report = SettingsReport::of(&file("commands", &text)).unwrap();
    expect_that!(report.is_valid(), eq(true));
    expect_that!(
        report.warnings,
        elements_are![
            contains_substring("commands = \"heartbeat\""),
            contains_substring("zone \"a\"")
        ]
    );
    expect_that!(
        NodeSettings::read(&file("commands-read", &text)).is_ok(),
        eq(true)
    );
}

#[googletest::test]
fn the_region_is_looked_up_by_zone() {
    let text = VALID.replace("someLaterField = { a = 1 }", "zone = \"a\"");
    let text = text + "[zones]\na = \"north\"\nb = \"north\"\n";
    let in_a = NodeSettings::read(&file("zone-a", &text))
        .unwrap()
        .location();
    let in_b = NodeSettings::read(&file(
        "zone-b",
        &text.replace("zone = \"a\"", "zone = \"b\""),
    ))
    .unwrap();
    expect_that!(in_a.zone, not(eq(in_b.location().zone)));
    expect_that!(in_a.region, eq(in_b.location().region));
}
