//! Requests and responses as they pass through the balancer, and the headers that are not forwarded.
use balancer_core::Millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use std::cell::Cell;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum length of a request or response body, in bytes.
pub(crate) const MAX_BODY_LEN: usize = 64 << 10;
/// The header that states how long the sender waits for the response.
pub(crate) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("req-deadline");

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the headers that apply to a single connection. `Content-Length` is removed too, as the body is framed anew.
pub(crate) fn retain_end_to_end(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|v| v.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS
        .iter()
        .chain(&named)
        .chain(&[header::CONTENT_LENGTH, header::EXPECT])
    {
        headers.remove(name);
    }
}

/// A request as it is forwarded to upstreams.
pub(crate) struct OutgoingRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Whether the request has ended. Nothing more may be written for it then.
    pub has_ended: Cell<bool>,
}

/// The final response to a request.
#[derive(Debug)]
pub(crate) enum FinalResponse {
    /// An upstream's response.
    Served {
        /// The end-to-end headers.
        headers: HeaderMap,
        /// The complete body.
        body: Bytes,
    },
    /// Refused: the request can safely be retried.
    Refused {
        /// How long the client should wait before it retries, in milliseconds; zero: unspecified.
        retry_after: Millis,
    },
    /// Failed: the request may or may not have taken effect.
    Failed,
}

impl OutgoingRequest {
    /// Returns the request id for the log.
    pub(crate) fn id(&self) -> &str {
        self.headers
            .get("req-id")
            .and_then(|id| id.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns a hash of the idempotency key, which a retry by the client shares, or else of the request id. The path
    /// is not hashed: one path may account for half of all requests, and load shedding would then drop all of them or
    /// none.
    pub(crate) fn tie_breaker(&self) -> u64 {
        let key = self
            .headers
            .get("idempotency-key")
            .map(HeaderValue::as_bytes)
            .filter(|key| !key.is_empty());
        xxh3_64(key.unwrap_or(self.id().as_bytes()))
    }

    /// Builds the HTTP request for one attempt.
    pub(crate) fn request(&self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.target.clone())
            .body(Full::new(self.body.clone()))?;
        *request.headers_mut() = self.headers.clone();
        Ok(request)
    }
}
