//! Signals at the end of the program, one behind the other, and who is connected just then: each request that was
//! written whole gets its answer in time, and each idle connection ends in order.
mod common;
#[path = "common/raw_client.rs"]
mod raw_client;
#[path = "common/shutdown.rs"]
mod shutdown;
use common::*;
use raw_client::RawClient;
use shutdown::{answers_ok_alone, served_client, shuts_down_soon, shuts_down_within, until_shown};
use std::time::{Duration, Instant};

/// A request that was open at SIGTERM is answered within this from then, where no deadline is longer than 3 s.
const ANSWERED: Duration = Duration::from_millis(3700);

/// What a request that was open at the end may be answered.
fn is_given_up(answer: Option<Message>, node: &Node) {
    let status = answer
        .unwrap_or_else(|| panic!("no answer: {:?}", node.log()))
        .status();
    assert!([502, 503].contains(&status), "{status}");
}

/// It ended in order, was told so once, and answered all.
fn has_ended_in_order(node: &mut Node) {
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
fn a_second_sigterm_changes_nothing() {
    until_shown(|| {
        let upstream = answers_ok_alone();
        let mut node = shuts_down_within(&upstream, 2500);
        let (mut open, mut later) = (served_client(&node), served_client(&node));
        open.send(&get("open", "20000m"));
        while upstream.request().header("req-id") != Some("open") {}
        node.terminate();
        node.logs("shutdown requested");
        node.terminate();
        // Served after the second word.
        later.send(&get("ok", "5000m"));
        let Some(served) = later.answer() else {
            return false;
        };
        assert_eq!(served.status(), 200);
        node.terminate();
        is_given_up(open.answer(), &node);
        has_ended_in_order(&mut node);
        true
    });
}

/// What the configuration says when it is read again.
#[derive(Clone, Copy, Debug)]
enum Configuration {
    Same,
    Broken,
}

/// Both signals wait when the program goes on, together with a request that it has not read.
fn ends_with_a_reload(configuration: Configuration, reload_first: bool) {
    until_shown(|| {
        let upstream = answers_ok_alone();
        let mut node = shuts_down_soon(&upstream);
        let (mut open, mut unread) = (served_client(&node), served_client(&node));
        open.send(&get("open", "20000m"));
        while upstream.request().header("req-id") != Some("open") {}
        node.pause();
        unread.send(&get("ok", "5000m"));
        let hang_up = |node: &Node| match configuration {
            Configuration::Same => node.hang_up(),
            Configuration::Broken => node.reload("{"),
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
            unread.answer().map(|answer| answer.status()),
            Some(200),
            "{:?}",
            node.log()
        );
        node.logs("shutdown requested");
        hang_up(&node);
        is_given_up(open.answer(), &node);
        has_ended_in_order(&mut node);
        true
    });
}

#[test]
fn a_reload_just_before_sigterm_changes_nothing() {
    ends_with_a_reload(Configuration::Same, true);
    ends_with_a_reload(Configuration::Broken, true);
}

#[test]
fn a_reload_just_after_sigterm_changes_nothing() {
    ends_with_a_reload(Configuration::Same, false);
    ends_with_a_reload(Configuration::Broken, false);
}

/// Requests that were open at SIGTERM, one repeatable and one not, whose upstream never answers.
fn answers_in_time(deadline: u32, most: Duration) {
    let upstream = answers_ok_alone();
    let mut node = shuts_down_within(&upstream, deadline);
    let (mut read, mut paid) = (served_client(&node), served_client(&node));
    read.send(&get("hangs-read", "80000m"));
    paid.send(&pay("hangs-pay", "80000m"));
    let mut hanging = 0;
    while hanging < 2 {
        hanging += usize::from(
            upstream
                .request()
                .header("req-id")
                .is_some_and(|id| id.starts_with("hangs")),
        );
    }
    let signalled_at = Instant::now();
    node.terminate();
    is_given_up(read.answer(), &node);
    is_given_up(paid.answer(), &node);
    let answered = signalled_at.elapsed();
    assert!(
        answered < most,
        "answered after {answered:?} with a longest deadline of {deadline} ms"
    );
    has_ended_in_order(&mut node);
}

#[test]
fn a_request_whose_upstream_hangs_is_answered_before_the_program_is_killed() {
    answers_in_time(1000, ANSWERED);
    answers_in_time(2500, ANSWERED);
}

/// Where the deadline is longer, the end comes long before it.
#[test]
fn a_request_with_a_long_deadline_does_not_hold_up_the_end() {
    answers_in_time(20_000, Duration::from_secs(10));
}

/// Connections that have served a request and those that never sent one, as their clients wait for the end.
#[test]
fn idle_clients_that_stay_until_the_end_are_closed_in_order() {
    let upstream = answers_ok_alone();
    let mut node = shuts_down_within(&upstream, 2500);
    let mut clients: Vec<RawClient> = (0..20)
        .map(|_| RawClient::connect(node.addr, TEST_TIMEOUT))
        .collect();
    for client in &mut clients[..10] {
        client.send(get("ok", "5000m").as_bytes());
        assert_eq!(
            read(&mut client.reader()).map(|answer| answer.status()),
            Some(200)
        );
    }
    // Accepted after all of these.
    served_client(&node);
    node.terminate();
    for (n, client) in clients.iter_mut().enumerate() {
        let (bytes, in_order) = client.rest();
        assert!(
            bytes.is_empty() && in_order,
            "{n}: {bytes:?}, in order: {in_order}"
        );
    }
    has_ended_in_order(&mut node);
}

/// A piece of each request comes before SIGTERM, one after it, and the last once nobody is accepted any more.
#[test]
fn requests_in_pieces_during_all_of_the_shutdown_are_answered() {
    until_shown(|| {
        let upstream = answers_ok_alone();
        let mut node = shuts_down_soon(&upstream);
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
        // Served after the first pieces were read.
        served_client(&node);
        node.terminate();
        node.logs("shutdown requested");
        clients
            .iter_mut()
            .for_each(|(client, request, [first, last])| client.send(&request[*first..*last]));
        while node.try_client().is_some() {
            std::thread::yield_now();
        }
        clients
            .iter_mut()
            .for_each(|(client, request, [_, last])| client.send(&request[*last..]));
        if node.has_ended() {
            return false;
        }
        clients
            .iter_mut()
            .for_each(|(client, ..)| is_given_up(client.answer(), &node));
        has_ended_in_order(&mut node);
        true
    });
}
