//! HTTP calls to coordinators and agents. A call is never sent more than once.
use magpiegap_protocol::{decode, encode, CoordinatorRequest, CoordinatorResponse};
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// The URL path of all requests between the processes.
pub const REQUEST_PATH: &str = "/request";
/// Timeout of a connection attempt.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// TCP user timeout: a connection is closed when sent data stays unacknowledged for this long (RFC 5482).
pub(crate) const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Idle timeout of pooled connections.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection attempt failed, so the request was certainly not processed.
    NotSent,
    /// There was no usable response; the request may or may not have been processed.
    Unanswered,
}

/// Creates an HTTP client, to be shared by all calls of a process.
pub fn client() -> reqwest::Client {
    let builder = reqwest::Client::builder()
        .no_proxy()
        .http1_only()
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_user_timeout(TCP_USER_TIMEOUT);
    builder.build().unwrap_or_default()
}

/// Timeouts for receiving a response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeouts {
    /// Until the response headers are received.
    pub first_byte: Duration,
    /// Between two chunks of the body.
    pub idle: Duration,
}

/// Calls a coordinator or agent with `call_timeout` as the timeout of the entire call. Use for short responses only.
///
/// # Errors
/// When there is no response, or it can't be decoded.
pub async fn call(
    client: &reqwest::Client,
    address: SocketAddr,
    request: &CoordinatorRequest,
    call_timeout: Duration,
) -> Result<CoordinatorResponse, CallError> {
    let timeouts = ResponseTimeouts {
        first_byte: call_timeout,
        idle: call_timeout,
    };
    let response = call_while_progressing(client, address, request, timeouts);
    timeout(call_timeout, response)
        .await
        .unwrap_or(Err(CallError::Unanswered))
}

/// Calls a coordinator or agent and waits for the response as long as data keeps arriving. There is no total timeout, so
/// that a large response can be received over a slow link.
///
/// # Errors
/// When there is no response, or it can't be decoded.
pub async fn call_while_progressing(
    client: &reqwest::Client,
    address: SocketAddr,
    request: &CoordinatorRequest,
    timeouts: ResponseTimeouts,
) -> Result<CoordinatorResponse, CallError> {
    let url = format!("http://{address}{REQUEST_PATH}");
    let sending = client.post(url).body(encode(request)).send();
    let sent = timeout(timeouts.first_byte, sending)
        .await
        .map_err(|_| CallError::Unanswered)?;
    let mut response = sent.map_err(|error| match error.is_connect() {
        true => CallError::NotSent,
        false => CallError::Unanswered,
    })?;
    let mut body = Vec::new();
    loop {
        let chunk = timeout(timeouts.idle, response.chunk())
            .await
            .map_err(|_| CallError::Unanswered)?;
        match chunk.map_err(|_| CallError::Unanswered)? {
            Some(bytes) => body.extend_from_slice(&bytes),
            None => break,
        }
    }
    decode(&body).map_err(|_| CallError::Unanswered)
}
