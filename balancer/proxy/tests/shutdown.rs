//! Shutdown: a client that has written a complete request gets a response, and a client that gets none has no request
//! running.
mod common;
#[path = "common/shutdown.rs"]
mod shutdown;
use common::*;
use shutdown::{
    node_closing_soon, retry_until_conclusive, served_client, upstream_answering_ok_only,
};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Time from SIGTERM until [`node_closing_soon`] closes its client connections; shortly after that; and after its
/// exit.
const CLOSE_DELAY: Duration = Duration::from_millis(700);
const AFTER_CLOSE: Duration = Duration::from_millis(900);
const AFTER_EXIT: Duration = Duration::from_millis(1700);
/// The number of clients that send one request each around the close, and the interval between them.
const CROSSING_CLIENTS: u32 = 200;
const SEND_INTERVAL: Duration = Duration::from_micros(200);

/// Sends SIGTERM and waits until the balancer closes its client connections, when it also stops listening.
fn terminate_and_wait_for_close(node: &Node) {
    node.terminate();
    while node.try_client().is_some() {
        thread::yield_now();
    }
}

/// The head is read before client connections are closed, the body arrives after that, and the upstream does not
/// respond.
#[test]
fn request_completed_after_close_is_answered_before_exit() {
    let request = pay("late", "20000m");
    assert_answered_when_rest_follows_close(&request, request.len() - 4);
}

/// Sends the first `split_at` bytes of a request before client connections are closed and the rest after that, on a
/// connection that was served before and on a new one. Each request must get a response, and the process must exit
/// successfully.
fn assert_answered_when_rest_follows_close(request: &str, split_at: usize) {
    retry_until_conclusive(|| {
        let upstream = upstream_answering_ok_only();
        let mut node = node_closing_soon(&upstream);
        let (start, rest) = request.split_at(split_at);
        let (mut reused, mut fresh) = (served_client(&node), node.client());
        reused.send(start);
        fresh.send(start);
        // This request is served after both parts were read.
        served_client(&node);
        terminate_and_wait_for_close(&node);
        reused.send(rest);
        fresh.send(rest);
        if node.has_exited() {
            return false;
        }
        for client in [&mut reused, &mut fresh] {
            let status = client
                .read_response()
                .unwrap_or_else(|| panic!("no response: {:?}", node.log()))
                .status();
            assert!([502, 503].contains(&status), "{status}");
        }
        assert_eq!(node.wait().code(), Some(0));
        true
    });
}

/// A process stopped during the close finds input from before it only afterwards: on connections between requests, on
/// new ones, and the rest of requests read in part. It may even be stopped beyond its planned exit.
#[test]
fn unread_requests_at_close_are_answered() {
    assert_unread_requests_answered(AFTER_CLOSE);
    assert_unread_requests_answered(AFTER_EXIT);
}

fn assert_unread_requests_answered(stalled_for: Duration) {
    retry_until_conclusive(|| {
        let upstream = upstream_answering_ok_only();
        let mut node = node_closing_soon(&upstream);
        let (complete, piece) = (get("whole", "20000m"), pay("piece", "20000m"));
        let ((start, end), (head, body)) = (complete.split_at(40), piece.split_at(piece.len() - 4));
        // What each client writes before the process is stopped, and while it is stopped.
        let cases = [("", complete.as_str()), (start, end), (head, body)];
        let mut clients: Vec<_> = cases
            .iter()
            .map(|&(first, then)| (served_client(&node), first, then))
            .collect();
        clients.extend(
            cases
                .iter()
                .map(|&(first, then)| (node.client(), first, then)),
        );
        for (client, first, _) in &mut clients {
            client.send(first);
        }
        // This request is served after all parts above were read.
        served_client(&node);
        node.terminate();
        node.wait_for_log("shutdown requested");
        node.pause();
        // A client that connects now waits to be accepted.
        let Some(queued) = node.try_client() else {
            return false;
        };
        clients.push((queued, "", &complete));
        for (client, _, then) in &mut clients {
            client.send(then);
        }
        thread::sleep(stalled_for);
        node.resume();
        for (n, (client, ..)) in clients.iter_mut().enumerate() {
            let response = client
                .read_response()
                .unwrap_or_else(|| panic!("no response for {n}: {:?}", node.log()));
            assert!([502, 503].contains(&response.status()), "{n}: {response:?}");
            assert_eq!(response.header("connection"), Some("close"), "{n}");
        }
        assert_eq!(node.wait().code(), Some(0));
        assert!(
            !node
                .log()
                .iter()
                .any(|l| l.contains("at the shutdown deadline")),
            "{:?}",
            node.log()
        );
        true
    });
}

