//! Attempts on loopback sockets: what counts as one, and what ends it.
mod common;
use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Handles the first request with `first` and responds to all later ones, at whichever upstream they arrive.
fn first_then_ok(
    first: fn() -> UpstreamAction,
) -> impl Fn(&Message) -> UpstreamAction + Clone + Send + Sync {
    let seen = Arc::new(AtomicUsize::new(0));
    move |_| {
        if seen.fetch_add(1, Ordering::SeqCst) == 0 {
            first()
        } else {
            ok("served")
        }
    }
}

#[test]
fn only_a_marked_refusal_proves_nothing_ran() {
    let behave = first_then_ok(|| status("503 Service Unavailable\r\nSrv-Declined: 1"));
    let (a, b) = (Upstream::start(behave.clone()), Upstream::start(behave));
    let node = Node::with_upstreams(&[a.addr, b.addr]);
    assert_eq!(node.client().call(&pay("r1", "5000m")).status(), 200);
    assert_eq!(a.additional_requests() + b.additional_requests(), 2);

    for first in [
        || status("503 Service Unavailable"),
        || status("504 Gateway Timeout\r\nSrv-Declined: 0"),
        || status("500 Internal Server Error\r\nSrv-Declined: 1"),
        || UpstreamAction::Close,
        || {
            UpstreamAction::RespondAndClose(
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".into(),
            )
        },
        || UpstreamAction::RespondAndClose("garbage\r\n\r\n".into()),
    ] {
        let behave = first_then_ok(first);
        let (a, b) = (Upstream::start(behave.clone()), Upstream::start(behave));
        let node = Node::with_upstreams(&[a.addr, b.addr]);
        // The request may have been executed: neither another attempt nor a 503, which would invite a retry.
        assert_eq!(node.client().call(&pay("r1", "5000m")).status(), 502);
        assert_eq!(a.additional_requests() + b.additional_requests(), 1);
    }
}

#[test]
fn refused_connection_is_not_an_attempt() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with_upstreams(&[refusing(), upstream.addr]);
    let mut client = node.client();
    for i in 0..10 {
        assert_eq!(client.call(&pay(&format!("r{i}"), "5000m")).status(), 200);
    }
    assert_eq!(upstream.additional_requests(), 10);
}

#[test]
fn connection_closed_while_idle_fails_no_request() {
    let upstream = Upstream::start(|_| {
        UpstreamAction::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".into())
    });
    let node = Node::with_upstreams(&[upstream.addr]);
    let mut client = node.client();
    node.discovery.next_call_path();
    assert_eq!(
        client
            .call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            .status(),
        200
    );
    let baseline = node.descriptors();
    for i in 0..20 {
        assert_eq!(client.call(&pay(&format!("r{i}"), "5000m")).status(), 200);
        assert_eq!(
            upstream.request().header("req-id"),
            Some(format!("r{i}").as_str())
        );
        node.wait_for_descriptors(
            |n| n <= baseline,
            "the descriptor of the closed connection is still open",
        );
    }
    assert_eq!(upstream.additional_requests(), 0);
}

#[test]
fn deadline_without_response_closes_the_upstream_connection() {
    let start_upstream = || {
        Upstream::start(|m| {
            if m.header("req-id") == Some("late") {
                UpstreamAction::NeverRespond
            } else {
                ok("x")
            }
        })
    };
    let upstream = start_upstream();
    let node = Node::with_upstreams(&[upstream.addr]);
    let mut client = node.client();
    assert_eq!(client.call(&pay("late", "300m")).status(), 502);
    upstream.request();
    upstream.wait_until_closed();
    // The next response on the connection belongs to the next request: nothing more was sent for the first one.
    assert_eq!(client.call(&pay("next", "5000m")).status(), 200);
    assert_eq!(upstream.request().header("req-id"), Some("next"));
}

#[test]
fn attempt_is_cancelled_when_its_client_disconnects() {
    let upstream = Upstream::start(|m| {
        if m.header("req-id") == Some("gone") {
            UpstreamAction::NeverRespond
        } else {
            ok("x")
        }
    });
    let node = Node::with_upstreams(&[upstream.addr]);
    let mut client = node.client();
    client.send(&pay("gone", "20000m"));
    upstream.request();
    drop(client);
    upstream.wait_until_closed();
    assert_eq!(node.client().call(&pay("next", "5000m")).status(), 200);
}

