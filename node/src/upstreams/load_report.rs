//! The load that an answer reports. Holds no state.
use hyper::header::{HeaderMap, HeaderName};

/// The header that carries a load report.
const LOAD: HeaderName = HeaderName::from_static("srv-load");
/// The field for the requests that the upstream holds.
pub const HELD: &str = "inflight";
/// The field for the requests a second that it serves.
pub const SERVED: &str = "qps";

/// A figure of an answer's load report. What cannot be read is no report.
pub fn reported(headers: &HeaderMap, name: &str) -> Option<f64> {
    let report = headers.get(LOAD)?.to_str().ok()?.trim();
    let fields = report.strip_prefix("TEXT ")?.split(',').filter_map(|field| field.split_once('='));
    let (_, figure) = fields.into_iter().find(|(field, _)| field.trim() == name)?;
    figure.trim().parse().ok().filter(|figure| (0.0..1e9).contains(figure))
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::header::HeaderValue;

    #[test]
    fn load_reports_are_read_and_what_cannot_be_read_is_no_report() {
        let report = |report: &'static str| HeaderMap::from_iter([(LOAD, HeaderValue::from_static(report))]);
        let held = |text| reported(&report(text), HELD);
        assert_eq!(held("TEXT latency_ms=31.5, qps=40, inflight=7"), Some(7.0));
        assert_eq!(held(" TEXT inflight = 2.5"), Some(2.5));
        assert_eq!(reported(&report("TEXT latency_ms=31.5, qps=40, inflight=7"), SERVED), Some(40.0));
        for bad in [
            "",
            "TEXT",
            "inflight=7",
            "TEXT queue=2",
            "TEXT inflight=",
            "TEXT inflight=-1",
            "TEXT inflight=NaN",
        ] {
            assert_eq!(held(bad), None, "{bad}");
        }
    }
}
