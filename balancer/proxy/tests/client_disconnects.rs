//! Clients that disconnect in different ways while their request is open, with different input after the request:
//! nothing may be dialled, sent or retried for them afterwards. Also clients that send their next requests early and
//! stay connected.
mod common;
#[path = "common/raw_client.rs"]
mod raw_client;
use common::*;
use raw_client::{wait_for_sockets, KernelSocket, RawClient, CLOSE_WAIT};
use std::sync::mpsc::channel;
use std::sync::Mutex;

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    HalfClose,
}

/// What the client sends after its request, and whether in the same write.
#[derive(Clone, Copy, Debug)]
enum TrailingInput {
    Nothing,
    HalfTogether,
    HalfLater,
    CompleteTogether,
    CompleteLater,
    /// More than the balancer reads ahead of a response.
    ManyLater,
}

const DISCONNECTS: [Disconnect; 3] = [Disconnect::Close, Disconnect::Reset, Disconnect::HalfClose];
const TRAILING_INPUTS: [TrailingInput; 6] = [
    TrailingInput::Nothing,
    TrailingInput::HalfTogether,
    TrailingInput::HalfLater,
    TrailingInput::CompleteTogether,
    TrailingInput::CompleteLater,
    TrailingInput::ManyLater,
];

impl TrailingInput {
    fn bytes(self) -> Vec<u8> {
        let next = get("next", "20000m").into_bytes();
        match self {
            TrailingInput::Nothing => Vec::new(),
            TrailingInput::HalfTogether | TrailingInput::HalfLater => {
                next[..next.len() / 2].to_vec()
            }
            TrailingInput::CompleteTogether | TrailingInput::CompleteLater => next,
            TrailingInput::ManyLater => next.repeat(300),
        }
    }

    fn is_together(self) -> bool {
        matches!(
            self,
            TrailingInput::HalfTogether | TrailingInput::CompleteTogether
        )
    }
}

