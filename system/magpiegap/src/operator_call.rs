//! HTTP calls that operator commands make to a coordinator or proxy.
use crate::endpoint;
use std::{net::SocketAddr, time::Duration};

/// Timeout of a call to a coordinator or proxy.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of redirects that are followed.
const MAX_REDIRECTS: usize = 2;

/// A call to a coordinator or proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct OperatorCall {
    /// The HTTP method.
    pub method: &'static str,
    /// The address to connect to.
    pub address: Option<SocketAddr>,
    /// The path and query of the URL.
    pub path: String,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// The request body.
    pub body: Vec<u8>,
}

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum OperatorCallError {
    /// No address was given.
    #[error("no address")]
    NoAddress,
    /// There is no response, or it is incomplete.
    #[error("{url}: {source}")]
    NoResponse {
        /// The URL.
        url: String,
        /// The transport error.
        source: reqwest::Error,
    },
    /// The response has an error status.
    #[error("{}", format!("{url}: {status} {text}").trim())]
    Status {
        /// The URL.
        url: String,
        /// The HTTP status code.
        status: u16,
        /// The response body.
        text: String,
    },
    /// The call was redirected too many times.
    #[error("{url}: too many redirects")]
    TooManyRedirects {
        /// The URL of the last redirect.
        url: String,
    },
}

/// Makes a call, following redirects, and returns the response body.
///
/// # Errors
/// When there is no response, or it has an error status.
pub(crate) async fn call(call: OperatorCall) -> Result<String, OperatorCallError> {
    let client = endpoint::client();
    let address = call.address.ok_or(OperatorCallError::NoAddress)?;
    let mut url = format!("http://{address}{}", call.path);
    for _ in 0..=MAX_REDIRECTS {
        let no_response = |source| OperatorCallError::NoResponse {
            url: url.clone(),
            source,
        };
        let response = request(&client, &call, &url)
            .send()
            .await
            .map_err(no_response)?;
        let status = response.status();
        if let Some(location) = redirect_location(&response) {
            url = location;
            continue;
        }
        let text = response.text().await.map_err(no_response)?;
        if status.is_success() {
            return Ok(text);
        }
        let status = status.as_u16();
        return Err(OperatorCallError::Status { url, status, text });
    }
    Err(OperatorCallError::TooManyRedirects { url })
}

fn request(client: &reqwest::Client, call: &OperatorCall, url: &str) -> reqwest::RequestBuilder {
    let method = reqwest::Method::from_bytes(call.method.as_bytes()).unwrap_or_default();
    let request = client
        .request(method, url)
        .timeout(TIMEOUT)
        .body(call.body.clone());
    call.headers.iter().fold(request, |request, (name, value)| {
        request.header(*name, value)
    })
}

/// The URL that a response redirects to; `None` if it is not a redirect.
fn redirect_location(response: &reqwest::Response) -> Option<String> {
    if response.status() != reqwest::StatusCode::TEMPORARY_REDIRECT {
        return None;
    }
    let location = response.headers().get("Location")?;
    location.to_str().ok().map(str::to_owned)
}

/// Encodes the fields that are present as a URL query.
pub(crate) fn query(fields: &[(&str, &Option<String>)]) -> String {
    let given = fields
        .iter()
        .filter_map(|(name, value)| Some((*name, value.as_deref()?)));
    let encode = |value: &str| {
        rocket::http::RawStr::new(value)
            .percent_encode()
            .to_string()
    };
    let pairs: Vec<String> = given
        .map(|(name, value)| format!("{name}={}", encode(value)))
        .collect();
    pairs.join("&")
}
