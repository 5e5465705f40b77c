//! Options that can't be used are refused with one line; nothing panics.
mod common;
use common::*;
use std::ffi::OsStr;
use std::os::unix::ffi::OsStrExt;
use std::process::Stdio;

#[test]
fn a_variable_of_others_need_not_be_text() {
    let upstream = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut command =
        command(&config(discovery.addr, 1024, &listing(1, true, &[(0, upstream.addr, "active")])));
    command.env("OF_ANOTHER_PROGRAM", OsStr::from_bytes(b"\xff")).env(OsStr::from_bytes(b"\xfe"), "x");
    let node = Node::run(command, discovery);
    assert_eq!(node.client().call(&get("r1", "5000m")).status(), 200);
}

#[test]
fn a_variable_that_sets_an_option_has_to_be_text() {
    let discovery = Discovery::start();
    let mut command = command(&config(discovery.addr, 1024, "null"));
    command.env("HERONDOCK_LOG_LEVEL", OsStr::from_bytes(b"\xff"));
    let out = command.stdout(Stdio::piped()).output().expect("runs");
    let errors = String::from_utf8(out.stderr).expect("text");
    assert_eq!((out.status.code(), out.stdout.len()), (Some(2), 0), "{errors}");
    assert_eq!(errors, "herondock: HERONDOCK_LOG_LEVEL: not UTF-8\n");
}
