//! Balancers that are shut down while some of their upstream requests get no response.
#![allow(dead_code)]
use super::common::*;

/// An upstream that responds to requests whose id begins with `ok` and never to others.
pub(crate) fn upstream_answering_ok_only() -> Upstream {
    Upstream::start(|m| {
        if m.header("req-id").is_some_and(|id| id.starts_with("ok")) {
            ok("x")
        } else {
            UpstreamAction::NeverRespond
        }
    })
}

/// A balancer that closes its client connections soon after SIGTERM, as its longest configured deadline is short.
/// Deadlines stated by clients may be longer.
pub(crate) fn node_closing_soon(upstream: &Upstream) -> Node {
    node_with_deadline(upstream, 1000)
}

/// As [`node_closing_soon`], with this longest deadline in milliseconds.
pub(crate) fn node_with_deadline(upstream: &Upstream, deadline: u32) -> Node {
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

/// A client connection on which one request has been served.
pub(crate) fn served_client(node: &Node) -> Client {
    let mut client = node.client();
    assert_eq!(client.call(&get("ok", "5000m")).status(), 200);
    client
}

/// Repeats `run` until it returns `true`. It returns `false` when a slow machine made the run inconclusive.
pub(crate) fn retry_until_conclusive(run: impl Fn() -> bool) {
    assert!(
        (0..20).any(|_| run()),
        "every run was inconclusive: the balancer exited too early"
    );
}
