//! A running balancer and bad input: from its starter, after SIGHUP, from discovery and from clients. Nothing of it ends
//! the balancer or changes what it knew.
mod common;
use common::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// How a program ended that ends by itself: its status, and what it wrote to standard output and error.
fn ended(mut command: Command) -> (Option<i32>, String, String) {
    let out = command.stdout(Stdio::piped()).output().expect("runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (out.status.code(), text(out.stdout), text(out.stderr))
}

fn configuration_of(command: &Command) -> PathBuf {
    let path = command
        .get_envs()
        .find(|(name, _)| *name == "NODE_CONFIG")
        .and_then(|(_, path)| path);
    PathBuf::from(path.expect("a configuration"))
}

/// The configuration of a balancer whose discovery pushes: it is asked again soon after each failure.
fn pushed(discovery: &Discovery, known: &str) -> String {
    config(discovery.addr, 1024, known).replace("on_request", "pushed")
}

fn serves(node: &Node, id: &str) {
    assert_eq!(
        node.client().call(&get(id, "5000m")).status(),
        200,
        "{:?}",
        node.log()
    );
}

fn never_panicked(node: &Node) {
    assert!(
        !node.log().iter().any(|line| line.contains("panic")),
        "{:?}",
        node.log()
    );
}

#[test]
fn a_new_process_says_in_one_line_what_it_cannot_start_with() {
    let discovery = Discovery::start();
    let good = config(discovery.addr, 1024, "null");
    let refuses = |command: Command, code: i32, wanted: &str| {
        let (status, said, errors) = ended(command);
        assert_eq!(
            (status, said.as_str()),
            (Some(code), ""),
            "{wanted}: {errors}"
        );
        assert!(
            errors.lines().count() == 1 && errors.contains(wanted),
            "wanted {wanted}: {errors}"
        );
    };
    let with = |argument: &str, text: &str| {
        let mut command = command(text);
        command.arg(argument);
        command
    };
    let cut_off = &good[..good.len() / 2];
    let huge = good.replace("8c1f30d27a5be964", &"x".repeat(1 << 20));
    let no_sockets = good.replace("\"sockets\":1024", "\"sockets\":0");
    for (text, wanted) in [
        ("", "EOF"),
        (cut_off, "EOF"),
        (&huge, "seed: "),
        (&no_sockets, "limits.sockets: "),
    ] {
        refuses(with("run", text), 78, wanted);
        refuses(command(text), 78, wanted);
        refuses(with("check", text), 2, wanted);
    }
    let mut missing = command(&good);
    missing.env("NODE_CONFIG", "/no/such/file");
    refuses(missing, 78, "NODE_CONFIG: /no/such/file: ");
    let mut unnamed = command(&good);
    unnamed.env_remove("NODE_CONFIG");
    refuses(unnamed, 78, "NODE_CONFIG: ");
    let mut too_large = command(&good);
    std::fs::File::create(configuration_of(&too_large))
        .and_then(|f| f.set_len(1 << 40))
        .expect("a hole");
    refuses(too_large, 78, "larger than");
    too_large = command(&good);
    too_large.env("NODE_CONFIG", "/dev/zero");
    refuses(too_large, 78, "larger than");
    // An address in use is no fault of the configuration.
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = taken.local_addr().expect("an address").to_string();
    refuses(
        command(&good.replace("127.0.0.1:0", &address)),
        1,
        "listen: ",
    );
}

#[test]
fn a_new_process_starts_without_a_known_list_that_cannot_be_used() {
    let upstream = Upstream::start(|_| ok("x"));
    let good = listing(1, true, &[(0, upstream.addr, "active")]);
    for bad in [
        "7",
        "[]",
        "{}",
        "\"\\ud83d\\ude00\"",
        &good.replace("active", "odd"),
        &good.replace(":1,", ":-1,"),
    ] {
        let discovery = Discovery::start();
        let node = Node::run(command(&config(discovery.addr, 1024, bad)), discovery);
        let said: Vec<String> = node
            .log()
            .into_iter()
            .filter(|l| l.contains("known: "))
            .collect();
        assert!(
            said.len() == 1 && said[0].ends_with("starting without it"),
            "{bad}: {said:?}"
        );
        // Discovery is asked for the whole list.
        assert_eq!(node.discovery.called(), "/api/targets");
        node.discovery.answer(&good);
        node.discovery.called();
        serves(&node, "r1");
    }
    let discovery = Discovery::start();
    let mut check = command(&config(discovery.addr, 1024, "7"));
    check.arg("check");
    let (status, said, errors) = ended(check);
    assert_eq!((status, errors.as_str()), (Some(0), ""));
    assert!(
        said.lines()
            .any(|l| l.starts_with("known: ") && l.ends_with("would start without it")),
        "{said}"
    );
}

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
        "reloaded, discovery at {}; as before until the next start: limits.sockets, settings",
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

/// The status of the first answer to these bytes, with which the client's side of the connection ends; none if the
/// connection ends without an answer.
fn status_of(node: &Node, bytes: &[u8]) -> Option<u16> {
    let stream = TcpStream::connect(node.addr).expect("connects");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    let mut stream = BufReader::new(stream);
    // The balancer may close before all is written.
    let _ = stream.get_mut().write_all(bytes);
    let _ = stream.get_mut().shutdown(Shutdown::Write);
    let mut line = String::new();
    let _ = stream.read_line(&mut line);
    let rest = stream.read_to_end(&mut Vec::new());
    assert!(rest.is_ok() || rest.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
    line.split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
}

#[test]
fn a_request_truncated_at_any_length_is_not_forwarded() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with(&[upstream.addr]);
    let complete = pay("cut", "5000m");
    for length in 0..complete.len() {
        let status = status_of(&node, &complete.as_bytes()[..length]);
        assert!(
            status.is_none_or(|s| (400..500).contains(&s)),
            "{length}: {status:?}"
        );
    }
    serves(&node, "after");
    assert_eq!(upstream.request().header("req-id"), Some("after"));
    never_panicked(&node);
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "a table of requests and their responses"
)]
fn an_invalid_request_is_rejected_and_not_forwarded() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with(&[upstream.addr]);
    let valid = get("r1", "5000m");
    let status = |from: &str, to: &str| {
        assert!(valid.contains(from), "{from}");
        node.client().call(&valid.replacen(from, to, 1)).status()
    };
    for deadline in [
        "NaNm",
        "infm",
        "-5m",
        "1e300m",
        "",
        "m",
        "5000",
        "99999999999999999999m",
        "5000m, 5000m",
    ] {
        assert_eq!(
            status("Req-Deadline: 5000m", &format!("Req-Deadline: {deadline}")),
            400,
            "{deadline}"
        );
    }
    for (from, to) in [
        ("Req-Id: r1", "Req-Id: "),
        ("Req-Id: r1", "Req-Id: r1\r\nReq-Id: r2"),
        ("Req-Id: r1", "Req-Id: \u{e9}"),
        ("Req-Kind: read", "Req-Kind: write"),
        ("Req-Kind: read", "Req-Kind: read\r\nReq-Kind: read"),
        ("Req-Kind: read\r\n", ""),
        ("Req-Owner: club", "Req-Owner: nobody"),
        (
            "Req-Deadline: 5000m",
            "Req-Deadline: 5000m\r\nReq-Deadline: 6000m",
        ),
        ("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx"),
        ("\r\n\r\n", "\r\nContent-Length: -1\r\n\r\n"),
        (
            "\r\n\r\n",
            "\r\nContent-Length: 18446744073709551616\r\n\r\n",
        ),
        (
            "\r\n\r\n",
            "\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
        ),
        (
            "\r\n\r\n",
            "\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
        ),
    ] {
        assert_eq!(status(from, to), 400, "{to:?}");
    }
    let long = "x".repeat(257);
    assert_eq!(status("Req-Id: r1", &format!("Req-Id: {long}")), 400);
    let body = pay("r1", "5000m").replace(
        "Content-Length: 4\r\n\r\nbody",
        "Content-Length: 65537\r\n\r\n",
    );
    assert_eq!(node.client().call(&body).status(), 413);
    // A deadline that has come already leaves nothing to do.
    let late = status("Req-Deadline: 5000m", "Req-Deadline: 0m");
    assert!((500..600).contains(&late), "{late}");
    let huge = valid.replacen(
        "Req-Id: r1",
        &format!("Req-Id: r1\r\nX-Huge: {}", "x".repeat(1 << 20)),
        1,
    );
    assert!(status_of(&node, huge.as_bytes()).is_none_or(|s| s == 431));
    // Unknown headers go on as they are.
    assert_eq!(status("Req-Id: r1", "Req-Id: last\r\nX-Novel: 1e300"), 200);
    assert_eq!(upstream.request().header("req-id"), Some("last"));
    assert_eq!(upstream.additional_requests(), 0);
    never_panicked(&node);
}

#[test]
fn mutated_requests_hurt_nobody_else() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with(&[upstream.addr]);
    // The same numbers each time (a linear congruence, its upper half).
    let mut state = 7_u64;
    let mut below = |n: usize| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize % n.max(1)
    };
    let mut steady = node.client();
    for round in 0..1_000 {
        let mut bytes = pay("mutated", "50m").into_bytes();
        for _ in 0..=below(3) {
            let at = below(bytes.len());
            let to = (at + 1 + below(20)).min(bytes.len());
            match below(4) {
                0 => bytes[at] = below(256) as u8,
                1 => drop(bytes.drain(at..to)),
                2 => {
                    let again = bytes[at..to].to_vec();
                    bytes.splice(at..at, again);
                }
                _ => drop(bytes.splice(at..to, *b"\r\n")),
            }
        }
        status_of(&node, &bytes);
        if round % 50 == 0 {
            assert_eq!(
                steady.call(&get("steady", "5000m")).status(),
                200,
                "{round}"
            );
        }
    }
    never_panicked(&node);
}
