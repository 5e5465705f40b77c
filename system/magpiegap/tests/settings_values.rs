//! Compatibility of settings files: stored files must always be read to the same values.
//!
//! Field names must not change, because the same files are read by the old and the new build during a rolling upgrade. The
//! files are in `golden/settings/`.
use googletest::prelude::*;
use magpiegap::{NodeSettings, SettingsReport};
use magpiegap_control::Tolerance;
use magpiegap_protocol::{FailureDomainId, Location};
use std::{
    net::Ipv4Addr,
    path::{Path, PathBuf},
};

fn stored(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/settings")
        .join(format!("{name}.toml"))
}

fn read(name: &str) -> NodeSettings {
    NodeSettings::read(&stored(name)).unwrap()
}

fn seeds(settings: &NodeSettings) -> Vec<String> {
    settings.seeds.iter().map(ToString::to_string).collect()
}

#[googletest::test]
fn every_field_of_a_file_is_read() {
    let settings = read("all_fields");
    expect_that!(settings.node_name, eq("core-7"));
    expect_that!(settings.role, eq("proxy"));
    expect_that!(settings.ip, eq(Ipv4Addr::new(10, 3, 0, 35)));
    expect_that!(settings.zone, eq("east-1"));
    let zones: Vec<(&str, &str)> = settings
        .zones
        .iter()
        .map(|(zone, region)| (zone.as_str(), region.as_str()))
        .collect();
    expect_that!(zones, eq(&[("east-1", "east"), ("west-2", "west")]));
    expect_that!(settings.internal_port_range, eq((7100, 7102)));
    expect_that!(
        seeds(&settings),
        eq(&["10.1.0.15:8146", "[fd00::1]:8147", "10.2.0.25:8148"])
    );
    expect_that!(settings.bootstrap, eq(true));
    expect_that!(
        settings.data_dir,
        some(eq(Path::new("/var/lib/some-folder")))
    );
    expect_that!(settings.commands, eq("invocation"));
    let listen = &settings.listen;
    let addresses = [listen.frontend, listen.readiness, listen.control_plane];
    let addresses = addresses.map(|address| address.unwrap().to_string());
    expect_that!(
        addresses,
        eq(&["10.3.0.35:8001", "127.0.0.1:8002", "[::1]:8003"])
    );
    let tolerance = settings.fault_tolerance;
    expect_that!(
        (tolerance.machines, tolerance.zones, tolerance.regions),
        eq((2, 3, 4))
    );
    let bounds = settings.bounds;
    expect_that!(
        (bounds.grace_s, bounds.max_hold_ms, bounds.stop_ms),
        eq((7.5, 6100.0, 410.5))
    );
    expect_that!(
        (bounds.gang_ms, bounds.status_s, bounds.far_x),
        eq((3100.0, 130.0, 2.25))
    );
    expect_that!(settings.limits.max_fds, eq(1024));
    let cloud = &settings.cloud;
    expect_that!(
        cloud.address.map(|address| address.to_string()),
        some(eq("10.9.0.95:9001"))
    );
    expect_that!((cloud.rate_per_s, cloud.max_lag_ms), eq((12.5, 1500.0)));
}

#[googletest::test]
fn values_derived_from_a_file_stay_the_same() {
    let settings = read("all_fields");
    expect_that!(
        (settings.peer_port(), settings.request_port()),
        eq((7100, 7101))
    );
    expect_that!(settings.agent_address().to_string(), eq("127.0.0.1:7102"));
    expect_that!(settings.seed_addresses(), eq(&[0x0a01_000f, 0x0a02_0019]));
    let location = Location {
        zone: FailureDomainId::from_name("east-1"),
        region: FailureDomainId::from_name("east"),
    };
    expect_that!(settings.location(), eq(location));
    let tolerance = Tolerance {
        machines: 2,
        zones: 3,
        regions: 4,
    };
    expect_that!(Tolerance::from(settings.fault_tolerance), eq(tolerance));
    let report = SettingsReport::of(&stored("all_fields")).unwrap();
    expect_that!(report.to_string(), eq("fine: proxy on core-7"));
}

