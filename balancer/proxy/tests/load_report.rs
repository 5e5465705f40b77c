//! Parsing of the load reports in responses.
#[path = "../src/upstreams/load_report.rs"]
mod load_report;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use load_report::{reported, IN_FLIGHT_FIELD, SERVED_PER_S_FIELD};

#[test]
fn load_reports_are_parsed_and_invalid_ones_ignored() {
    let report = |report: &'static str| {
        HeaderMap::from_iter([(
            HeaderName::from_static("srv-load"),
            HeaderValue::from_static(report),
        )])
    };
    let in_flight = |text| reported(&report(text), IN_FLIGHT_FIELD);
    assert_eq!(
        in_flight("TEXT latency_ms=31.5, qps=40, inflight=7"),
        Some(7.0)
    );
    assert_eq!(in_flight(" TEXT inflight = 2.5"), Some(2.5));
    assert_eq!(
        reported(
            &report("TEXT latency_ms=31.5, qps=40, inflight=7"),
            SERVED_PER_S_FIELD
        ),
        Some(40.0)
    );
    for bad in [
        "",
        "TEXT",
        "inflight=7",
        "TEXT queue=2",
        "TEXT inflight=",
        "TEXT inflight=-1",
        "TEXT inflight=NaN",
    ] {
        assert_eq!(in_flight(bad), None, "{bad}");
    }
}
