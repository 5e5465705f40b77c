//! What a new process cannot start with, and what it starts without.
use crate::common::*;
use crate::process::*;
use std::process::Command;

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
