//! What outlives the program: each test kills it, spoils what it kept, and starts it again.
mod common;
use common::*;
use std::path::Path;
use std::process::{Command, Stdio};
use tempfile::TempDir;

/// Runs a balancer with this configuration that persists in a folder. It waits for the disk as long as it takes, so that
/// a busy one changes nothing; further options go before.
fn run_in(dir: &Path, config: &str, discovery: Discovery, options: &[&str]) -> Node {
    let mut command = command(config);
    command.args(["run", "--set", &format!("recovery.dir={}", dir.display())]);
    command.args(["--set", "recovery.start_timeout=1m"]);
    for option in options {
        command.args(["--set", option]);
    }
    Node::run(command, discovery)
}

/// A balancer that is told of no upstream, and whose discovery says nothing by itself.
fn started(dir: &Path) -> Node {
    let discovery = Discovery::start();
    let config = config(discovery.addr, 1024, "null");
    let metrics = format!("figures.dir={}", dir.display());
    run_in(dir, &config, discovery, &[&metrics, "figures.every=100ms"])
}

/// What a verb says of a folder, and its status.
fn state(verb: &str, dir: &Path) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_balancer-proxy"))
        .args(["state", verb])
        .arg(dir)
        .stdout(Stdio::piped())
        .output()
        .expect("runs");
    (
        out.status.code(),
        String::from_utf8_lossy(&out.stdout).into_owned(),
    )
}

#[test]
fn a_killed_balancer_serves_from_its_saved_list_while_discovery_does_not_respond() {
    let dir = TempDir::new().expect("a folder");
    let (listed, lost) = (
        Upstream::start(|_| ok("kept")),
        Upstream::start(|_| ok("gone")),
    );
    let node = started(dir.path());
    node.logs("recovery: start 1, no list: none saved");
    node.discovery.answer(&listing(
        4,
        true,
        &[(0, listed.addr, "active"), (1, lost.addr, "active")],
    ));
    node.discovery
        .answer(&listing(5, false, &[(1, lost.addr, "left")]));
    // The call after the last answer: that one has been taken.
    while !node.discovery.called().starts_with("/api/targets?since=5&") {}
    let shown = || state("show", dir.path()).1;
    let started_at = std::time::Instant::now();
    while !shown().contains("\"version\":5") {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{}", shown());
    }
    let metrics = || std::fs::read_to_string(dir.path().join("figures.json")).unwrap_or_default();
    // One write or two: a newer list takes the place of one that the disk has not got to.
    let written = |text: String| {
        text.contains("\"recovery\":{\"commits\":") && !text.contains("\"commits\":0")
    };
    while !written(metrics()) {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{}", metrics());
    }
    assert!(metrics().contains("\"starts\":1"), "{}", metrics());
    drop(node);
    let node = started(dir.path());
    node.logs("recovery: start 2, a list of 1 upstreams");
    let mut client = node.client();
    for n in 0..5 {
        assert_eq!(client.call(&get(&format!("r{n}"), "5000m")).body, b"kept");
    }
    assert_eq!(lost.additional_requests(), 0);
    let called = node.discovery.called();
    assert!(called.starts_with("/api/targets?since=5&"), "{called}");
    // One that is older than it may be is not used.
    drop(node);
    let discovery = Discovery::start();
    let config = config(discovery.addr, 1024, "null");
    let node = run_in(dir.path(), &config, discovery, &["recovery.list_age=0s"]);
    node.logs("recovery: start 3, no list: too old: 0 s");
    assert_eq!(node.client().call(&get("r9", "5000m")).status(), 503);
}

#[test]
fn a_folder_in_use_is_not_touched_and_a_broken_one_is_set_aside() {
    let dir = TempDir::new().expect("a folder");
    let first = started(dir.path());
    first.logs("recovery: start 1");
    let second = started(dir.path());
    second.logs("another process holds it; continuing without it");
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
    let length = std::fs::metadata(&file).expect("the state").len();
    std::fs::OpenOptions::new()
        .write(true)
        .open(&file)
        .expect("opens")
        .set_len(length / 3)
        .expect("cuts");
    assert_eq!(state("check", dir.path()).0, Some(2));
    let third = started(dir.path());
    third.logs("set aside as ");
    third.logs("recovery: start 1, no list: none saved");
    let log = third.log();
    assert!(log.iter().all(|l| !l.contains("panicked")), "{log:?}");
    assert!(dir.path().join("state.redb.bad-1").is_file());
}

/// What a run of a balancer logged of what it found.
fn recovered(node: &Node) -> String {
    node.logs("recovery: ");
    node.log()
        .into_iter()
        .find(|l| l.contains("recovery: "))
        .expect("was logged")
}