impl Disconnect {
    /// Disconnects. A client that only half-closes is returned, so that its socket stays open.
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

/// A balancer that does not cancel attempts and whose time limits are longer than a test, so that what it does after a
/// disconnect is not ended by time.
fn node_without_cancellation(upstreams: &[std::net::SocketAddr]) -> Node {
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
    node.discovery.next_call_path();
    node
}

fn assert_disconnect_noticed_while_dialling(disconnect: Disconnect, trailing: TrailingInput) {
    let unreachable = Unreachable::start();
    let node = node_without_cancellation(&[unreachable.addr]);
    let baseline = node.descriptors();
    let mut client = RawClient::connect(node.addr, TEST_TIMEOUT);
    let (mut request, extra) = (pay("gone", "80000m").into_bytes(), trailing.bytes());
    if trailing.is_together() {
        request.extend_from_slice(&extra);
    }
    client.send(&request);
    node.wait_for_descriptors(
        |sockets| sockets >= baseline + 2,
        "the balancer does not dial",
    );
    if !trailing.is_together() {
        client.send(&extra);
    }
    let _open_socket = disconnect.disconnect(client);
    node.wait_for_descriptors(
        |sockets| sockets <= baseline + 1,
        &format!("no reaction to {disconnect:?} with {trailing:?}"),
    );
    assert!(
        read(&mut unreachable.start_accepting()).is_none(),
        "a request was sent after {disconnect:?} with {trailing:?}"
    );
}

#[test]
fn client_close_is_noticed_while_dialling() {
    TRAILING_INPUTS
        .into_iter()
        .for_each(|trailing| assert_disconnect_noticed_while_dialling(Disconnect::Close, trailing));
}

#[test]
fn client_reset_is_noticed_while_dialling() {
    TRAILING_INPUTS
        .into_iter()
        .for_each(|trailing| assert_disconnect_noticed_while_dialling(Disconnect::Reset, trailing));
}

#[test]
fn client_half_close_is_noticed_while_dialling() {
    TRAILING_INPUTS.into_iter().for_each(|trailing| {
        assert_disconnect_noticed_while_dialling(Disconnect::HalfClose, trailing)
    });
}

/// The client disconnects during the first attempt, which fails after that.
#[test]
fn nothing_is_retried_after_disconnect_during_an_attempt() {
    for disconnect in DISCONNECTS {
        for trailing in [
            TrailingInput::Nothing,
            TrailingInput::HalfTogether,
            TrailingInput::CompleteLater,
        ] {
            let (fail_tx, signal) = channel();
            let signal = Mutex::new(Some(signal));
            let behave = move |message: &Message| match message.header("req-id") {
                Some("gone") => match signal.lock().expect("lock not poisoned").take() {
                    Some(signal) => {
                        let attempt_failed =
                            "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
                        UpstreamAction::RespondAfterSignal(signal, attempt_failed.into())
                    }
                    None => ok("repeated"),
                },
                _ => ok("x"),
            };
            let upstream = Upstream::start(behave);
            let node = node_without_cancellation(&[upstream.addr]);
            let baseline = node.descriptors();
            let mut client = RawClient::connect(node.addr, TEST_TIMEOUT);
            let mut request = get("gone", "80000m").into_bytes();
            request.extend_from_slice(&trailing.bytes());
            client.send(&request);
            assert_eq!(upstream.request().header("req-id"), Some("gone"));
            let _open_socket = disconnect.disconnect(client);
            // The attempt is still in flight.
            node.wait_for_descriptors(
                |sockets| sockets <= baseline + 1,
                &format!("no reaction to {disconnect:?} with {trailing:?}"),
            );
            fail_tx.send(()).expect("upstream is waiting");
            assert_eq!(node.client().call(&get("other", "20000m")).status(), 200);
            assert_eq!(
                upstream.request().header("req-id"),
                Some("other"),
                "{disconnect:?} with {trailing:?}"
            );
            assert_eq!(
                upstream.additional_requests(),
                0,
                "{disconnect:?} with {trailing:?}"
            );
        }
    }
}

/// The balancer is stopped while the client disconnects and the attempt fails, so that it handles both events in one
/// iteration of its event loop.
#[test]
fn nothing_is_retried_when_disconnect_and_failure_coincide() {
    for disconnect in DISCONNECTS {
        for trailing in [TrailingInput::Nothing, TrailingInput::HalfTogether] {
            let (fail_tx, signal) = channel();
            let signal = Mutex::new(Some(signal));
            let upstream = Upstream::start(move |message| match message.header("req-id") {
                Some("gone") => match signal.lock().expect("lock not poisoned").take() {
                    Some(signal) => UpstreamAction::RespondAfterSignal(
                        signal,
                        "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".into(),
                    ),
                    None => ok("repeated"),
                },
                _ => ok("x"),
            });
            let node = Node::with_upstreams(&[upstream.addr]);
            let mut client = RawClient::connect(node.addr, TEST_TIMEOUT);
            let mut request = get("gone", "80000m").into_bytes();
            request.extend_from_slice(&trailing.bytes());
            client.send(&request);
            assert_eq!(upstream.request().header("req-id"), Some("gone"));
            let (port, balancer) = (client.port(), node.addr.port());
            node.pause();
            let _open_socket = disconnect.disconnect(client);
            fail_tx.send(()).expect("upstream is waiting");
            // On a busy machine one event may arrive long after the other.
            let client_disconnected =
                |s: &KernelSocket| (s.local, s.remote) != (balancer, port) || s.state == CLOSE_WAIT;
            let attempt_failed =
                |s: &KernelSocket| s.remote == upstream.addr.port() && s.unread > 0;
            let both_arrived = |all: &[KernelSocket]| {
                all.iter().all(client_disconnected) && all.iter().any(attempt_failed)
            };
            wait_for_sockets(
                TEST_TIMEOUT,
                both_arrived,
                "the disconnect and the failure did not arrive",
            );
            node.resume();
            assert_eq!(node.client().call(&get("other", "20000m")).status(), 200);
            assert_eq!(
                upstream.request().header("req-id"),
                Some("other"),
                "{disconnect:?} with {trailing:?}"
            );
            assert_eq!(
                upstream.additional_requests(),
                0,
                "{disconnect:?} with {trailing:?}"
            );
        }
    }
}

#[test]
fn request_with_an_incomplete_body_is_not_forwarded() {
    for disconnect in DISCONNECTS {
        let upstream = Upstream::start(|_| ok("x"));
        let node = Node::with_upstreams(&[upstream.addr]);
        node.discovery.next_call_path();
        let baseline = node.descriptors();
        let mut client = RawClient::connect(node.addr, TEST_TIMEOUT);
        let request = pay("gone", "20000m");
        client.send(&request.as_bytes()[..request.len() - 2]);
        node.wait_for_descriptors(|sockets| sockets > baseline, "the balancer does not accept");
        let _open_socket = disconnect.disconnect(client);
        node.wait_for_descriptors(
            |sockets| sockets <= baseline,
            &format!("no reaction to {disconnect:?}"),
        );
        assert_eq!(node.client().call(&get("other", "20000m")).status(), 200);
        assert_eq!(upstream.request().header("req-id"), Some("other"));
    }
}

/// Requests of all kinds in one write, more than the balancer reads ahead, from a client that stays connected.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let echo = |message: &Message| ok(message.header("req-id").expect("a request id"));
    let upstream = Upstream::start(echo);
    let node = Node::with_upstreams(&[upstream.addr]);
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
        let response = read(&mut reader).expect("a response");
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, id.as_bytes())
        );
    }
    drop(client);
}

/// A client that sends many requests before it reads a response: requests are served as fast as it reads, each once.
#[test]
fn client_that_reads_late_gets_responses_in_order() {
    let large = "x".repeat(60 << 10);
    let upstream = Upstream::start(move |message| {
        ok(&format!(
            "{}{large}",
            message.header("req-id").expect("a request id")
        ))
    });
    let node = Node::with_upstreams(&[upstream.addr]);
    let mut client = RawClient::connect(node.addr, TEST_TIMEOUT);
    let ids: Vec<String> = (0..200).map(|n| format!("late-{n:03}")).collect();
    let all: String = ids.iter().map(|id| get(id, "20000m")).collect();
    client.send(all.as_bytes());
    // Other clients are served meanwhile.
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
        let response = read(&mut reader).expect("a response");
        assert_eq!(
            (response.status(), &response.body[..id.len()]),
            (200, id.as_bytes())
        );
    }
}
