//! Input with which a process refuses to start, and input that it starts without.
use crate::common::*;
use crate::process::*;
use std::process::Command;

#[test]
fn unusable_startup_input_is_reported_in_one_line() {
    let discovery = Discovery::start();
    let good = config(discovery.addr, 1024, "null");
    let assert_refuses = |command: Command, code: i32, expected: &str| {
        let (status, output, errors) = run_to_exit(command);
        assert_eq!(
            (status, output.as_str()),
            (Some(code), ""),
            "{expected}: {errors}"
        );
        assert!(
            errors.lines().count() == 1 && errors.contains(expected),
            "expected {expected}: {errors}"
        );
    };
    let with = |argument: &str, text: &str| {
        let mut command = command(text);
        command.arg(argument);
        command
    };
    let truncated = &good[..good.len() / 2];
    let oversized = good.replace("8c1f30d27a5be964", &"x".repeat(1 << 20));
    let no_sockets = good.replace("\"sockets\":1024", "\"sockets\":0");
    for (text, expected) in [
        ("", "EOF"),
        (truncated, "EOF"),
        (&oversized, "seed: "),
        (&no_sockets, "limits.sockets: "),
    ] {
        assert_refuses(with("run", text), 78, expected);
        assert_refuses(command(text), 78, expected);
        assert_refuses(with("check", text), 2, expected);
    }
    let mut missing = command(&good);
    missing.env("NODE_CONFIG", "/no/such/file");
    assert_refuses(missing, 78, "NODE_CONFIG: /no/such/file: ");
    let mut unnamed = command(&good);
    unnamed.env_remove("NODE_CONFIG");
    assert_refuses(unnamed, 78, "NODE_CONFIG: ");
    let mut too_large = command(&good);
    std::fs::File::create(config_path(&too_large))
        .and_then(|f| f.set_len(1 << 40))
        .expect("create sparse file");
    assert_refuses(too_large, 78, "larger than");
    too_large = command(&good);
    too_large.env("NODE_CONFIG", "/dev/zero");
    assert_refuses(too_large, 78, "larger than");
    // An address in use is not a configuration error.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("socket address").to_string();
    assert_refuses(
        command(&good.replace("127.0.0.1:0", &address)),
        1,
        "listen: ",
    );
}

#[test]
fn process_starts_without_an_unusable_known_list() {
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
        let output: Vec<String> = node
            .log()
            .into_iter()
            .filter(|l| l.contains("known: "))
            .collect();
        assert!(
            output.len() == 1 && output[0].ends_with("starting without it"),
            "{bad}: {output:?}"
        );
        // Discovery is asked for the full list.
        assert_eq!(node.discovery.next_call_path(), "/api/targets");
        node.discovery.respond(&good);
        node.discovery.next_call_path();
        assert_serves(&node, "r1");
    }
    let discovery = Discovery::start();
    let mut check = command(&config(discovery.addr, 1024, "7"));
    check.arg("check");
    let (status, output, errors) = run_to_exit(check);
    assert_eq!((status, errors.as_str()), (Some(0), ""));
    assert!(
        output
            .lines()
            .any(|l| l.starts_with("known: ") && l.ends_with("would start without it")),
        "{output}"
    );
}