/// What is kept under a kind, as `state show` prints it.
fn persisted(kind: &str, dir: &Path) -> Option<String> {
    state("show", dir)
        .1
        .lines()
        .find(|l| l.starts_with(kind))
        .map(str::to_string)
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = std::time::Instant::now();
    while !holds() {
        assert!(started.elapsed() < TEST_TIMEOUT, "{what}");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

#[test]
fn what_was_learned_outlives_a_kill_and_is_dropped_when_the_settings_are_others() {
    let dir = TempDir::new().expect("a folder");
    let upstream = Upstream::start(|_| ok("served"));
    let with = |config: &dyn Fn(&str) -> String, more: &[&str]| {
        let discovery = Discovery::start();
        let config = config(&discovery.addr.to_string());
        run_in(dir.path(), &config, discovery, more)
    };
    let plain = |at: &str| config(at.parse().expect("an address"), 1024, "null");
    let node = with(&plain, &["recovery.every=100ms"]);
    assert!(recovered(&node).contains("no learned state: none saved"));
    node.discovery
        .answer(&listing(1, true, &[(0, upstream.addr, "active")]));
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
        persisted("learned", dir.path()).is_some_and(|l| l.contains("capacity"))
    });
    drop(node);
    let node = with(&plain, &[]);
    assert!(
        recovered(&node).contains("learned state from"),
        "{:?}",
        node.log()
    );
    assert_eq!(node.client().call(&get("again", "5000m")).body, b"served");
    drop(node);
    let node = with(&plain, &["recovery.learned=false"]);
    assert!(
        recovered(&node).contains("no learned state: switched off"),
        "{:?}",
        node.log()
    );
    drop(node);
    let other = |at: &str| plain(at).replace("\"quota_per_s\":5000", "\"quota_per_s\":4000");
    let node = with(&other, &[]);
    assert!(
        recovered(&node).contains("no learned state: the settings have changed"),
        "{:?}",
        node.log()
    );
}

/// The number of a start, as its figures have it.
fn incarnation(dir: &Path) -> Option<u64> {
    let text = std::fs::read_to_string(dir.join("figures.json")).ok()?;
    let (_, rest) = text.split_once("\"incarnation\":")?;
    rest.split(',').next()?.parse().ok()
}

#[test]
fn the_number_of_a_start_never_comes_again_though_the_folder_is_lost() {
    let dir = TempDir::new().expect("a folder");
    let mut numbers = Vec::new();
    for round in 0..4 {
        if round == 2 {
            std::fs::remove_file(dir.path().join("state.redb")).expect("is lost");
        }
        let _ = std::fs::remove_file(dir.path().join("figures.json"));
        let node = started(dir.path());
        wait_until("figures", || incarnation(dir.path()).is_some());
        numbers.extend(incarnation(dir.path()));
        drop(node);
    }
    assert!(
        numbers.windows(2).all(|pair| pair[0] < pair[1]),
        "{numbers:?}"
    );
}

/// The disk is full, then fails, then is well again: requests are served throughout, and what waits is written.
#[test]
fn a_disk_that_does_wrong_costs_no_request() {
    let dir = TempDir::new().expect("a folder");
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
    node.logs("recovery: start 1");
    node.discovery
        .answer(&listing(1, true, &[(0, upstream.addr, "active")]));
    wait_until("the list is kept", || {
        persisted("upstreams", dir.path()).is_some_and(|l| l.contains("s-0"))
    });
    for fault in ["full", "failing", "slow 20s"] {
        std::fs::write(&fault_file, fault).expect("writes");
        if fault != "slow 20s" {
            node.logs(if fault == "full" {
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
    // A disk that takes nothing may still be read: it serves from the list, and says that nothing is kept.
    std::fs::write(&fault_file, "full").expect("writes");
    let node = run();
    node.logs("start count unknown");
    assert_eq!(node.client().call(&get("still", "5000m")).body, b"served");
    drop(node);
    std::fs::remove_file(&fault_file).expect("is well again");
    let node = run();
    node.logs("recovery: start 2, a list of 1 upstreams");
    assert_eq!(state("check", dir.path()).0, Some(0));
    drop(node);
}

/// The other path, forced: a start whose folder does not answer in time goes on without it, and takes up no later what it
/// missed, though the disk is well again.
#[test]
fn a_start_whose_folder_does_not_answer_in_time_goes_on_without_it_to_its_end() {
    let dir = TempDir::new().expect("a folder");
    let fault_file = dir.path().join("drill");
    let saved = Upstream::start(|_| ok("saved"));
    let node = started(dir.path());
    node.discovery
        .answer(&listing(3, true, &[(0, saved.addr, "active")]));
    wait_until("the list is kept", || {
        persisted("upstreams", dir.path()).is_some_and(|l| l.contains("s-0"))
    });
    drop(node);
    // Every access takes longer than the start waits for all of them.
    std::fs::write(&fault_file, "slow 300ms").expect("writes");
    let discovery = Discovery::start();
    let config = config(discovery.addr, 1024, "null");
    let faults = format!("recovery.drill={}", fault_file.display());
    // The last one counts.
    let options = [faults.as_str(), "recovery.start_timeout=100ms"];
    let node = run_in(dir.path(), &config, discovery, &options);
    node.logs("no response within 100ms; continuing without it");
    std::fs::remove_file(&fault_file).expect("is well again");
    assert_eq!(node.client().call(&get("early", "5000m")).status(), 503);
    // It asks discovery for everything, so that it knows of no earlier list, and serves by the answer.
    let called = node.discovery.called();
    assert!(!called.contains("since="), "{called}");
    let listed = Upstream::start(|_| ok("listed"));
    node.discovery
        .answer(&listing(9, true, &[(1, listed.addr, "active")]));
    let called = node.discovery.called();
    assert!(called.starts_with("/api/targets?since=9&"), "{called}");
    assert_eq!(node.client().call(&get("r1", "5000m")).body, b"listed");
    assert_eq!(saved.additional_requests(), 0);
    drop(node);
    // It kept nothing: the next start has the list from before.
    let node = started(dir.path());
    node.logs("a list of 1 upstreams");
    assert_eq!(node.client().call(&get("r2", "5000m")).body, b"saved");
}
