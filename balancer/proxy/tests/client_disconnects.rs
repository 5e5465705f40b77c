//! Clients that leave while their request is open, however they do it and whatever they have sent after it: nothing may
//! be dialled, sent or repeated for them any more. And clients that send the next request early and stay.
mod common;
#[path = "common/raw_client.rs"]
mod raw_client;
use common::*;
use raw_client::{wait_for_system, RawClient, SystemSocket, CLOSE_WAIT};
use std::sync::mpsc::channel;
use std::sync::Mutex;

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    HalfClose,
}

/// What it sends after its request, and whether in the same write.
#[derive(Clone, Copy, Debug)]
enum After {
    Nothing,
    HalfTogether,
    HalfLater,
    CompleteTogether,
    CompleteLater,
    /// More than is read ahead of its answer.
    ManyLater,
}

const DISCONNECTS: [Disconnect; 3] = [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose];
const AFTER: [After; 6] = [
    After::Nothing,
    After::HalfTogether,
    After::HalfLater,
    After::CompleteTogether,
    After::CompleteLater,
    After::ManyLater,
];

impl After {
    fn bytes(self) -> Vec<u8> {
        let next = get("next", "20000m").into_bytes();
        match self {
            After::Nothing => Vec::new(),
            After::HalfTogether | After::HalfLater => next[..next.len() / 2].to_vec(),
            After::CompleteTogether | After::CompleteLater => next,
            After::ManyLater => next.repeat(300),
        }
    }

    fn is_together(self) -> bool {
        matches!(self, After::HalfTogether | After::CompleteTogether)
    }
}

impl Disconnect {
    /// Leaves; what is returned keeps a socket open that is only shut.
    fn disconnect(self, client: RawClient) -> Option<RawClient> {
        match self {
            Disconnect::Close => None,
            Disconnect::Reset => {
                client.reset();
                None
            }
            Disconnect::HalfClose => {
                client.half_close();
                Some(client)
            }
        }
    }
}

/// A balancer that gives up no attempt by itself, so that what it does without its client shows: nothing ends by time
/// before a test has failed.
fn keeps_attempts(upstreams: &[std::net::SocketAddr]) -> Node {
    let servers: Vec<_> = upstreams
        .iter()
        .enumerate()
        .map(|(n, &addr)| (n, addr, "active"))
        .collect();
    let discovery = Discovery::start();
    let config = config(discovery.addr, 1024, &listing(1, true, &servers))
        .replace("\"idle_close\"", "\"dial_timeout\":80000,\"idle_close\"")
        .replace("\"deadline\":20000", "\"deadline\":80000")
        .replace("\"repeat_window\":20000", "\"repeat_window\":80000")
        .replace("\"cancel\":true", "\"cancel\":false");
    let node = Node::run(command(&config), discovery);
    node.discovery.called();
    node
}

fn is_noticed_while_its_request_is_dialled(disconnect: Disconnect, after: After) {
    let full = Unreachable::start();
    let node = keeps_attempts(&[full.addr]);
    let without = node.descriptors();
    let mut client = RawClient::connect(node.addr, TEST_TIMEOUT);
    let (mut request, more) = (pay("gone", "80000m").into_bytes(), after.bytes());
    if after.is_together() {
        request.extend_from_slice(&more);
    }
    client.send(&request);
    node.holds(|sockets| sockets >= without + 2, "it does not dial");
    if !after.is_together() {
        client.send(&more);
    }
    let _stays = disconnect.disconnect(client);
    node.holds(
        |sockets| sockets <= without + 1,
        &format!("it does not see {disconnect:?} after {after:?}"),
    );
    assert!(
        read(&mut full.reach()).is_none(),
        "sent for nobody: {disconnect:?} after {after:?}"
    );
}

#[test]
fn a_client_that_closes_is_seen_while_its_request_is_dialled() {
    AFTER
        .into_iter()
        .for_each(|after| is_noticed_while_its_request_is_dialled(Disconnect::Close, after));
}

#[test]
fn a_client_that_resets_is_seen_while_its_request_is_dialled() {
    AFTER
        .into_iter()
        .for_each(|after| is_noticed_while_its_request_is_dialled(Disconnect::Reset, after));
}

#[test]
fn a_client_that_shuts_its_side_is_seen_while_its_request_is_dialled() {
    AFTER
        .into_iter()
        .for_each(|after| is_noticed_while_its_request_is_dialled(Disconnect::HalfClose, after));
}

/// The first attempt is out when the client leaves, and fails after that.
#[test]
fn nothing_is_repeated_for_a_client_that_left_during_an_attempt() {
    for disconnect in DISCONNECTS {
        for after in [After::Nothing, After::HalfTogether, After::CompleteLater] {
            let (fail, signal) = channel();
            let signal = Mutex::new(Some(signal));
            let behave = move |message: &Message| match message.header("req-id") {
                Some("gone") => match signal.lock().expect("no panic").take() {
                    Some(signal) => {
                        let failed =
                            "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
                        Then::Hold(signal, failed.into())
                    }
                    None => ok("repeated"),
                },
                _ => ok("x"),
            };
            let upstream = Upstream::start(behave);
            let node = keeps_attempts(&[upstream.addr]);
            let without = node.descriptors();
            let mut client = RawClient::connect(node.addr, TEST_TIMEOUT);
            let mut request = get("gone", "80000m").into_bytes();
            request.extend_from_slice(&after.bytes());
            client.send(&request);
            assert_eq!(upstream.request().header("req-id"), Some("gone"));
            let _stays = disconnect.disconnect(client);
            // The attempt is out still.
            node.holds(
                |sockets| sockets <= without + 1,
                &format!("it does not see {disconnect:?} after {after:?}"),
            );
            fail.send(()).expect("the upstream waits");
            assert_eq!(node.client().call(&get("other", "20000m")).status(), 200);
            assert_eq!(
                upstream.request().header("req-id"),
                Some("other"),
                "{disconnect:?} after {after:?}"
            );
            assert_eq!(
                upstream.additional_requests(),
                0,
                "{disconnect:?} after {after:?}"
            );
        }
    }
}

