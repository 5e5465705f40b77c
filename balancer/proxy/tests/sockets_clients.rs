//! Client connections on loopback sockets: idle ones, incomplete requests, and more connections than descriptors.
mod common;
use common::*;

#[test]
fn idle_clients_are_closed_for_new_ones() {
    let upstream = Upstream::start(|_| ok("x"));
    let known = listing(1, true, &[(0, upstream.addr, "active")]);
    let node = Node::start(64, &known);
    // Far more idle connections than descriptors: the longest idle one is closed for each new one.
    let mut clients: Vec<Client> = Vec::new();
    for i in 0..100 {
        let mut client = node.client();
        assert_eq!(client.call(&get(&format!("r{i}"), "10000m")).status(), 200);
        clients.push(client);
    }
    assert!(
        clients[0].read_response().is_none(),
        "the first connection was closed while idle"
    );
}

#[test]
fn incomplete_requests_are_answered_or_closed_soon() {
    let upstream = Upstream::start(|_| ok("x"));
    let node = Node::with_upstreams(&[upstream.addr]);
    let mut served = node.client();
    assert_eq!(served.call(&get("r1", "5000m")).status(), 200);
    let mut idle = node.client();
    let mut half = node.client();
    half.send("GET /api HTTP/1.1\r\nReq-Id: r2\r\n");
    let mut bodiless = node.client();
    bodiless.send(
        pay("r3", "20000m")
            .strip_suffix("body")
            .expect("request body"),
    );
    // Each read waits up to 20 s, so a slow machine makes no difference.
    idle.wait_until_closed();
    half.wait_until_closed();
    assert_eq!(bodiless.read_response().expect("an error").status(), 408);
    // A connection that has served a request stays open longer.
    assert_eq!(served.call(&get("r4", "5000m")).status(), 200);
    assert_eq!(upstream.request().header("req-id"), Some("r1"));
    assert_eq!(upstream.request().header("req-id"), Some("r4"));
    assert_eq!(upstream.additional_requests(), 0);
}

#[test]
fn running_out_of_descriptors_is_not_fatal() {
    let upstream = Upstream::start(|_| ok("x"));
    let known = listing(1, true, &[(0, upstream.addr, "active")]);
    let discovery = Discovery::start();
    // The configuration allows more descriptors than the system limit: accepting fails and is retried.
    let limited = limited_command(&config(discovery.addr, 1024, &known), 32);
    let node = Node::run(limited, discovery);
    let mut clients: Vec<Client> = Vec::new();
    for i in 0..60 {
        let mut client = node.client();
        let status = client.call(&get(&format!("r{i}"), "10000m")).status();
        // Without a descriptor for the upstream nothing is executed.
        assert!(status == 200 || status == 503, "{status}");
        clients.push(client);
    }
    drop(clients);
    let started = std::time::Instant::now();
    while node.client().call(&get("after", "10000m")).status() != 200 {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the balancer does not recover"
        );
    }
}
