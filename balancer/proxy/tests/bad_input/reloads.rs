//! Invalid configurations on SIGHUP, and invalid lists from discovery.
use crate::common::*;
use crate::process::*;

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "a table of configurations and their errors"
)]
fn reload_of_an_invalid_configuration_changes_nothing() {
    let upstream = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let good = config(
        discovery.addr,
        1024,
        &listing(1, true, &[(0, upstream.addr, "active")]),
    );
    let mut command = command(&good);
    command.args(["run", "--set", "log.rate=100000"]);
    let path = config_path(&command);
    let node = Node::run(command, discovery);
    let mut reloads = 0;
    let mut assert_rejected = |write: &dyn Fn(), expected: &str| {
        write();
        node.send_sighup();
        reloads += 1;
        node.wait_for_log_times("not reloaded: ", reloads);
        let log = node.log();
        let last = log
            .iter()
            .rfind(|l| l.contains("not reloaded: "))
            .expect("a line");
        assert!(
            last.contains(expected) && last.chars().count() < 500,
            "expected {expected}: {last}"
        );
        assert_serves(&node, &format!("after-{reloads}"));
    };
    let write_config = |text: &[u8]| std::fs::write(&path, text).expect("write");
    for part in 0..8 {
        assert_rejected(
            &|| write_config(&good.as_bytes()[..good.len() * part / 8]),
            "EOF",
        );
    }
    assert_rejected(
        &|| write_config(&[good.as_bytes(), b"}"].concat()),
        "trailing",
    );
    assert_rejected(
        &|| write_config(&[&good.as_bytes()[..10], b"\xff", &good.as_bytes()[10..]].concat()),
        "name: invalid unicode",
    );
    assert_rejected(
        &|| write_config(&[&good.as_bytes()[..20], b"\xff", &good.as_bytes()[20..]].concat()),
        ".json: invalid unicode",
    );
    assert_rejected(
        &|| {
            write_config(
                good.replace("\"deadline\":20000", "\"deadline\":1e300")
                    .as_bytes(),
            )
        },
        "classes[0].deadline",
    );
    assert_rejected(
        &|| write_config(good.replace("\"sockets\":1024", "\"sockets\":1").as_bytes()),
        "limits.sockets",
    );
    assert_rejected(
        &|| {
            write_config(
                good.replace("\"discovery\":\"", "\"discovery\":\"x")
                    .as_bytes(),
            )
        },
        "discovery: ",
    );
    assert_rejected(
        &|| std::fs::remove_file(&path).expect("remove file"),
        "NODE_CONFIG: ",
    );
    assert!(
        !node.log().iter().any(|l| l.contains(": reloaded")),
        "{:?}",
        node.log()
    );
    assert_no_panic(&node);
}

#[test]
fn reload_moves_discovery_and_names_settings_needing_restart() {
    let upstream = Upstream::start(|_| ok("x"));
    let (discovery, new_discovery) = (Discovery::start(), Discovery::start());
    let known = listing(1, true, &[(0, upstream.addr, "active")]);
    let node = Node::run(command(&config(discovery.addr, 1024, &known)), discovery);
    // An unusable list does not keep discovery at its old address.
    let changed =
        config(new_discovery.addr, 2048, "7").replace("\"attempts_cap\":5", "\"attempts_cap\":2");
    node.reload(&changed);
    let expected = format!(
        "reloaded, discovery at {}; restart needed to change: limits.sockets, settings",
        new_discovery.addr
    );
    node.wait_for_log(&expected);
    assert_eq!(
        new_discovery.next_call_path(),
        "/api/targets?since=1&timeout_ms=1000"
    );
    assert_serves(&node, "r1");
    // Settings unchanged since the start are not reported.
    node.reload(&config(new_discovery.addr, 1024, "null"));
    node.wait_for_log_times(": reloaded", 2);
    let log = node.log();
    let last = log
        .iter()
        .rfind(|l| l.contains(": reloaded"))
        .expect("a line");
    assert!(
        last.ends_with(&format!("discovery at {}", new_discovery.addr)),
        "{last}"
    );
}

#[test]
fn unusable_discovery_list_changes_nothing() {
    let upstream = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let good = listing(1, true, &[(0, upstream.addr, "active")]);
    let mut command = command(&push_mode_config(&discovery, &good));
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
        node.discovery.next_call_path();
        node.discovery
            .respond_with_headers("Connection: close\r\n", list);
        node.wait_for_log_times("discovery: ", n + 1);
        assert_serves(&node, &format!("after-{n}"));
    }
    // Every call asked for changes after the old list.
    assert_eq!(
        node.discovery.next_call_path(),
        "/api/targets?since=1&timeout_ms=1000"
    );
    assert_no_panic(&node);
}
