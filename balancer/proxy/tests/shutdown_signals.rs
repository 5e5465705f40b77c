//! Several signals around shutdown, with clients connected: each complete request is answered in time, and each idle
//! connection is closed cleanly.
mod common;
#[path = "common/raw_client.rs"]
mod raw_client;
#[path = "common/shutdown.rs"]
mod shutdown;
use common::*;
use raw_client::RawClient;
use shutdown::{
    node_closing_soon, node_with_deadline, retry_until_conclusive, served_client,
    upstream_answering_ok_only,
};
use std::time::{Duration, Instant};

/// A request open at SIGTERM is answered within this time, where no deadline is longer than 3 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3700);

/// Checks that a request open at shutdown failed with 502 or 503.
fn assert_request_failed(response: Option<Message>, node: &Node) {
    let status = response
        .unwrap_or_else(|| panic!("no response: {:?}", node.log()))
        .status();
    assert!([502, 503].contains(&status), "{status}");
}

/// Checks that the process exited successfully, logged the shutdown once, and left no request unanswered.
fn assert_orderly_exit(node: &mut Node) {
    assert_eq!(node.wait().code(), Some(0));
    let log = node.log();
    assert_eq!(
        log.iter()
            .filter(|line| line.contains("shutdown requested"))
            .count(),
        1,
        "{log:?}"
    );
    assert!(
        !log.iter()
            .any(|line| line.contains("at the shutdown deadline")),
        "{log:?}"
    );
}

#[test]
fn second_sigterm_changes_nothing() {
    retry_until_conclusive(|| {
        let upstream = upstream_answering_ok_only();
        let mut node = node_with_deadline(&upstream, 2500);
        let (mut open, mut later) = (served_client(&node), served_client(&node));
        open.send(&get("open", "20000m"));
        while upstream.request().header("req-id") != Some("open") {}
        node.terminate();
        node.wait_for_log("shutdown requested");
        node.terminate();
        // This request is served after the second SIGTERM.
        later.send(&get("ok", "5000m"));
        let Some(served) = later.read_response() else {
            return false;
        };
        assert_eq!(served.status(), 200);
        node.terminate();
        assert_request_failed(open.read_response(), &node);
        assert_orderly_exit(&mut node);
        true
    });
}

/// The configuration file at the reload.
#[derive(Clone, Copy, Debug)]
enum Configuration {
    Same,
    Invalid,
}

/// Both signals are pending when the process resumes, together with an unread request.
fn assert_reload_changes_nothing(configuration: Configuration, reload_first: bool) {
    retry_until_conclusive(|| {
        let upstream = upstream_answering_ok_only();
        let mut node = node_closing_soon(&upstream);
        let (mut open, mut unread) = (served_client(&node), served_client(&node));
        open.send(&get("open", "20000m"));
        while upstream.request().header("req-id") != Some("open") {}
        node.pause();
        unread.send(&get("ok", "5000m"));
        let hang_up = |node: &Node| match configuration {
            Configuration::Same => node.send_sighup(),
            Configuration::Invalid => node.reload("{"),
        };
        if reload_first {
            hang_up(&node);
            node.terminate();
        } else {
            node.terminate();
            hang_up(&node);
        }
        node.resume();
        assert_eq!(
            unread.read_response().map(|response| response.status()),
            Some(200),
            "{:?}",
            node.log()
        );
        node.wait_for_log("shutdown requested");
        hang_up(&node);
        assert_request_failed(open.read_response(), &node);
        assert_orderly_exit(&mut node);
        true
    });
}

#[test]
fn reload_just_before_sigterm_changes_nothing() {
    assert_reload_changes_nothing(Configuration::Same, true);
    assert_reload_changes_nothing(Configuration::Invalid, true);
}

#[test]
fn reload_just_after_sigterm_changes_nothing() {
    assert_reload_changes_nothing(Configuration::Same, false);
    assert_reload_changes_nothing(Configuration::Invalid, false);
}

