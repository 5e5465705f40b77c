//! Checks the expectations of an experiment against the metrics of a run.
use super::played::name_of;
use super::requests::request_metrics;
use super::traffic::{attempts, jain};
use crate::draw::Plan;
use crate::experiment::{Expect, Experiment, Metric, Millis, Part};
use crate::tally::{CompletedRequest, RequestOutcome, Tally};

/// Whether a request matches the given criteria.
fn matches(experiment: &Experiment, request: &CompletedRequest, of: &Part) -> bool {
    of.tenant
        .as_ref()
        .is_none_or(|tenant| experiment.tenants[request.tenant].name == *tenant)
        && of
            .class
            .as_ref()
            .is_none_or(|class| experiment.classes[request.class].name == *class)
        && of
            .zone
            .as_ref()
            .is_none_or(|zone| experiment.fleet.zones[request.zone] == *zone)
}

/// Returns a metric over an interval of the run.
fn value(
    experiment: &Experiment,
    plan: &Plan,
    tally: &Tally,
    expect: &Expect,
    (from, to): (Millis, Millis),
) -> f64 {
    let within = |request: &CompletedRequest| {
        (from..to).contains(&request.at) && matches(experiment, request, &expect.of)
    };
    let metrics = || request_metrics(experiment, plan, &tally.completed, within);
    let seconds = || {
        let is_within = |s: &usize| {
            (*s as f64) * 1000.0 >= from && ((s + 1) as f64) * 1000.0 <= to.min(plan.length)
        };
        (0..tally.seconds.len())
            .filter(is_within)
            .map(|s| &tally.seconds[s])
    };
    match expect.metric {
        Metric::InTime => metrics().in_time,
        Metric::Value => metrics().value,
        Metric::Refused => metrics().refused,
        Metric::Failed => metrics().failed,
        Metric::P50Ms => metrics().p50_ms,
        Metric::P99Ms => metrics().p99_ms,
        Metric::Attempts => attempts(seconds()),
        Metric::Jain => jain(experiment, seconds()),
        Metric::Goodput => {
            // Counted when the response arrives: a recovering machine also serves requests that were due earlier.
            let to = to.min(plan.length);
            let served = tally.completed.iter().filter(|request| {
                let in_deadline = request.how == RequestOutcome::Served
                    && request.took <= plan.spans[request.class].1;
                in_deadline
                    && (from..to).contains(&(request.at + request.took))
                    && matches(experiment, request, &expect.of)
            });
            let weakest = plan.capacity.iter().copied().fold(f64::INFINITY, f64::min);
            served.count() as f64 / ((to - from) / 1000.0) / weakest
        }
    }
}

/// Returns the fraction of value earned by a tenant's requests that were due in an interval.
pub fn value_of(
    experiment: &Experiment,
    plan: &Plan,
    completed: &[CompletedRequest],
    tenant: &str,
    (from, to): (Millis, Millis),
) -> f64 {
    let of = Part {
        tenant: Some(tenant.into()),
        ..Part::default()
    };
    request_metrics(experiment, plan, completed, |request| {
        (from..to).contains(&request.at) && matches(experiment, request, &of)
    })
    .value
}

/// Returns a one-line description of each expectation that a run misses.
pub fn missed(experiment: &Experiment, plan: &Plan, tally: &Tally) -> Vec<String> {
    let check = |expect: &Expect| {
        let from = expect.from.map_or(0.0, |s| s.0.mean());
        let to = expect.to.map_or(f64::INFINITY, |s| s.0.mean());
        let own = value(experiment, plan, tally, expect, (from, to));
        let (value, part) = match expect.part_of {
            Some(s) => {
                let (from, to) = (s.0.least, s.0.most);
                let reference = format!(
                    " of its value from {:.0} to {:.0} s",
                    from / 1000.0,
                    to / 1000.0
                );
                (
                    own / value(experiment, plan, tally, expect, (from, to)),
                    reference,
                )
            }
            None => (own, String::new()),
        };
        let mut name = name_of(expect.metric);
        for (what, of) in [
            ("tenant", &expect.of.tenant),
            ("class", &expect.of.class),
            ("zone", &expect.of.zone),
        ] {
            if let Some(of) = of {
                name.push_str(&format!(" of {what} {of}"));
            }
        }
        let over = match to.is_finite() {
            true => format!("{:.0} to {:.0} s", from / 1000.0, to / 1000.0),
            false => format!("{:.0} s to the end", from / 1000.0),
        };
        let low = expect
            .least
            .filter(|&least| value.is_nan() || value < least);
        let high = expect.most.filter(|&most| value.is_nan() || value > most);
        let (bound, bound_name) = match (low, high) {
            (Some(least), _) => (least, "least"),
            (None, Some(most)) => (most, "most"),
            (None, None) => return None,
        };
        Some(format!(
            "{name} from {over} is {value:.3}{part}, expected at {bound_name} {bound}"
        ))
    };
    experiment.expects.iter().filter_map(check).collect()
}
