//! Calls to coordinators and agents: what is known of a call without an answer, and that none is sent twice.
mod common;

use common::{listen, read_request, reset, stays_quiet, LONG};
use googletest::prelude::*;
use magpiegap::endpoint::{call, call_while_bytes_come, client, CallError};
use magpiegap_protocol::{encode, CoordinatorRequest, CoordinatorResponse};
use std::time::Duration;
use tokio::{io::AsyncWriteExt, net::TcpStream};

fn question() -> CoordinatorRequest {
    CoordinatorRequest::Count {
        queue: "h/q/".to_owned(),
    }
}

async fn answer(stream: &mut TcpStream, count: u64) {
    let body = encode(&CoordinatorResponse::Count(count));
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    // The caller may have gone.
    let _ = stream.write_all(&[head.into_bytes(), body].concat()).await;
}

#[tokio::test]
async fn given_an_address_where_nobody_listens_when_it_is_called_then_the_call_surely_was_not_sent()
{
    let (listener, address) = listen().await;
    drop(listener);
    let called = call(&client(), address, &question(), LONG).await;
    assert_that!(called, err(eq(&CallError::NotSent)));
}

#[tokio::test]
async fn given_a_reused_connection_that_is_reset_under_a_call_when_it_ends_then_the_call_was_sent_once(
) {
    let (listener, address) = listen().await;
    let coordinator = tokio::spawn(async move {
        let (mut kept, _) = listener.accept().await.expect("a connection");
        read_request(&mut kept, &encode(&question())).await;
        answer(&mut kept, 1).await;
        read_request(&mut kept, &encode(&question())).await;
        reset(kept);
        stays_quiet(&listener).await
    });
    let client = client();
    assert_that!(
        call(&client, address, &question(), LONG).await,
        ok(eq(&CoordinatorResponse::Count(1)))
    );
    assert_that!(
        call(&client, address, &question(), LONG).await,
        err(eq(&CallError::Unanswered))
    );
    assert_that!(
        coordinator.await.expect("it ends"),
        eq(true),
        "the call was sent once more"
    );
}

#[tokio::test]
async fn given_an_answer_after_the_call_has_ended_when_the_next_call_is_made_then_it_gets_its_own()
{
    let (listener, address) = listen().await;
    let (ended, call_ended) = tokio::sync::oneshot::channel::<()>();
    tokio::spawn(async move {
        let (mut first, _) = listener.accept().await.expect("a connection");
        read_request(&mut first, &encode(&question())).await;
        let _ = call_ended.await;
        answer(&mut first, 1).await;
        let (mut second, _) = listener.accept().await.expect("another connection");
        read_request(&mut second, &encode(&question())).await;
        answer(&mut second, 2).await;
    });
    let client = client();
    let late = call(&client, address, &question(), Duration::from_millis(20)).await;
    assert_that!(late, err(eq(&CallError::Unanswered)));
    ended.send(()).expect("the coordinator waits");
    assert_that!(
        call(&client, address, &question(), LONG).await,
        ok(eq(&CoordinatorResponse::Count(2)))
    );
}

/// How long the caller of the next stories waits for each further byte.
const SILENCE: Duration = Duration::from_millis(20);

#[tokio::test]
async fn given_an_answer_in_pieces_when_all_of_them_come_then_it_is_whole() {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream, &encode(&question())).await;
        let body = encode(&CoordinatorResponse::Description("x".repeat(300_000)));
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream
            .write_all(head.as_bytes())
            .await
            .expect("the caller reads");
        for piece in body.chunks(10_000) {
            stream.write_all(piece).await.expect("the caller reads");
        }
        std::future::pending::<()>().await;
    });
    let called = call_while_bytes_come(&client(), address, &question(), LONG, LONG).await;
    assert_that!(
        called,
        ok(eq(&CoordinatorResponse::Description("x".repeat(300_000))))
    );
}

#[tokio::test]
async fn given_an_answer_that_stops_halfway_when_no_byte_comes_then_the_call_is_given_up() {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream, &encode(&question())).await;
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\nabc")
            .await
            .expect("the caller reads");
        std::future::pending::<()>().await;
    });
    let called = call_while_bytes_come(&client(), address, &question(), LONG, SILENCE).await;
    assert_that!(called, err(eq(&CallError::Unanswered)));
}
