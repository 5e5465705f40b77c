//! Configurations after SIGHUP, and lists of discovery.
use crate::common::*;
use crate::process::*;

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "a table of configurations and their errors"
)]
fn a_reload_of_an_invalid_configuration_changes_nothing() {
    let upstream = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let good = config(
        discovery.addr,
        1024,
        &listing(1, true, &[(0, upstream.addr, "active")]),
    );
    let mut command = command(&good);
    command.args(["run", "--set", "log.rate=100000"]);
    let path = configuration_of(&command);
    let node = Node::run(command, discovery);
    let mut reloads = 0;
    let mut refused = |write: &dyn Fn(), wanted: &str| {
        write();
        node.hang_up();
        reloads += 1;
        node.logs_times("not reloaded: ", reloads);
        let log = node.log();
        let last = log
            .iter()
            .rfind(|l| l.contains("not reloaded: "))
            .expect("a line");
        assert!(
            last.contains(wanted) && last.chars().count() < 500,
            "wanted {wanted}: {last}"
        );
        serves(&node, &format!("after-{reloads}"));
    };
    let written = |text: &[u8]| std::fs::write(&path, text).expect("writes");
    for part in 0..8 {
        refused(
            &|| written(&good.as_bytes()[..good.len() * part / 8]),
            "EOF",
        );
    }
    refused(&|| written(&[good.as_bytes(), b"}"].concat()), "trailing");
    refused(
        &|| written(&[&good.as_bytes()[..10], b"\xff", &good.as_bytes()[10..]].concat()),
        "name: invalid unicode",
    );
    refused(
        &|| written(&[&good.as_bytes()[..20], b"\xff", &good.as_bytes()[20..]].concat()),
        ".json: invalid unicode",
    );
    refused(
        &|| {
            written(
                good.replace("\"deadline\":20000", "\"deadline\":1e300")
                    .as_bytes(),
            )
        },
        "classes[0].deadline",
    );
    refused(
        &|| written(good.replace("\"sockets\":1024", "\"sockets\":1").as_bytes()),
        "limits.sockets",
    );
    refused(
        &|| {
            written(
                good.replace("\"discovery\":\"", "\"discovery\":\"x")
                    .as_bytes(),
            )
        },
        "discovery: ",
    );
    refused(
        &|| std::fs::remove_file(&path).expect("removes"),
        "NODE_CONFIG: ",
    );
    assert!(
        !node.log().iter().any(|l| l.contains(": reloaded")),
        "{:?}",
        node.log()
    );
    never_panicked(&node);
}

#[test]
fn a_reload_takes_discovery_over_and_says_what_stays() {
    let upstream = Upstream::start(|_| ok("x"));
    let (discovery, other) = (Discovery::start(), Discovery::start());
    let known = listing(1, true, &[(0, upstream.addr, "active")]);
    let node = Node::run(command(&config(discovery.addr, 1024, &known)), discovery);
    // A list that can't be used is no reason to stay where discovery was.
    let changed = config(other.addr, 2048, "7").replace("\"attempts_cap\":5", "\"attempts_cap\":2");
    node.reload(&changed);
    let wanted = format!(
        "reloaded, discovery at {}; restart needed to change: limits.sockets, settings",
        other.addr
    );
    node.logs(&wanted);
    assert_eq!(other.called(), "/api/targets?since=1&timeout_ms=1000");
    serves(&node, "r1");
    // What has not changed since the start isn't told of.
    node.reload(&config(other.addr, 1024, "null"));
    node.logs_times(": reloaded", 2);
    let log = node.log();
    let last = log
        .iter()
        .rfind(|l| l.contains(": reloaded"))
        .expect("a line");
    assert!(
        last.ends_with(&format!("discovery at {}", other.addr)),
        "{last}"
    );
}

#[test]
fn a_list_of_discovery_that_cannot_be_used_changes_nothing() {
    let upstream = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let good = listing(1, true, &[(0, upstream.addr, "active")]);
    let mut command = command(&pushed(&discovery, &good));
    command.args(["run", "--set", "log.rate=100000"]);
    let node = Node::run(command, discovery);
    let removed = listing(2, true, &[(0, upstream.addr, "left")]);
    let bad = [
        removed[..removed.len() - 1].to_string(),
        removed.replace("\"full\":true", "\"full\":\"yes\""),
        removed.replace("\"version\":2", "\"version\":1e300"),
        removed.replace("\"started_ms\":0", "\"started_ms\":-1"),
        listing(0, true, &[(0, upstream.addr, "left")]),
    ];
    for (n, list) in bad.iter().enumerate() {
        node.discovery.called();
        node.discovery.answer_with("Connection: close\r\n", list);
        node.logs_times("discovery: ", n + 1);
        serves(&node, &format!("after-{n}"));
    }
    // It was asked for what came after the old list all the time.
    assert_eq!(
        node.discovery.called(),
        "/api/targets?since=1&timeout_ms=1000"
    );
    never_panicked(&node);
}
