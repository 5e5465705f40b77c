//! The load that an answer reports. Holds no state.
use hyper::header::{HeaderMap, HeaderName};

/// The header that carries a load report.
const LOAD: HeaderName = HeaderName::from_static("srv-load");
/// The field for the requests that the upstream holds.
pub(super) const HELD: &str = "inflight";
/// The field for the requests a second that it serves.
pub(super) const SERVED: &str = "qps";

/// A figure of an answer's load report. What cannot be read is no report.
pub(super) fn reported(headers: &HeaderMap, name: &str) -> Option<f64> {
    let report = headers.get(LOAD)?.to_str().ok()?.trim();
    let fields = report
        .strip_prefix("TEXT ")?
        .split(',')
        .filter_map(|field| field.split_once('='));
    let (_, figure) = fields.into_iter().find(|(field, _)| field.trim() == name)?;
    figure
        .trim()
        .parse()
        .ok()
        .filter(|figure| (0.0..1e9).contains(figure))
}
