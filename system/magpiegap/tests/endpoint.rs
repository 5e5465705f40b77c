//! Calls to coordinators and agents: the reported error tells whether the request may have been processed, and no call is
//! sent twice.
mod common;

use common::{has_no_second_connection, listen, read_request, reset, LONG_TIMEOUT};
use googletest::prelude::*;
use magpiegap::endpoint::{call, call_while_progressing, client, CallError, ResponseTimeouts};
use magpiegap_protocol::{encode, CoordinatorRequest, CoordinatorResponse};
use std::time::Duration;
use tokio::{io::AsyncWriteExt, net::TcpStream};

fn count_request() -> CoordinatorRequest {
    CoordinatorRequest::Count {
        queue: "h/q/".to_owned(),
    }
}

async fn respond(stream: &mut TcpStream, count: u64) {
    let body = encode(&CoordinatorResponse::Count(count));
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    // The caller may have closed the connection.
    let _ = stream.write_all(&[head.into_bytes(), body].concat()).await;
}

#[tokio::test]
async fn a_refused_connection_means_not_sent() {
    let (listener, address) = listen().await;
    drop(listener);
    let called = call(&client(), address, &count_request(), LONG_TIMEOUT).await;
    assert_that!(called, err(eq(&CallError::NotSent)));
}

#[tokio::test]
async fn a_call_is_not_resent_after_a_reset() {
    let (listener, address) = listen().await;
    let coordinator = tokio::spawn(async move {
        let (mut reused, _) = listener.accept().await.expect("a connection");
        read_request(&mut reused, &encode(&count_request())).await;
        respond(&mut reused, 1).await;
        read_request(&mut reused, &encode(&count_request())).await;
        reset(reused);
        has_no_second_connection(&listener).await
    });
    let client = client();
    assert_that!(
        call(&client, address, &count_request(), LONG_TIMEOUT).await,
        ok(eq(&CoordinatorResponse::Count(1)))
    );
    assert_that!(
        call(&client, address, &count_request(), LONG_TIMEOUT).await,
        err(eq(&CallError::Unanswered))
    );
    assert_that!(
        coordinator.await.expect("it ends"),
        eq(true),
        "the call was sent twice"
    );
}

#[tokio::test]
async fn next_call_ignores_a_late_response() {
    let (listener, address) = listen().await;
    let (ended, call_ended) = tokio::sync::oneshot::channel::<()>();
    tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.expect("a connection");
        read_request(&mut first, &encode(&count_request())).await;
        let _ = call_ended.await;
        respond(&mut first, 1).await;
        let (mut second, _) = listener.accept().await.expect("another connection");
        read_request(&mut second, &encode(&count_request())).await;
        respond(&mut second, 2).await;
    });
    let client = client();
    let late = call(
        &client,
        address,
        &count_request(),
        Duration::from_millis(20),
    )
    .await;
    assert_that!(late, err(eq(&CallError::Unanswered)));
    ended.send(()).expect("the coordinator waits");
    assert_that!(
        call(&client, address, &count_request(), LONG_TIMEOUT).await,
        ok(eq(&CoordinatorResponse::Count(2)))
    );
}

/// Idle timeout of the caller in the next tests.
const IDLE_TIMEOUT: Duration = Duration::from_millis(20);

fn timeouts(idle: Duration) -> ResponseTimeouts {
    ResponseTimeouts {
        first_byte: LONG_TIMEOUT,
        idle,
    }
}

#[tokio::test]
async fn a_response_in_chunks_is_received_completely() {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream, &encode(&count_request())).await;
        let body = encode(&CoordinatorResponse::Description("x".repeat(300_000)));
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream
            .write_all(head.as_bytes())
            .await
            .expect("the caller reads");
        for chunk in body.chunks(10_000) {
            stream.write_all(chunk).await.expect("the caller reads");
        }
        std::future::pending::<()>().await;
    });
    let called =
        call_while_progressing(&client(), address, &count_request(), timeouts(LONG_TIMEOUT)).await;
    assert_that!(
        called,
        ok(eq(&CoordinatorResponse::Description("x".repeat(300_000))))
    );
}

#[tokio::test]
async fn a_stalled_response_times_out() {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream, &encode(&count_request())).await;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\nabc")
            .await
            .expect("the caller reads");
        std::future::pending::<()>().await;
    });
    let called =
        call_while_progressing(&client(), address, &count_request(), timeouts(IDLE_TIMEOUT)).await;
    assert_that!(called, err(eq(&CallError::Unanswered)));
}
