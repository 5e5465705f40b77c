//! Parses the load report in a response from an upstream. Owns no state.
use hyper::header::{HeaderMap, HeaderName};

/// The header that carries a load report.
const LOAD_HEADER: HeaderName = HeaderName::from_static("srv-load");
/// The field for the number of requests in flight at the upstream.
pub(super) const IN_FLIGHT_FIELD: &str = "inflight";
/// The field for the rate of requests per second that the upstream serves.
pub(super) const SERVED_PER_S_FIELD: &str = "qps";

/// Returns a field of a response's load report, or `None` if it is missing or invalid.
pub(super) fn reported(headers: &HeaderMap, name: &str) -> Option<f64> {
    let report = headers.get(LOAD_HEADER)?.to_str().ok()?.trim();
    let mut fields = report
        .strip_prefix("TEXT ")?
        .split(',')
        .filter_map(|field| field.split_once('='));
    let (_, value) = fields.find(|(field, _)| field.trim() == name)?;
    value
        .trim()
        .parse()
        .ok()
        .filter(|value| (0.0..1e9).contains(value))
}
