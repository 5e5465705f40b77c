//! Calls to coordinators and agents over HTTP; none is sent twice.
use magpiegap_protocol::{decode, encode, CoordinatorRequest, CoordinatorResponse};
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// The path of all requests among the processes.
pub const REQUEST_PATH: &str = "/request";
/// Timeout of a connection attempt.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection on which data is not acknowledged for this long breaks (RFC 5482).
pub(crate) const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1200);

/// An idle connection is closed after this time.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection attempt failed: the request surely was not read.
    NotSent,
    /// It isn't known whether the request was read.
    Unanswered,
}

/// A client for all calls of a process.
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

/// How long a response may take.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeouts {
    /// Until its first byte.
    pub first_byte: Duration,
    /// Without a further byte.
    pub idle: Duration,
}

/// Calls a coordinator or agent; the call as a whole times out after `call_timeout`. For short responses only.
///
/// # Errors
/// When there is no response that can be read.
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

/// Calls a coordinator or agent, and waits for its response as long as bytes come. A long response on a slow link may
/// take any time.
///
/// # Errors
/// When there is no response that can be read.
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
