//! State that survives the process: each test kills the balancer, damages its state or disk where it needs that, and
//! restarts it.
mod common;
use common::*;
use std::path::Path;
use std::process::{Command, Stdio};
use tempfile::TempDir;

/// Runs a balancer that persists in this directory. It waits for the disk as long as needed, so that a busy disk
/// changes nothing; `options` override that.
fn run_in(dir: &Path, config: &str, discovery: Discovery, options: &[&str]) -> Node {
    let mut command = command(config);
    command.args(["run", "--set", &format!("recovery.dir={}", dir.display())]);
    command.args(["--set", "recovery.start_timeout=1m"]);
    for option in options {
        command.args(["--set", option]);
    }
    Node::run(command, discovery)
}

/// A balancer that knows no upstream and whose discovery responds only when told to.
fn start_in(dir: &Path) -> Node {
    let discovery = Discovery::start();
    let config = config(discovery.addr, 1024, "null");
    let metrics = format!("figures.dir={}", dir.display());
    run_in(dir, &config, discovery, &[&metrics, "figures.every=100ms"])
}

/// Runs the `state` subcommand with this verb; returns its status and output.
fn state(verb: &str, dir: &Path) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_balancer-proxy"))
        .args(["state", verb])
        .arg(dir)
        .stdout(Stdio::piped())
        .output()
        .expect("run the program");
    (
        out.status.code(),
        String::from_utf8_lossy(&out.stdout).into_owned(),
    )
}

#[test]
fn killed_balancer_serves_from_its_saved_list() {
    let dir = TempDir::new().expect("temp dir");
    let (listed, removed) = (
        Upstream::start(|_| ok("kept")),
        Upstream::start(|_| ok("gone")),
    );
    let node = start_in(dir.path());
    node.wait_for_log("recovery: start 1, no list: none saved");
    node.discovery.respond(&listing(
        4,
        true,
        &[(0, listed.addr, "active"), (1, removed.addr, "active")],
    ));
    node.discovery
        .respond(&listing(5, false, &[(1, removed.addr, "left")]));
    // The call after the last response: that response has been applied.
    while !node
        .discovery
        .next_call_path()
        .starts_with("/api/targets?since=5&")
    {}
    let shown = || state("show", dir.path()).1;
    let started_at = std::time::Instant::now();
    while !shown().contains("\"version\":5") {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{}", shown());
    }
    let metrics = || std::fs::read_to_string(dir.path().join("figures.json")).unwrap_or_default();
    // One commit or two: a newer list replaces one that has not been written yet.
    let written = |text: String| {
        text.contains("\"recovery\":{\"commits\":") && !text.contains("\"commits\":0")
    };
    while !written(metrics()) {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{}", metrics());
    }
    assert!(metrics().contains("\"starts\":1"), "{}", metrics());
    drop(node);
    let node = start_in(dir.path());
    node.wait_for_log("recovery: start 2, a list of 1 upstreams");
    let mut client = node.client();
    for n in 0..5 {
        assert_eq!(client.call(&get(&format!("r{n}"), "5000m")).body, b"kept");
    }
    assert_eq!(removed.additional_requests(), 0);
    let called = node.discovery.next_call_path();
    assert!(called.starts_with("/api/targets?since=5&"), "{called}");
    // A list older than the allowed age is not used.
    drop(node);
    let discovery = Discovery::start();
    let config = config(discovery.addr, 1024, "null");
    let node = run_in(dir.path(), &config, discovery, &["recovery.list_age=0s"]);
    node.wait_for_log("recovery: start 3, no list: too old: 0 s");
    assert_eq!(node.client().call(&get("r9", "5000m")).status(), 503);
}

