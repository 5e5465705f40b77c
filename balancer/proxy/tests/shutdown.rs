//! The end of the program: whoever has written a request whole gets an answer, and whoever gets none has nothing running.
mod common;
#[path = "common/shutdown.rs"]
mod shutdown;
use common::*;
use shutdown::{answers_ok_alone, served_client, shuts_down_soon, until_shown};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// From the word to end until [`shuts_down_soon`] closes its callers' connections; a moment more; and when it has ended.
const CLOSES: Duration = Duration::from_millis(700);
const CLOSED: Duration = Duration::from_millis(900);
const ENDED: Duration = Duration::from_millis(1700);
/// So many callers send a request each over the moment of the close, so far from each other.
const CROSSING: u32 = 200;
const EACH: Duration = Duration::from_micros(200);

/// Tells it to end, and waits until it closes its callers' connections: with that it listens no more.
fn close(node: &Node) {
    node.terminate();
    while node.try_client().is_some() {
        thread::yield_now();
    }
}

/// The head has been read when callers are closed, the body comes after that, and the upstream says nothing.
#[test]
fn a_request_whose_last_byte_comes_after_the_close_is_answered_before_the_end() {
    let request = pay("late", "20000m");
    rest_comes_after_the_close(&request, request.len() - 4);
}

/// Sends requests up to a byte before callers are closed, and the rest after that: on a connection that was served
/// before, and on a new one. Each has an answer, and the program ends well.
fn rest_comes_after_the_close(request: &str, split_at: usize) {
    until_shown(|| {
        let upstream = answers_ok_alone();
        let mut node = shuts_down_soon(&upstream);
        let (start, rest) = request.split_at(split_at);
        let (mut again, mut fresh) = (served_client(&node), node.client());
        again.send(start);
        fresh.send(start);
        // Served after both were read.
        served_client(&node);
        close(&node);
        again.send(rest);
        fresh.send(rest);
        if node.has_ended() {
            return false;
        }
        for client in [&mut again, &mut fresh] {
            let status = client
                .answer()
                .unwrap_or_else(|| panic!("no answer: {:?}", node.log()))
                .status();
            assert!([502, 503].contains(&status), "{status}");
        }
        assert_eq!(node.wait().code(), Some(0));
        true
    });
}

/// Stopped over the moment of the close, the program finds only afterwards what had come before it: on connections
/// between requests, on new ones, and the rest of what it had read a part of. It may even have stood beyond its end.
#[test]
fn requests_that_lie_unread_when_callers_are_closed_are_answered() {
    lie_unread(CLOSED);
    lie_unread(ENDED);
}

fn lie_unread(stalled_for: Duration) {
    until_shown(|| {
        let upstream = answers_ok_alone();
        let mut node = shuts_down_soon(&upstream);
        let (complete, piece) = (get("whole", "20000m"), pay("piece", "20000m"));
        let ((start, end), (head, body)) = (complete.split_at(40), piece.split_at(piece.len() - 4));
        // What is written before the program stops, and what comes while it stands.
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
        // Served after all that was read.
        served_client(&node);
        node.terminate();
        node.logs("shutdown requested");
        node.pause();
        // Whoever connects now waits to be accepted.
        let Some(waits) = node.try_client() else {
            return false;
        };
        clients.push((waits, "", &complete));
        for (client, _, then) in &mut clients {
            client.send(then);
        }
        thread::sleep(stalled_for);
        node.resume();
        for (n, (client, ..)) in clients.iter_mut().enumerate() {
            let answer = client
                .answer()
                .unwrap_or_else(|| panic!("no answer for {n}: {:?}", node.log()));
            assert!([502, 503].contains(&answer.status()), "{n}: {answer:?}");
            assert_eq!(answer.header("connection"), Some("close"), "{n}");
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

/// A part of a head has been read when callers are closed.
#[test]
fn a_connection_is_not_closed_in_the_middle_of_a_head() {
    rest_comes_after_the_close(&get("late", "20000m"), 40);
}

/// Callers that send on for as long as they find the program: one request after another on each connection that stays
/// open, whole or in pieces, to an upstream that answers or one that hangs. And many that send one request each, one
/// after another over the moment of the close. A close may cross a request, and then that one went nowhere.
#[test]
fn what_was_forwarded_is_answered_whenever_its_client_wrote_it() {
    let upstream = answers_ok_alone();
    let mut node = shuts_down_soon(&upstream);
    let mut crossing: Vec<Client> = (0..CROSSING).map(|_| served_client(&node)).collect();
    let (addr, mut unanswered) = (node.addr, Vec::new());
    thread::scope(|scope| {
        let callers: Vec<_> = (0..12)
            .map(|n| scope.spawn(move || goes_on(addr, n)))
            .collect();
        // All have begun.
        (0..CROSSING + 60).for_each(|_| drop(upstream.request()));
        node.terminate();
        node.logs("shutdown requested");
        thread::sleep(CLOSES - EACH * CROSSING / 2);
        for (n, client) in crossing.iter_mut().enumerate() {
            client.send(&get(&format!("crosses-{n}"), "20000m"));
            thread::sleep(EACH);
        }
        unanswered.extend(
            callers
                .into_iter()
                .flat_map(|caller| caller.join().expect("no panic")),
        );
    });
    let crossed = |(n, client): (usize, &mut Client)| {
        client.answer().is_none().then(|| format!("crosses-{n}"))
    };
    unanswered.extend(crossing.iter_mut().enumerate().filter_map(crossed));
    assert_eq!(node.wait().code(), Some(0));
    let seen = |seen| match seen {
        Seen::Request(request) => request.header("req-id").map(String::from),
        Seen::Closed => None,
    };
    let seen: HashSet<String> = upstream.seen.try_iter().filter_map(seen).collect();
    let lost: Vec<&String> = unanswered.iter().filter(|id| seen.contains(*id)).collect();
    assert!(
        lost.is_empty(),
        "sent on and not answered: {lost:?}, {:?}",
        node.log()
    );
}

/// Calls until nobody listens. Returns what was not answered.
fn goes_on(addr: SocketAddr, n: usize) -> Vec<String> {
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
            let answer = client.answer();
            if answer.is_none() {
                unanswered.push(id);
            }
            if answer.is_none_or(|a| a.header("connection") == Some("close")) {
                break;
            }
        }
    }
    unanswered
}