/// The balancer stands still while the client leaves and the attempt fails, so that it finds both in one turn.
#[test]
fn nothing_is_repeated_for_a_client_whose_end_comes_with_the_failure() {
    for disconnect in DISCONNECTS {
        for after in [After::Nothing, After::HalfTogether] {
            let (fail, signal) = channel();
            let signal = Mutex::new(Some(signal));
            let upstream = Upstream::start(move |message| match message.header("req-id") {
                Some("gone") => match signal.lock().expect("no panic").take() {
                    Some(signal) => Then::Hold(
                        signal,
                        "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".into(),
                    ),
                    None => ok("repeated"),
                },
                _ => ok("x"),
            });
            let node = Node::with(&[upstream.addr]);
            let mut client = RawClient::connect(node.addr, TEST_TIMEOUT);
            let mut request = get("gone", "80000m").into_bytes();
            request.extend_from_slice(&after.bytes());
            client.send(&request);
            assert_eq!(upstream.request().header("req-id"), Some("gone"));
            let (port, balancer) = (client.port(), node.addr.port());
            node.pause();
            let _stays = disconnect.disconnect(client);
            fail.send(()).expect("the upstream waits");
            // A busy system may deliver the one long after the other.
            let left =
                |s: &SystemSocket| (s.local, s.remote) != (balancer, port) || s.state == CLOSE_WAIT;
            let failed = |s: &SystemSocket| s.remote == upstream.addr.port() && s.unread > 0;
            let both = |all: &[SystemSocket]| all.iter().all(left) && all.iter().any(failed);
            wait_for_system(TEST_TIMEOUT, both, "the end and the failure do not arrive");
            node.resume();
            assert_eq!(node.client().call(&get("other", "20000m")).status(), 200);
            assert_eq!(
                upstream.request().header("req-id"),
                Some("other"),
                "{disconnect:?} after {after:?}"
            );
            assert_eq!(
                upstream.additional_requests(),
                0,
                "{disconnect:?} after {after:?}"
            );
        }
    }
}

#[test]
fn a_request_with_an_incomplete_body_goes_nowhere() {
    for disconnect in DISCONNECTS {
        let upstream = Upstream::start(|_| ok("x"));
        let node = Node::with(&[upstream.addr]);
        node.discovery.called();
        let without = node.descriptors();
        let mut client = RawClient::connect(node.addr, TEST_TIMEOUT);
        let request = pay("gone", "20000m");
        client.send(&request.as_bytes()[..request.len() - 2]);
        node.holds(|sockets| sockets > without, "it does not accept");
        let _stays = disconnect.disconnect(client);
        node.holds(
            |sockets| sockets <= without,
            &format!("it does not see {disconnect:?}"),
        );
        assert_eq!(node.client().call(&get("other", "20000m")).status(), 200);
        assert_eq!(upstream.request().header("req-id"), Some("other"));
    }
}

/// Requests of all forms behind each other in one write, more than is read ahead, to a client that stays.
#[test]
fn a_client_that_sends_its_next_requests_early_gets_all_answers_in_order() {
    let echo = |message: &Message| ok(message.header("req-id").expect("an id"));
    let upstream = Upstream::start(echo);
    let node = Node::with(&[upstream.addr]);
    let chunked = |id: &str| {
        let body = "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\n\r\n\r\n0\r\n\r\n";
        pay(id, "20000m").replace("Content-Length: 4\r\n\r\nbody", body)
    };
    let ids: Vec<String> = (0..300).map(|n| format!("early-{n}")).collect();
    let requests = ids.iter().enumerate().map(|(n, id)| match n % 3 {
        0 => get(id, "20000m"),
        1 => pay(id, "20000m"),
        _ => chunked(id),
    });
    let mut client = RawClient::connect(node.addr, TEST_TIMEOUT);
    let all: String = requests.collect();
    let mut reader = client.reader();
    client.send(all.as_bytes());
    for id in &ids {
        let answer = read(&mut reader).expect("an answer");
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, id.as_bytes())
        );
    }
    drop(client);
}

/// A client that sends many requests and reads no answer: they are served as far as it reads, and each once.
#[test]
fn a_client_that_reads_late_gets_all_answers_in_order() {
    let large = "x".repeat(60 << 10);
    let upstream = Upstream::start(move |message| {
        ok(&format!(
            "{}{large}",
            message.header("req-id").expect("an id")
        ))
    });
    let node = Node::with(&[upstream.addr]);
    let mut client = RawClient::connect(node.addr, TEST_TIMEOUT);
    let ids: Vec<String> = (0..200).map(|n| format!("late-{n:03}")).collect();
    let all: String = ids.iter().map(|id| get(id, "20000m")).collect();
    client.send(all.as_bytes());
    // Others are served meanwhile.
    for n in 0..20 {
        assert_eq!(
            node.client()
                .call(&get(&format!("other-{n}"), "20000m"))
                .status(),
            200
        );
    }
    let mut reader = client.reader();
    for id in &ids {
        let answer = read(&mut reader).expect("an answer");
        assert_eq!(
            (answer.status(), &answer.body[..id.len()]),
            (200, id.as_bytes())
        );
    }
}
