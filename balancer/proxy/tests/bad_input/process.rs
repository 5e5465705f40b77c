//! A balancer's process: its configuration, its end, and that it goes on.
use crate::common::*;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// How a program ended that ends by itself: its status, and what it wrote to standard output and error.
pub(crate) fn ended(mut command: Command) -> (Option<i32>, String, String) {
    let out = command.stdout(Stdio::piped()).output().expect("runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (out.status.code(), text(out.stdout), text(out.stderr))
}

pub(crate) fn configuration_of(command: &Command) -> PathBuf {
    let path = command
        .get_envs()
        .find(|(name, _)| *name == "NODE_CONFIG")
        .and_then(|(_, path)| path);
    PathBuf::from(path.expect("a configuration"))
}

/// The configuration of a balancer whose discovery pushes: it is asked again soon after each failure.
pub(crate) fn pushed(discovery: &Discovery, known: &str) -> String {
    config(discovery.addr, 1024, known).replace("on_request", "pushed")
}

pub(crate) fn serves(node: &Node, id: &str) {
    assert_eq!(
        node.client().call(&get(id, "5000m")).status(),
        200,
        "{:?}",
        node.log()
    );
}

pub(crate) fn never_panicked(node: &Node) {
    assert!(
        !node.log().iter().any(|line| line.contains("panic")),
        "{:?}",
        node.log()
    );
}
