//! The requests that the balancer forwards.
#[allow(dead_code)]
#[path = "../src/message.rs"]
mod message;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Uri};
use message::OutgoingRequest;
use std::cell::Cell;

#[test]
fn attempts_share_a_tie_breaker_by_key_alone() {
    let tie_breaker = |key: Option<&'static str>, id: &'static str| {
        let named = [("req-id", Some(id)), ("idempotency-key", key)].into_iter();
        let headers = named.filter_map(|(name, value)| {
            Some((
                HeaderName::from_static(name),
                HeaderValue::from_static(value?),
            ))
        });
        let (method, target) = (Method::POST, Uri::from_static("/api/same"));
        let (headers, body, has_ended) = (headers.collect(), Bytes::new(), Cell::new(false));
        OutgoingRequest {
            method,
            target,
            headers,
            body,
            has_ended,
        }
        .tie_breaker()
    };
    assert_eq!(tie_breaker(Some("k1"), "1"), tie_breaker(Some("k1"), "2"));
    assert_ne!(tie_breaker(Some("k1"), "1"), tie_breaker(Some("k2"), "1"));
    assert_ne!(tie_breaker(None, "1"), tie_breaker(None, "2"));
    assert_eq!(tie_breaker(Some(""), "1"), tie_breaker(None, "1"));
}
