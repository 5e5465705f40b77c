//! A request and its response as they go through the balancer, and the headers that do not.
use balancer_core::Millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use std::cell::Cell;
use xxhash_rust::xxh3::xxh3_64;

/// Longest body, both ways, in bytes.
pub(crate) const MAX_BODY_LEN: usize = 64 << 10;
/// The header that states how long a response is waited for.
pub(crate) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("req-deadline");

/// Headers that belong to one connection and are not passed on.
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

/// Takes out the headers that belong to one connection; the length of a body is framed anew.
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

/// A request as it goes on to upstreams.
pub(crate) struct OutgoingRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Set when the request has ended: what has not been written for it by then must not be.
    pub has_ended: Cell<bool>,
}

/// The one final response to a request.
#[derive(Debug)]
pub(crate) enum FinalResponse {
    /// An upstream's response.
    Served {
        /// Its end-to-end headers.
        headers: HeaderMap,
        /// Its complete body.
        body: Bytes,
    },
    /// Refused: a retry does no harm.
    Refused {
        /// How long the client should stay away; zero: no advice.
        retry_after: Millis,
    },
    /// Failed, with no promise about its effect.
    Failed,
}

impl OutgoingRequest {
    /// Its id, for the log.
    pub(crate) fn id(&self) -> &str {
        self.headers
            .get("req-id")
            .and_then(|id| id.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns a hash of its key, which a client's retry has as well; without one of its id. Not of the path: requests of
    /// one path may be half of all, and what is shed by it would be all of them or none.
    pub(crate) fn tie_breaker(&self) -> u64 {
        let key = self
            .headers
            .get("idempotency-key")
            .map(HeaderValue::as_bytes)
            .filter(|key| !key.is_empty());
        xxh3_64(key.unwrap_or(self.id().as_bytes()))
    }

    /// The request, for one attempt.
    pub(crate) fn request(&self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.target.clone())
            .body(Full::new(self.body.clone()))?;
        *request.headers_mut() = self.headers.clone();
        Ok(request)
    }
}
