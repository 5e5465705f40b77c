//! Calls to coordinators and agents.
use magpiegap_protocol::{decode, encode, CoordinatorRequest, CoordinatorResponse};
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// The path of all requests among the processes.
pub const REQUEST_PATH: &str = "/request";
/// How long a connection may take to come up.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection whose data is not acknowledged for this long is given up.
pub(crate) const UNACKNOWLEDGED: Duration = Duration::from_millis(1200);

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection came up: the request surely was not read.
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
        .pool_idle_timeout(Duration::from_secs(60))
        .tcp_nodelay(true)
        .tcp_user_timeout(UNACKNOWLEDGED);
    builder.build().unwrap_or_default()
}

/// Calls a coordinator or agent; the whole call may take so long at most. For short answers only.
///
/// # Errors
/// When there is no answer that can be read.
pub async fn call(
    client: &reqwest::Client,
    address: SocketAddr,
    request: &CoordinatorRequest,
    most: Duration,
) -> Result<CoordinatorResponse, CallError> {
    let whole = call_while_bytes_come(client, address, request, most, most);
    timeout(most, whole)
        .await
        .unwrap_or(Err(CallError::Unanswered))
}

/// Calls a coordinator or agent, and waits for its answer as long as bytes come: up to `first_byte` for the first, and up
/// to `silence` for each that follows. A long answer on a slow link may take any time.
///
/// # Errors
/// When there is no answer that can be read.
pub async fn call_while_bytes_come(
    client: &reqwest::Client,
    address: SocketAddr,
    request: &CoordinatorRequest,
    first_byte: Duration,
    silence: Duration,
) -> Result<CoordinatorResponse, CallError> {
    let url = format!("http://{address}{REQUEST_PATH}");
    let sending = client.post(url).body(encode(request)).send();
    let sent = timeout(first_byte, sending)
        .await
        .map_err(|_| CallError::Unanswered)?;
    let mut response = sent.map_err(|error| match error.is_connect() {
        true => CallError::NotSent,
        false => CallError::Unanswered,
    })?;
    let mut body = Vec::new();
    loop {
        let chunk = timeout(silence, response.chunk())
            .await
            .map_err(|_| CallError::Unanswered)?;
        match chunk.map_err(|_| CallError::Unanswered)? {
            Some(bytes) => body.extend_from_slice(&bytes),
            None => break,
        }
    }
    decode(&body).map_err(|_| CallError::Unanswered)
}
