//! The balancer process: its configuration, its exit, and checks that it still works.
use crate::common::*;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// Runs a program that exits by itself. Returns its status, standard output and standard error.
pub(crate) fn run_to_exit(mut command: Command) -> (Option<i32>, String, String) {
    let out = command
        .stdout(Stdio::piped())
        .output()
        .expect("run the program");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8 text");
    (out.status.code(), text(out.stdout), text(out.stderr))
}

pub(crate) fn config_path(command: &Command) -> PathBuf {
    let path = command
        .get_envs()
        .find(|(name, _)| *name == "NODE_CONFIG")
        .and_then(|(_, path)| path);
    PathBuf::from(path.expect("a configuration"))
}

/// A configuration in push mode, in which discovery is called again soon after each failure.
pub(crate) fn push_mode_config(discovery: &Discovery, known: &str) -> String {
    config(discovery.addr, 1024, known).replace("on_request", "pushed")
}

pub(crate) fn assert_serves(node: &Node, id: &str) {
    assert_eq!(
        node.client().call(&get(id, "5000m")).status(),
        200,
        "{:?}",
        node.log()
    );
}

pub(crate) fn assert_no_panic(node: &Node) {
    assert!(
        !node.log().iter().any(|line| line.contains("panic")),
        "{:?}",
        node.log()
    );
}