#[test]
fn locked_directory_is_untouched_and_corrupt_set_aside() {
    let dir = TempDir::new().expect("temp dir");
    let first = start_in(dir.path());
    first.wait_for_log("recovery: start 1");
    let second = start_in(dir.path());
    second.wait_for_log("another process holds it; continuing without it");
    assert_eq!(
        second
            .client()
            .call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .status(),
        503
    );
    drop((first, second));
    assert_eq!(state("check", dir.path()).0, Some(0));
    let file = dir.path().join("state.redb");
    let length = std::fs::metadata(&file).expect("state file").len();
    std::fs::OpenOptions::new()
        .write(true)
        .open(&file)
        .expect("open")
        .set_len(length / 3)
        .expect("truncate");
    assert_eq!(state("check", dir.path()).0, Some(2));
    let third = start_in(dir.path());
    third.wait_for_log("set aside as ");
    third.wait_for_log("recovery: start 1, no list: none saved");
    let log = third.log();
    assert!(log.iter().all(|l| !l.contains("panicked")), "{log:?}");
    assert!(dir.path().join("state.redb.bad-1").is_file());
}

/// The log line that says what was recovered.
fn recovery_log_line(node: &Node) -> String {
    node.wait_for_log("recovery: ");
    node.log()
        .into_iter()
        .find(|l| l.contains("recovery: "))
        .expect("recovery log line")
}