/// Part of a request head is read before client connections are closed.
#[test]
fn connection_is_not_closed_within_a_request_head() {
    assert_answered_when_rest_follows_close(&get("late", "20000m"), 40);
}

/// Clients that send requests as long as the balancer accepts them: one after another on each open connection, whole
/// or in pieces, to an upstream that responds or one that hangs; and many clients that send one request each around
/// the close. A request may cross the close and get no response, but then it must not have been forwarded.
#[test]
fn every_forwarded_request_is_answered_during_shutdown() {
    let upstream = upstream_answering_ok_only();
    let mut node = node_closing_soon(&upstream);
    let mut crossing: Vec<Client> = (0..CROSSING_CLIENTS)
        .map(|_| served_client(&node))
        .collect();
    let (addr, mut unanswered) = (node.addr, Vec::new());
    thread::scope(|scope| {
        let callers: Vec<_> = (0..12)
            .map(|n| scope.spawn(move || send_until_refused(addr, n)))
            .collect();
        // All clients have sent requests.
        (0..CROSSING_CLIENTS + 60).for_each(|_| drop(upstream.request()));
        node.terminate();
        node.wait_for_log("shutdown requested");
        thread::sleep(CLOSE_DELAY - SEND_INTERVAL * CROSSING_CLIENTS / 2);
        for (n, client) in crossing.iter_mut().enumerate() {
            client.send(&get(&format!("crosses-{n}"), "20000m"));
            thread::sleep(SEND_INTERVAL);
        }
        unanswered.extend(
            callers
                .into_iter()
                .flat_map(|caller| caller.join().expect("lock not poisoned")),
        );
    });
    let unanswered_id = |(n, client): (usize, &mut Client)| {
        client
            .read_response()
            .is_none()
            .then(|| format!("crosses-{n}"))
    };
    unanswered.extend(crossing.iter_mut().enumerate().filter_map(unanswered_id));
    assert_eq!(node.wait().code(), Some(0));
    let seen = |seen| match seen {
        UpstreamEvent::Request(request) => request.header("req-id").map(String::from),
        UpstreamEvent::Closed => None,
    };
    let seen: HashSet<String> = upstream.events.try_iter().filter_map(seen).collect();
    let forwarded: Vec<&String> = unanswered.iter().filter(|id| seen.contains(*id)).collect();
    assert!(
        forwarded.is_empty(),
        "forwarded and not answered: {forwarded:?}, {:?}",
        node.log()
    );
}

/// Sends requests until the balancer no longer listens. Returns the ids of those without a response.
fn send_until_refused(addr: SocketAddr, n: usize) -> Vec<String> {
    let (name, pieces) = (if n.is_multiple_of(3) { "hangs" } else { "ok" }, 1 + n % 4);
    let (mut unanswered, mut sent) = (Vec::new(), 0);
    while let Some(mut client) = Client::connect(addr) {
        loop {
            let id = format!("{name}-{n}-{sent}");
            sent += 1;
            let request = if n.is_multiple_of(2) {
                pay(&id, "400m")
            } else {
                get(&id, "20000m")
            };
            for piece in request.as_bytes().chunks(request.len().div_ceil(pieces)) {
                client.send(std::str::from_utf8(piece).expect("plain text"));
                thread::yield_now();
            }
            let response = client.read_response();
            if response.is_none() {
                unanswered.push(id);
            }
            if response.is_none_or(|a| a.header("connection") == Some("close")) {
                break;
            }
        }
    }
    unanswered
}