#[test]
fn connection_never_established_is_not_an_attempt() {
    let unreachable = Unreachable::start();
    let node = Node::with_upstreams(&[unreachable.addr]);
    // Nothing was sent, so a retry is harmless: a 503, also for requests that must not be executed twice.
    assert_eq!(node.client().call(&pay("r1", "20000m")).status(), 503);
}

/// A balancer with one upstream that does not accept connections yet, while the dial has not timed out.
fn node_with_pending_dial(adjust_config: impl Fn(String) -> String) -> (Node, Unreachable) {
    let unreachable = Unreachable::start();
    let discovery = Discovery::start();
    let config = config(
        discovery.addr,
        1024,
        &listing(1, true, &[(0, unreachable.addr, "active")]),
    )
    .replace("\"idle_close\"", "\"dial_timeout\":20000,\"idle_close\"");
    let node = Node::run(command(&adjust_config(config)), discovery);
    node.discovery.next_call_path();
    (node, unreachable)
}

#[test]
fn nothing_is_written_after_request_ends_while_dialling() {
    let (node, unreachable) =
        node_with_pending_dial(|c| c.replace("\"cancel\":true", "\"cancel\":false"));
    let baseline = node.descriptors();
    let mut client = node.client();
    client.send(&pay("r1", "20000m"));
    // The socket of the client and the one being dialled.
    node.wait_for_descriptors(|n| n >= baseline + 2, "the balancer does not dial");
    drop(client);
    node.wait_for_descriptors(
        |n| n <= baseline + 1,
        "the client disconnect goes unnoticed",
    );
    assert!(read(&mut unreachable.start_accepting()).is_none());
}

#[test]
fn nothing_is_written_to_a_draining_upstream() {
    // The drain grace period is longer than the connection takes to be established.
    let (node, unreachable) =
        node_with_pending_dial(|c| c.replace("\"drain_grace\":1000", "\"drain_grace\":20000"));
    let baseline = node.descriptors();
    let mut client = node.client();
    client.send(&pay("r1", "20000m"));
    node.wait_for_descriptors(|n| n >= baseline + 2, "the balancer does not dial");
    node.discovery
        .respond(&listing(2, false, &[(0, unreachable.addr, "leaving")]));
    assert!(node.discovery.next_call_path().contains("since=2&"));
    assert!(read(&mut unreachable.start_accepting()).is_none());
    // Nothing was executed, and no other upstream is available.
    assert_eq!(client.read_response().expect("a response").status(), 503);
}

#[test]
fn overloaded_upstream_gets_no_calls_for_a_while() {
    let reports_load = |in_flight: u32| {
        move |_: &Message| {
            UpstreamAction::Respond(format!(
                "HTTP/1.1 200 OK\r\nSrv-Load: TEXT inflight={in_flight}\r\nContent-Length: 0\r\n\r\n"
            ))
        }
    };
    let (overloaded, idle) = (
        Upstream::start(reports_load(500)),
        Upstream::start(reports_load(1)),
    );
    let node = Node::with_upstreams(&[overloaded.addr, idle.addr]);
    let mut client = node.client();
    // A load report counts for 2 s: on a slow machine the calls may take longer, which is inconclusive, so they are
    // repeated.
    let began = Instant::now();
    loop {
        assert!(
            began.elapsed() < TEST_TIMEOUT,
            "no four calls within a second that began with the overloaded upstream"
        );
        let first = Instant::now();
        let mut call = || assert_eq!(client.call(&get("r", "5000m")).status(), 200);
        call();
        if overloaded.additional_requests() == 0 {
            continue;
        }
        (0..3).for_each(|_| call());
        if first.elapsed() < Duration::from_secs(1) {
            assert_eq!(
                overloaded.additional_requests(),
                0,
                "the overloaded upstream gets more calls"
            );
            break;
        }
    }
    assert!(idle.additional_requests() >= 3, "the other upstream serves");
}