/// Requests open at SIGTERM, one retryable and one not, whose upstream never responds.
fn assert_answered_within(deadline: u32, limit: Duration) {
    let upstream = upstream_answering_ok_only();
    let mut node = node_with_deadline(&upstream, deadline);
    let (mut read, mut paid) = (served_client(&node), served_client(&node));
    read.send(&get("hangs-read", "80000m"));
    paid.send(&pay("hangs-pay", "80000m"));
    let mut hanging_requests = 0;
    while hanging_requests < 2 {
        hanging_requests += usize::from(
            upstream
                .request()
                .header("req-id")
                .is_some_and(|id| id.starts_with("hangs")),
        );
    }
    let signalled_at = Instant::now();
    node.terminate();
    assert_request_failed(read.read_response(), &node);
    assert_request_failed(paid.read_response(), &node);
    let answered = signalled_at.elapsed();
    assert!(
        answered < limit,
        "answered after {answered:?} with a longest deadline of {deadline} ms"
    );
    assert_orderly_exit(&mut node);
}

#[test]
fn request_to_hanging_upstream_is_answered_before_sigkill() {
    assert_answered_within(1000, ANSWER_TIMEOUT);
    assert_answered_within(2500, ANSWER_TIMEOUT);
}

/// With a longer deadline, shutdown completes long before it.
#[test]
fn long_request_deadline_does_not_delay_shutdown() {
    assert_answered_within(20_000, Duration::from_secs(10));
}

/// Clients that stay connected until the end, on connections that have served a request and on new ones.
#[test]
fn idle_clients_get_a_clean_close_at_shutdown() {
    let upstream = upstream_answering_ok_only();
    let mut node = node_with_deadline(&upstream, 2500);
    let mut clients: Vec<RawClient> = (0..20)
        .map(|_| RawClient::connect(node.addr, TEST_TIMEOUT))
        .collect();
    for client in &mut clients[..10] {
        client.send(get("ok", "5000m").as_bytes());
        assert_eq!(
            read(&mut client.reader()).map(|response| response.status()),
            Some(200)
        );
    }
    // This connection is accepted after all of those above.
    served_client(&node);
    node.terminate();
    for (n, client) in clients.iter_mut().enumerate() {
        let (bytes, closed_cleanly) = client.read_to_end();
        assert!(
            bytes.is_empty() && closed_cleanly,
            "{n}: {bytes:?}, closed cleanly: {closed_cleanly}"
        );
    }
    assert_orderly_exit(&mut node);
}

/// Each request arrives in three pieces: before SIGTERM, after it, and once the balancer no longer accepts
/// connections.
#[test]
fn requests_sent_in_pieces_during_shutdown_are_answered() {
    retry_until_conclusive(|| {
        let upstream = upstream_answering_ok_only();
        let mut node = node_closing_soon(&upstream);
        let requests = [get("hangs", "20000m"), pay("hangs", "20000m")];
        let cuts = [[20, 60], [requests[1].len() - 3, requests[1].len() - 1]];
        let mut clients: Vec<(Client, &str, [usize; 2])> = Vec::new();
        for (request, cut) in requests.iter().zip(cuts) {
            clients.push((served_client(&node), request, cut));
            clients.push((node.client(), request, cut));
        }
        clients
            .iter_mut()
            .for_each(|(client, request, [first, _])| client.send(&request[..*first]));
        // This request is served after the first pieces were read.
        served_client(&node);
        node.terminate();
        node.wait_for_log("shutdown requested");
        clients
            .iter_mut()
            .for_each(|(client, request, [first, last])| client.send(&request[*first..*last]));
        while node.try_client().is_some() {
            std::thread::yield_now();
        }
        clients
            .iter_mut()
            .for_each(|(client, request, [_, last])| client.send(&request[*last..]));
        if node.has_exited() {
            return false;
        }
        clients
            .iter_mut()
            .for_each(|(client, ..)| assert_request_failed(client.read_response(), &node));
        assert_orderly_exit(&mut node);
        true
    });
}
