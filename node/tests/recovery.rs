//! What outlives the program: each test kills it, spoils what it kept, and starts it again.
mod common;
use common::*;
use std::path::Path;
use std::process::{Command, Stdio};
use tempfile::TempDir;

/// A balancer that is told of no upstream, and whose discovery says nothing by itself.
fn started(dir: &Path) -> Node {
    let discovery = Discovery::start();
    let mut command = command(&config(discovery.addr, 1024, "null"));
    command.args(["run", "--set", &format!("recovery.dir={}", dir.display())]);
    command.args(["--set", &format!("figures.dir={}", dir.display()), "--set", "figures.every=100ms"]);
    Node::run(command, discovery)
}

/// What a verb says of a folder, and its status.
fn state(verb: &str, dir: &Path) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_herondock"))
        .args(["state", verb])
        .arg(dir)
        .stdout(Stdio::piped())
        .output()
        .expect("runs");
    (out.status.code(), String::from_utf8_lossy(&out.stdout).into_owned())
}

#[test]
fn a_killed_balancer_serves_from_the_list_it_had_while_discovery_is_silent() {
    let dir = TempDir::new().expect("a folder");
    let (kept, gone) = (Upstream::start(|_| ok("kept")), Upstream::start(|_| ok("gone")));
    let node = started(dir.path());
    node.logs("recovery: start 1, no list: none was kept");
    node.discovery.answer(&listing(4, true, &[(0, kept.addr, "active"), (1, gone.addr, "active")]));
    node.discovery.answer(&listing(5, false, &[(1, gone.addr, "left")]));
    // The call after the last answer: that one has been taken.
    while node.discovery.called() != "/api/targets?since=5&timeout_ms=5000" {}
    let shown = || state("show", dir.path()).1;
    let started_at = std::time::Instant::now();
    while !shown().contains("\"version\":5") {
        assert!(started_at.elapsed() < PATIENCE, "{}", shown());
    }
    let figures = || std::fs::read_to_string(dir.path().join("figures.json")).unwrap_or_default();
    // One write or two: a newer list takes the place of one that the disk has not got to.
    let written =
        |text: String| text.contains("\"recovery\":{\"commits\":") && !text.contains("\"commits\":0");
    while !written(figures()) {
        assert!(started_at.elapsed() < PATIENCE, "{}", figures());
    }
    assert!(figures().contains("\"starts\":1"), "{}", figures());
    drop(node);
    let node = started(dir.path());
    node.logs("recovery: start 2, a list of 1 upstreams");
    let mut client = node.client();
    for n in 0..5 {
        assert_eq!(client.call(&get(&format!("r{n}"), "5000m")).body, b"kept");
    }
    assert_eq!(gone.further(), 0);
    assert_eq!(node.discovery.called(), "/api/targets?since=5&timeout_ms=5000");
    // One that is older than it may be is not used.
    drop(node);
    let mut command = command(&config(Discovery::start().addr, 1024, "null"));
    command.args([
        "run",
        "--set",
        &format!("recovery.dir={}", dir.path().display()),
        "--set",
        "recovery.list_age=0s",
    ]);
    let node = Node::run(command, Discovery::start());
    node.logs("recovery: start 3, no list: it is 0 s old");
    assert_eq!(node.client().call(&get("r9", "5000m")).status(), 503);
}

#[test]
fn a_folder_in_use_is_left_alone_and_one_that_is_broken_is_set_aside() {
    let dir = TempDir::new().expect("a folder");
    let first = started(dir.path());
    first.logs("recovery: start 1");
    let second = started(dir.path());
    second.logs("another process holds it; going on without");
    assert_eq!(second.client().call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 503);
    drop((first, second));
    assert_eq!(state("check", dir.path()).0, Some(0));
    let file = dir.path().join("state.redb");
    let length = std::fs::metadata(&file).expect("the state").len();
    std::fs::OpenOptions::new().write(true).open(&file).expect("opens").set_len(length / 3).expect("cuts");
    assert_eq!(state("check", dir.path()).0, Some(2));
    let third = started(dir.path());
    third.logs("set aside as ");
    third.logs("recovery: start 1, no list: none was kept");
    let log = third.log();
    assert!(log.iter().all(|l| !l.contains("panicked")), "{log:?}");
    assert!(dir.path().join("state.redb.bad-1").is_file());
}
