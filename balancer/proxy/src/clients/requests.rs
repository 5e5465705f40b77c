//! Receives complete requests, classifies them and forwards them to the driver. Owns the class and tenant settings.
use super::responses::rejection;
use crate::connection_counts::CountedConnection;
use crate::driver::{Handle, PendingResponse, ReceivedRequest};
use crate::message::{retain_end_to_end, OutgoingRequest, DEADLINE_HEADER, MAX_BODY_LEN};
use balancer_core::{Effect, Millis};
use balancer_settings::Deployment;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::cell::Cell;
use tokio::time::{timeout_at, Instant};

/// Maximum length of a request id, in bytes.
const MAX_REQUEST_ID_LEN: usize = 256;
/// Maximum client timeout, in milliseconds: one day.
const MAX_TIMEOUT: Millis = 86_400_000.0;

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    #[error("Req-Id is missing")]
    NoId,
    #[error("Req-Id is bad")]
    InvalidId,
    #[error("Req-Kind is missing")]
    NoClass,
    #[error("Req-Kind is unknown")]
    UnknownClass,
    #[error("Req-Owner is missing")]
    NoTenant,
    #[error("Req-Owner is unknown")]
    UnknownTenant,
    #[error("Req-Deadline is missing")]
    NoTimeout,
    #[error("Req-Deadline is bad")]
    InvalidTimeout,
    #[error("the method or Idempotency-Key does not fit the class")]
    ClassMismatch,
    #[error("a GET has no body")]
    GetWithBody,
    #[error("the body is too large")]
    BodyTooLarge,
    #[error("the body is broken")]
    BodyReadFailed,
    #[error("the body did not come")]
    BodyTimedOut,
}

impl RequestError {
    /// Returns the response that reports the error.
    pub(super) fn response(self) -> Response<Full<Bytes>> {
        let status = match self {
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        };
        rejection(status, &self.to_string())
    }
}

/// The class, tenant and timeout stated in a request head.
struct Classification {
    class: usize,
    tenant: usize,
    timeout: Millis,
}

/// Receives requests for the driver.
pub(super) struct Requests {
    /// Forwards the requests.
    pub driver: Handle,
    /// The class and tenant settings.
    pub deployment: Deployment,
}

impl Requests {
    /// Receives a complete request, whose body must be complete by `body_deadline`.
    ///
    /// # Errors
    /// Fails if the request is rejected.
    pub(super) async fn receive(
        &self,
        request: Request<Incoming>,
        body_deadline: Instant,
        connection: &CountedConnection,
    ) -> Result<ReceivedRequest, RequestError> {
        let (head, body) = request.into_parts();
        let classification = self.classify(&head.method, &head.headers)?;
        connection.assign_to(classification.tenant);
        if head.method == Method::GET && !body.is_end_stream() {
            return Err(RequestError::GetWithBody);
        }
        let body = receive_body(body, body_deadline).await?;
        let mut headers = head.headers;
        retain_end_to_end(&mut headers);
        headers.remove(&DEADLINE_HEADER);
        let target = head
            .uri
            .path_and_query()
            .map(|path| Uri::from(path.clone()))
            .unwrap_or_default();
        Ok(ReceivedRequest {
            class: classification.class,
            tenant: classification.tenant,
            timeout: classification.timeout,
            outgoing: OutgoingRequest {
                method: head.method,
                target,
                headers,
                body,
                has_ended: Cell::new(false),
            },
        })
    }

    /// Forwards a request to the driver, which then gives it exactly one final response. Returns `None` if too many
    /// requests are open.
    pub(super) fn forward(&self, request: ReceivedRequest) -> Option<PendingResponse> {
        self.driver.handle_request(request)
    }

    fn classify(
        &self,
        method: &Method,
        headers: &HeaderMap,
    ) -> Result<Classification, RequestError> {
        let deployment = &self.deployment;
        let id = single(headers, "req-id").ok_or(RequestError::NoId)?;
        if id.is_empty() || id.len() > MAX_REQUEST_ID_LEN {
            return Err(RequestError::InvalidId);
        }
        let kind = single(headers, "req-kind").ok_or(RequestError::NoClass)?;
        let class = position(&deployment.classes, kind).ok_or(RequestError::UnknownClass)?;
        let tenant = if deployment.tenants.is_empty() {
            0
        } else {
            let owner = single(headers, "req-owner").ok_or(RequestError::NoTenant)?;
            position(&deployment.tenants, owner).ok_or(RequestError::UnknownTenant)?
        };
        let timeout = single(headers, "req-deadline").ok_or(RequestError::NoTimeout)?;
        let timeout = parse_duration(timeout).ok_or(RequestError::InvalidTimeout)?;
        let effect = &deployment.policy.classes[class].effect;
        let has_key = single(headers, "idempotency-key").is_some_and(|key| !key.is_empty());
        let fits = match effect {
            Effect::Free => method == Method::GET,
            Effect::Guarded { .. } => method == Method::POST && has_key,
            Effect::SingleShot => {
                method == Method::POST && !headers.contains_key("idempotency-key")
            }
        };
        if !fits {
            return Err(RequestError::ClassMismatch);
        }
        Ok(Classification {
            class,
            tenant,
            timeout,
        })
    }
}

/// Returns the value of a header that occurs exactly once.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?.to_str().ok()?;
    values.next().is_none().then_some(value)
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|listed| listed == name)
}

async fn receive_body(body: Incoming, deadline: Instant) -> Result<Bytes, RequestError> {
    if body.size_hint().lower() > MAX_BODY_LEN as u64 {
        return Err(RequestError::BodyTooLarge);
    }
    match timeout_at(deadline, Limited::new(body, MAX_BODY_LEN).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RequestError::BodyTooLarge),
        Ok(Err(_)) => Err(RequestError::BodyReadFailed),
        Err(_) => Err(RequestError::BodyTimedOut),
    }
}

/// Parses a client timeout: a number followed by `m` for milliseconds or `u` for microseconds.
fn parse_duration(text: &str) -> Option<Millis> {
    let text = text.trim();
    let (number, unit) = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(number), _) => (number, 1.0),
        (_, Some(number)) => (number, 0.001),
        _ => return None,
    };
    let is_plain = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let value = is_plain.then(|| number.parse::<f64>().ok())?? * unit;
    (0.0..=MAX_TIMEOUT).contains(&value).then_some(value)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_only_durations_with_a_number_and_a_unit() {
        assert_eq!(parse_duration("480m"), Some(480.0));
        assert_eq!(parse_duration("1500u"), Some(1.5));
        for bad in [
            "",
            "m",
            "480",
            "-3m",
            "1e9m",
            "NaNm",
            "infm",
            "4 m",
            "99999999999m",
        ] {
            assert_eq!(parse_duration(bad), None, "{bad}");
        }
    }
}