/// The stored record of this kind, as `state show` prints it.
fn stored_record(kind: &str, dir: &Path) -> Option<String> {
    state("show", dir)
        .1
        .lines()
        .find(|l| l.starts_with(kind))
        .map(str::to_string)
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = std::time::Instant::now();
    while !holds() {
        assert!(began.elapsed() < TEST_TIMEOUT, "{what}");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

#[test]
fn learned_state_survives_kill_but_not_changed_settings() {
    let dir = TempDir::new().expect("temp dir");
    let upstream = Upstream::start(|_| ok("served"));
    let with = |config: &dyn Fn(&str) -> String, more: &[&str]| {
        let discovery = Discovery::start();
        let config = config(&discovery.addr.to_string());
        run_in(dir.path(), &config, discovery, more)
    };
    let base_config = |at: &str| config(at.parse().expect("socket address"), 1024, "null");
    let node = with(&base_config, &["recovery.every=100ms"]);
    assert!(recovery_log_line(&node).contains("no learned state: none saved"));
    node.discovery
        .respond(&listing(1, true, &[(0, upstream.addr, "active")]));
    wait_until("ready", || {
        node.client()
            .call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .status()
            == 200
    });
    let mut client = node.client();
    for n in 0..20 {
        assert_eq!(client.call(&get(&format!("r{n}"), "5000m")).body, b"served");
    }
    wait_until("learned is kept", || {
        stored_record("learned", dir.path()).is_some_and(|l| l.contains("capacity"))
    });
    drop(node);
    let node = with(&base_config, &[]);
    assert!(
        recovery_log_line(&node).contains("learned state from"),
        "{:?}",
        node.log()
    );
    assert_eq!(node.client().call(&get("again", "5000m")).body, b"served");
    drop(node);
    let node = with(&base_config, &["recovery.learned=false"]);
    assert!(
        recovery_log_line(&node).contains("no learned state: switched off"),
        "{:?}",
        node.log()
    );
    drop(node);
    let changed_config =
        |at: &str| base_config(at).replace("\"quota_per_s\":5000", "\"quota_per_s\":4000");
    let node = with(&changed_config, &[]);
    assert!(
        recovery_log_line(&node).contains("no learned state: the settings have changed"),
        "{:?}",
        node.log()
    );
}

/// The incarnation in the metrics.
fn incarnation(dir: &Path) -> Option<u64> {
    let text = std::fs::read_to_string(dir.join("figures.json")).ok()?;
    let (_, rest) = text.split_once("\"incarnation\":")?;
    rest.split(',').next()?.parse().ok()
}

#[test]
fn incarnation_increases_even_if_state_is_lost() {
    let dir = TempDir::new().expect("temp dir");
    let mut numbers = Vec::new();
    for round in 0..4 {
        if round == 2 {
            std::fs::remove_file(dir.path().join("state.redb")).expect("remove state file");
        }
        let _ = std::fs::remove_file(dir.path().join("figures.json"));
        let node = start_in(dir.path());
        wait_until("figures", || incarnation(dir.path()).is_some());
        numbers.extend(incarnation(dir.path()));
        drop(node);
    }
    assert!(
        numbers.windows(2).all(|pair| pair[0] < pair[1]),
        "{numbers:?}"
    );
}

/// The disk is full, then fails, then is slow, then recovers: requests are served throughout, and pending state is
/// written.
#[test]
fn faulty_disk_does_not_fail_requests() {
    let dir = TempDir::new().expect("temp dir");
    let fault_file = dir.path().join("drill");
    let upstream = Upstream::start(|_| ok("served"));
    let run = || {
        let discovery = Discovery::start();
        let config = config(discovery.addr, 1024, "null");
        let faults = format!("recovery.drill={}", fault_file.display());
        run_in(
            dir.path(),
            &config,
            discovery,
            &[&faults, "recovery.every=100ms"],
        )
    };
    let node = run();
    node.wait_for_log("recovery: start 1");
    node.discovery
        .respond(&listing(1, true, &[(0, upstream.addr, "active")]));
    wait_until("the list is kept", || {
        stored_record("upstreams", dir.path()).is_some_and(|l| l.contains("s-0"))
    });
    for fault in ["full", "failing", "slow 20s"] {
        std::fs::write(&fault_file, fault).expect("write");
        if fault != "slow 20s" {
            node.wait_for_log(if fault == "full" {
                "no space left (drill)"
            } else {
                "input/output error (drill)"
            });
        }
        for n in 0..5 {
            assert_eq!(
                node.client()
                    .call(&get(&format!("{}{n}", &fault[..4]), "5000m"))
                    .body,
                b"served"
            );
        }
    }
    drop(node);
    // A disk that rejects writes can still be read: the balancer serves from the saved list and logs that nothing is
    // persisted.
    std::fs::write(&fault_file, "full").expect("write");
    let node = run();
    node.wait_for_log("start count unknown");
    assert_eq!(node.client().call(&get("still", "5000m")).body, b"served");
    drop(node);
    std::fs::remove_file(&fault_file).expect("remove fault file");
    let node = run();
    node.wait_for_log("recovery: start 2, a list of 1 upstreams");
    assert_eq!(state("check", dir.path()).0, Some(0));
    drop(node);
}

/// The timeout path, forced by a slow disk: a start whose state directory does not respond in time continues without
/// it and does not load it later, even after the disk recovers.
#[test]
fn unresponsive_state_directory_is_ignored_until_exit() {
    let dir = TempDir::new().expect("temp dir");
    let fault_file = dir.path().join("drill");
    let saved = Upstream::start(|_| ok("saved"));
    let node = start_in(dir.path());
    node.discovery
        .respond(&listing(3, true, &[(0, saved.addr, "active")]));
    wait_until("the list is kept", || {
        stored_record("upstreams", dir.path()).is_some_and(|l| l.contains("s-0"))
    });
    drop(node);
    // Every disk access takes longer than the start waits in total.
    std::fs::write(&fault_file, "slow 300ms").expect("write");
    let discovery = Discovery::start();
    let config = config(discovery.addr, 1024, "null");
    let faults = format!("recovery.drill={}", fault_file.display());
    // The last value of a repeated option counts.
    let options = [faults.as_str(), "recovery.start_timeout=100ms"];
    let node = run_in(dir.path(), &config, discovery, &options);
    node.wait_for_log("no response within 100ms; continuing without it");
    std::fs::remove_file(&fault_file).expect("remove fault file");
    assert_eq!(node.client().call(&get("early", "5000m")).status(), 503);
    // It requests the full list from discovery, as it knows no earlier one, and serves by the response.
    let called = node.discovery.next_call_path();
    assert!(!called.contains("since="), "{called}");
    let listed = Upstream::start(|_| ok("listed"));
    node.discovery
        .respond(&listing(9, true, &[(1, listed.addr, "active")]));
    let called = node.discovery.next_call_path();
    assert!(called.starts_with("/api/targets?since=9&"), "{called}");
    assert_eq!(node.client().call(&get("r1", "5000m")).body, b"listed");
    assert_eq!(saved.additional_requests(), 0);
    drop(node);
    // It persisted nothing: the next start has the earlier list.
    let node = start_in(dir.path());
    node.wait_for_log("a list of 1 upstreams");
    assert_eq!(node.client().call(&get("r2", "5000m")).body, b"saved");
}
