//! Calls to workers: reuse and limits of connections, and failures of calls.
mod common;

use bytes::Bytes;
use common::{has_no_second_connection, listen, read_request, reset, LONG_TIMEOUT};
use googletest::prelude::*;
use http_body_util::Full;
use hyper::Request;
use magpiegap::worker_connections::{ConnectionError, WorkerConnections};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The body of every request.
const BODY: &[u8] = b"{}";
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

fn request() -> Request<Full<Bytes>> {
    let request = Request::post("/-/hold")
        .header("host", "worker")
        .body(Full::new(Bytes::from_static(BODY)));
    request.expect("a valid request")
}

#[tokio::test]
async fn an_open_connection_is_reused() {
    let (listener, address) = listen().await;
    let worker = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        for _ in 0..2 {
            read_request(&mut stream, BODY).await;
            stream
                .write_all(RESPONSE)
                .await
                .expect("an open connection");
        }
    });
    let connections = WorkerConnections::default();
    for _ in 0..2 {
        let (status, body) = connections
            .call(address, request(), LONG_TIMEOUT)
            .await
            .expect("a response");
        assert_that!(status.as_u16(), eq(200));
        assert_that!(body.as_ref(), eq(b"{}"));
    }
    worker.await.expect("both requests came on one connection");
}

#[tokio::test]
async fn calls_succeed_when_the_worker_closes_connections() {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            read_request(&mut stream, BODY).await;
            stream
                .write_all(RESPONSE)
                .await
                .expect("an open connection");
            stream.shutdown().await.expect("an open connection");
        }
    });
    let connections = WorkerConnections::default();
    for _ in 0..2 {
        let (status, _) = connections
            .call(address, request(), LONG_TIMEOUT)
            .await
            .expect("a response");
        assert_that!(status.as_u16(), eq(200));
    }
}

#[tokio::test]
async fn a_refused_connection_is_reported() {
    let (listener, address) = listen().await;
    drop(listener);
    let called = WorkerConnections::default()
        .call(address, request(), LONG_TIMEOUT)
        .await;
    assert_that!(matches!(called, Err(ConnectionError::Connect(_))), eq(true));
}

#[tokio::test]
async fn a_call_without_a_response_times_out() {
    let (_listener, address) = listen().await;
    let called = WorkerConnections::default()
        .call(address, request(), Duration::from_millis(20))
        .await;
    assert_that!(matches!(called, Err(ConnectionError::Timeout)), eq(true));
}

#[tokio::test]
async fn a_truncated_response_fails_the_call() {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream, BODY).await;
        stream
            .write_all(&RESPONSE[..RESPONSE.len() - 1])
            .await
            .expect("an open connection");
    });
    let called = WorkerConnections::default()
        .call(address, request(), LONG_TIMEOUT)
        .await;
    assert_that!(matches!(called, Err(ConnectionError::Body(_))), eq(true));
}

#[tokio::test]
async fn connections_above_the_limit_are_closed() {
    let (listener, address) = listen().await;
    let worker = tokio::spawn(async move {
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.expect("a connection for each call");
            read_request(&mut stream, BODY).await;
            stream
                .write_all(RESPONSE)
                .await
                .expect("an open connection");
            let mut rest = [0; 1];
            assert_that!(
                stream
                    .read(&mut rest)
                    .await
                    .expect("the connection ends without an error"),
                eq(0)
            );
        }
    });
    let connections = WorkerConnections::new(0);
    for _ in 0..2 {
        connections
            .call(address, request(), LONG_TIMEOUT)
            .await
            .expect("a response");
    }
    worker.await.expect("each call had a connection of its own");
    assert_that!(connections.open(), eq(0));
}

/// A response whose body is `number`, to tell responses apart.
fn numbered_response(number: u8) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}").into_bytes()
}

#[tokio::test]
async fn next_call_ignores_a_late_response() {
    let (listener, address) = listen().await;
    let (ended, call_ended) = tokio::sync::oneshot::channel::<()>();
    tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.expect("a connection");
        read_request(&mut first, BODY).await;
        let _ = call_ended.await;
        // The caller may have closed the connection by now.
        let _ = first.write_all(&numbered_response(1)).await;
        let (mut second, _) = listener.accept().await.expect("another connection");
        read_request(&mut second, BODY).await;
        second
            .write_all(&numbered_response(2))
            .await
            .expect("an open connection");
    });
    let connections = WorkerConnections::default();
    let late = connections
        .call(address, request(), Duration::from_millis(20))
        .await;
    assert_that!(matches!(late, Err(ConnectionError::Timeout)), eq(true));
    ended.send(()).expect("the worker waits");
    let (_, body) = connections
        .call(address, request(), LONG_TIMEOUT)
        .await
        .expect("a response");
    assert_that!(body.as_ref(), eq(b"2"));
}

#[tokio::test]
async fn next_call_ignores_a_duplicate_response() {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.expect("a connection");
        read_request(&mut first, BODY).await;
        let twice = [numbered_response(1), numbered_response(9)].concat();
        first.write_all(&twice).await.expect("an open connection");
        let (mut second, _) = listener.accept().await.expect("another connection");
        read_request(&mut second, BODY).await;
        second
            .write_all(&numbered_response(2))
            .await
            .expect("an open connection");
    });
    let connections = WorkerConnections::default();
    let (_, body) = connections
        .call(address, request(), LONG_TIMEOUT)
        .await
        .expect("a response");
    assert_that!(body.as_ref(), eq(b"1"));
    let (_, body) = connections
        .call(address, request(), LONG_TIMEOUT)
        .await
        .expect("a response");
    assert_that!(body.as_ref(), eq(b"2"));
}

#[tokio::test]
async fn a_call_is_not_resent_after_a_reset() {
    let (listener, address) = listen().await;
    let worker = tokio::spawn(async move {
        let (mut reused, _) = listener.accept().await.expect("a connection");
        read_request(&mut reused, BODY).await;
        reused
            .write_all(RESPONSE)
            .await
            .expect("an open connection");
        read_request(&mut reused, BODY).await;
        // The reset arrives while the second call waits for its response.
        reset(reused);
        has_no_second_connection(&listener).await
    });
    let connections = WorkerConnections::default();
    connections
        .call(address, request(), LONG_TIMEOUT)
        .await
        .expect("a response");
    let reset = connections.call(address, request(), LONG_TIMEOUT).await;
    assert_that!(reset.is_err(), eq(true));
    assert_that!(
        worker.await.expect("the worker ends"),
        eq(true),
        "the call was sent twice"
    );
}
