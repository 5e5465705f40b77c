//! Settings files: what is read, what is ignored, and how faults are named.
use googletest::prelude::*;
use magpiegap::NodeSettings;
use std::path::PathBuf;

const FINE: &str = r#"
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

/// Writes a settings file that is this test's own.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("settings-{name}.toml"));
    std::fs::write(&path, text).unwrap();
    path
}

fn fault(name: &str, text: &str) -> String {
    NodeSettings::read(&file(name, text)).map(|_| String::new()).unwrap_or_else(|error| error.to_string())
}

#[googletest::test]
fn given_a_settings_file_when_it_is_read_then_ports_and_seeds_follow() {
    let settings = NodeSettings::read(&file("fine", FINE)).unwrap();
    expect_that!(settings.peer_port(), eq(7660));
    expect_that!(settings.request_port(), eq(7661));
    expect_that!(settings.agent_address().to_string(), eq("127.0.0.1:7662"));
    expect_that!(settings.seed_addresses(), elements_are![eq(&0x0a01_000f), eq(&0x0a02_0019)]);
    expect_that!(settings.bootstrap, eq(false));
}

#[googletest::test]
fn given_faulty_settings_when_they_are_read_then_one_line_names_the_field() {
    let line = fault("ports", &FINE.replace("[7660, 7675]", "[7660, 7661]"));
    expect_that!(line, ends_with("internalPortRange must be at least three ports"));
    let line = fault("hold", &FINE.replace("maxHoldMs = 6000", "maxHoldMs = -1"));
    expect_that!(line, contains_substring("bounds.maxHoldMs must be"));
    let line = fault("ip", &FINE.replace("10.1.0.15\"\nint", "ten\"\nint"));
    expect_that!(line, contains_substring("ip"));
    expect_that!(line.lines().count(), eq(1));
    expect_that!(fault("cut", &FINE[..60]), not(eq("")));
    let missing = NodeSettings::read(&PathBuf::from("/nowhere/at-all.toml"));
    expect_that!(missing.map(|_| ()).unwrap_err().to_string(), starts_with("/nowhere/at-all.toml"));
}

#[googletest::test]
fn given_machines_that_share_a_host_when_their_addresses_are_of_loopback_then_their_agents_do_not_share_one()
{
    let alone = NodeSettings::read(&file("alone", FINE)).unwrap();
    expect_that!(alone.agent_address().to_string(), eq("127.0.0.1:7662"));
    let shared = FINE.replace("ip = \"10.1.0.15\"", "ip = \"127.0.62.3\"");
    let shared = NodeSettings::read(&file("shared", &shared)).unwrap();
    expect_that!(shared.agent_address().to_string(), eq("127.0.62.3:7662"));
}
