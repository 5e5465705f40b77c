//! Tests of sweeps with the real program: metrics are present and plausible. No assertion depends on speed.
use balancer_lab::capacity::sample::Sample;
use balancer_lab::capacity::scenario::Dimension;
use balancer_lab::capacity::sweep::Sweep;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

/// Long enough for a call to discovery, which a balancer makes at least every second.
const SHORT: Duration = Duration::from_secs(2);
/// Long enough for many datagrams: members of a tier send several per second.
const LONG: Duration = Duration::from_secs(5);

/// Returns the path of the real balancer, built by the same cargo into the same target folder.
fn balancer_proxy() -> PathBuf {
    static BUILT: std::sync::Once = std::sync::Once::new();
    let path = Path::new(env!("CARGO_BIN_EXE_balancer-lab")).with_file_name("balancer-proxy");
    // Testing the workspace builds the balancer; testing this crate alone does not.
    BUILT.call_once(|| {
        if !path.is_file() {
            let release = path
                .parent()
                .is_some_and(|folder| folder.ends_with("release"));
            let profile = if release { "release" } else { "dev" };
            let arguments = [
                "build",
                "--locked",
                "-p",
                "balancer-proxy",
                "--profile",
                profile,
            ];
            assert!(Command::new(env!("CARGO"))
                .args(arguments)
                .status()
                .expect("runs cargo")
                .success());
        }
    });
    path
}

fn measured(dimension: Dimension, sizes: &[usize], span: Duration) -> Vec<Sample> {
    let folder = tempfile::tempdir().expect("a folder");
    let sweep = Sweep {
        dimension,
        sizes: sizes.to_vec(),
        runs: 1,
        span,
        program: balancer_proxy(),
        folder: folder.path().to_path_buf(),
    };
    let mut reported = 0;
    let samples = sweep.measure(|_| reported += 1).expect("measures");
    assert_eq!((reported, samples.len()), (sizes.len(), sizes.len()));
    samples
}

fn metric(sample: &Sample, name: &str) -> f64 {
    *sample
        .metrics
        .get(name)
        .unwrap_or_else(|| panic!("no {name} in {sample:?}"))
}

#[test]
fn upstream_list_uses_memory_and_discovery_traffic() {
    let samples = measured(Dimension::List, &[10, 40], SHORT);
    for sample in &samples {
        assert!(metric(sample, "processor, ms/s") > 0.0);
        assert!(metric(sample, "resident, kB") >= metric(sample, "proportional, kB"));
        assert!(metric(sample, "descriptors") > 3.0);
        assert!(metric(sample, "discovery, bytes/s") > 0.0);
    }
}

#[test]
fn calls_in_flight_take_two_descriptors_each() {
    let samples = measured(Dimension::InFlight, &[10, 60], SHORT);
    for sample in &samples {
        assert_eq!(
            (metric(sample, "held"), metric(sample, "refused")),
            (sample.size as f64, 0.0)
        );
    }
    let grown = metric(&samples[1], "descriptors") - metric(&samples[0], "descriptors");
    assert_eq!(grown, 100.0);
}

#[test]
fn persisted_state_is_written_to_disk() {
    let folder = tempfile::tempdir().expect("a folder");
    let sweep = Sweep {
        dimension: Dimension::Store,
        sizes: vec![10],
        runs: 1,
        span: SHORT,
        program: balancer_proxy(),
        folder: folder.path().to_path_buf(),
    };
    let samples = sweep.measure(|_| ()).expect("measures");
    assert!(metric(&samples[0], "written, bytes/s") >= 0.0);
    let state_file = folder.path().join("store-10-0/balancer-0.state/state.redb");
    assert!(state_file.is_file(), "{}", state_file.display());
}

/// The balancer also has descriptors of its own and connections to the upstreams that it has called, so the number of
/// clients is only a lower bound.
#[test]
fn idle_clients_use_one_descriptor_each() {
    for sample in measured(Dimension::Clients, &[60, 120], SHORT) {
        assert!(
            metric(&sample, "descriptors") >= sample.size as f64,
            "{sample:?}"
        );
    }
}

#[test]
fn propagation_of_list_changes_is_measured() {
    let samples = measured(Dimension::Changes, &[4], SHORT);
    let (median, most) = (
        metric(&samples[0], "taken in by one, median ms"),
        metric(&samples[0], "taken in by one, most ms"),
    );
    assert!(0.0 < median && median <= most, "{samples:?}");
    assert_eq!(metric(&samples[0], "taken in by all, most ms"), most);
    assert_eq!(metric(&samples[0], "not taken in"), 0.0);
}

#[test]
fn real_member_exchanges_datagrams_with_hollow_tier() {
    let samples = measured(Dimension::Peers, &[5], LONG);
    for name in ["peers, sent bytes/s", "peers, read bytes/s"] {
        assert!(metric(&samples[0], name) > 0.0, "{samples:?}");
    }
}