/// The file has the same content as the valid file in `settings.rs`.
#[googletest::test]
fn missing_fields_get_their_defaults() {
    let settings = read("few_fields");
    expect_that!(settings.node_name, eq("core-1"));
    expect_that!(settings.role, eq("coordinator"));
    expect_that!(settings.ip, eq(Ipv4Addr::new(10, 1, 0, 15)));
    expect_that!(settings.internal_port_range, eq((7660, 7675)));
    expect_that!(seeds(&settings), eq(&["10.1.0.15:8146", "10.2.0.25:8146"]));
    expect_defaults(&settings);
    let report = SettingsReport::of(&stored("few_fields")).unwrap();
    let text = "fine: coordinator on core-1\nnot used by this program: someLaterField";
    expect_that!(report.to_string(), eq(text));
}

#[googletest::test]
fn a_minimal_file_gets_the_defaults() {
    let settings = read("minimal");
    expect_that!(settings.node_name, eq(""));
    expect_that!(settings.role, eq(""));
    expect_that!(settings.ip, eq(Ipv4Addr::new(127, 0, 62, 3)));
    expect_that!(settings.internal_port_range, eq((7660, 7662)));
    expect_that!(seeds(&settings).len(), eq(0));
    expect_that!(settings.agent_address().to_string(), eq("127.0.62.3:7662"));
    expect_defaults(&settings);
}

/// Expects the defaults of the fields that a file does not set.
fn expect_defaults(settings: &NodeSettings) {
    expect_that!(settings.zone, eq(""));
    expect_that!(settings.zones.len(), eq(0));
    expect_that!(settings.bootstrap, eq(false));
    expect_that!(settings.data_dir, none());
    expect_that!(settings.commands, eq(""));
    let listen = &settings.listen;
    expect_that!(
        [listen.frontend, listen.readiness, listen.control_plane],
        eq([None; 3])
    );
    let tolerance = settings.fault_tolerance;
    expect_that!(
        (tolerance.machines, tolerance.zones, tolerance.regions),
        eq((1, 0, 0))
    );
    let bounds = settings.bounds;
    expect_that!(
        (bounds.grace_s, bounds.max_hold_ms, bounds.stop_ms),
        eq((6.0, 6000.0, 400.0))
    );
    expect_that!(
        (bounds.gang_ms, bounds.status_s, bounds.far_x),
        eq((3000.0, 120.0, 2.0))
    );
    expect_that!(settings.limits.max_fds, eq(4096));
    expect_that!(settings.cloud.address, none());
    expect_that!(
        (settings.cloud.rate_per_s, settings.cloud.max_lag_ms),
        eq((0.0, 0.0))
    );
    expect_that!(settings.location(), eq(Location::default()));
}

#[googletest::test]
fn every_fault_and_warning_names_its_field() {
    let report = SettingsReport::of(&stored("all_invalid")).unwrap();
    let faults: Vec<&str> = report.faults.iter().map(|fault| fault.field).collect();
    let expected = [
        "internalPortRange",
        "bounds.maxHoldMs",
        "bounds.stop_ms",
        "bounds.gang_ms",
        "bounds.graceS",
        "bounds.status_s",
        "bounds.far_x",
        "faultTolerance.machines",
        "faultTolerance.zones",
        "faultTolerance.regions",
    ];
    expect_that!(faults, eq(&expected));
    let warnings = elements_are![
        starts_with("commands = \"heartbeat\" "),
        starts_with("seeds is empty"),
        starts_with("zone \"nowhere\" ")
    ];
    expect_that!(report.warnings, warnings);
    let unused = [
        "cloud.laterCloud",
        "laterField",
        "limits.laterLimit",
        "listen.laterListen",
    ];
    expect_that!(report.unused, eq(&unused));
}
