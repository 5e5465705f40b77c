//! Balancers that are told to end, and upstreams that hang meanwhile.
#![allow(dead_code)]
use super::common::*;

/// An upstream that answers requests whose id begins with `ok`, and is silent on all others.
pub(crate) fn answers_ok_alone() -> Upstream {
    Upstream::start(|m| {
        if m.header("req-id").is_some_and(|id| id.starts_with("ok")) {
            ok("x")
        } else {
            Then::Wait
        }
    })
}

/// A balancer that soon closes its clients' connections when it is told to end, as its longest deadline is short. What
/// its clients say of their own deadlines goes beyond that.
pub(crate) fn shuts_down_soon(upstream: &Upstream) -> Node {
    shuts_down_within(upstream, 1000)
}

/// The same with this longest deadline, in milliseconds.
pub(crate) fn shuts_down_within(upstream: &Upstream, deadline: u32) -> Node {
    let discovery = Discovery::start();
    let known = listing(1, true, &[(0, upstream.addr, "active")]);
    let config = config(discovery.addr, 1024, &known)
        .replace("\"deadline\":20000", &format!("\"deadline\":{deadline}"))
        .replace(
            "\"repeat_window\":20000",
            &format!("\"repeat_window\":{deadline}"),
        );
    Node::run(command(&config), discovery)
}

/// A connection on which a request has been served.
pub(crate) fn served_client(node: &Node) -> Client {
    let mut client = node.client();
    assert_eq!(client.call(&get("ok", "5000m")).status(), 200);
    client
}

/// Plays this until it says that it has shown something: on a machine that was slow just then it has not.
pub(crate) fn until_shown(play: impl Fn() -> bool) {
    assert!(
        (0..20).any(|_| play()),
        "the program had always ended before the test was ready"
    );
}
