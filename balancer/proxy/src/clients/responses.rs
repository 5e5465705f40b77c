//! Builds the HTTP responses for clients. Owns no state.
use crate::message::FinalResponse;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// Returns a response without a body.
pub(super) fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Returns a response that states in one line why a request is rejected.
pub(super) fn rejection(status: StatusCode, reason: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{reason}\n"))));
    *response.status_mut() = status;
    response
}

/// Converts a final response to HTTP.
pub(super) fn to_http(response: FinalResponse) -> Response<Full<Bytes>> {
    match response {
        FinalResponse::Served { headers, body } => {
            let mut response = Response::new(Full::new(body));
            *response.headers_mut() = headers;
            response
        }
        FinalResponse::Refused { retry_after } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
            if retry_after > 0.0 {
                // Cannot fail: the value consists of digits and a decimal point.
                if let Ok(after) = HeaderValue::try_from(format!("{:.3}", retry_after / 1000.0)) {
                    response.headers_mut().insert(header::RETRY_AFTER, after);
                }
            }
            response
        }
        FinalResponse::Failed => plain(StatusCode::BAD_GATEWAY),
    }
}
