//! The tables of the report and the list of violations.
use super::html::{escape, percent};
use crate::metrics::{Played, RequestMetrics, ResourceUsage};
use std::fmt::Write;

/// Maximum number of violations listed per rule.
const CASES_SHOWN: usize = 5;

/// Writes one row: a name and its metrics.
fn write_row(html: &mut String, name: &str, metrics: &RequestMetrics) {
    let _ = write!(
        html,
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.0}</td><td>{:.0}</td></tr>",
        escape(name),
        metrics.due,
        percent(metrics.value),
        percent(metrics.in_time),
        percent(metrics.late),
        percent(metrics.refused),
        percent(metrics.failed),
        metrics.p50_ms,
        metrics.p99_ms
    );
}

/// Headings of the columns after the first.
const COLUMNS: &str =
    "<th>requests</th><th>worth</th><th>in time</th><th>late</th><th>refused</th><th>failed</th>\
    <th>p50 ms</th><th>p99 ms</th></tr>";

/// Writes the table of all plays and the table of their traffic.
pub(super) fn write_summary(html: &mut String, plays: &[Played]) {
    let _ = write!(html, "<table><tr><th>program, play</th>{COLUMNS}");
    for play in plays {
        write_row(
            html,
            &format!("{}, {}", play.program, play.play + 1),
            &play.metrics,
        );
    }
    html.push_str(
        "</table><table><tr><th>per request</th><th>attempts</th><th>crossings</th><th>connections</th>\
        <th>declined</th><th>tries</th><th>work wasted</th><th>added p50</th><th>added p99</th><th>lab late p99</th></tr>",
    );
    for play in plays {
        let traffic = &play.traffic;
        let _ = write!(
            html,
            "<tr><td>{}, {}</td><td>{:.2}</td><td>{:.2}</td><td>{:.3}</td><td>{:.3}</td><td>{:.2}</td><td>{}</td><td>{:.2} ms</td><td>{:.2} ms</td><td>{:.1} ms</td></tr>",
            escape(&play.program),
            play.play + 1,
            traffic.attempts,
            traffic.crossings,
            traffic.connections,
            traffic.declined,
            play.metrics.client_attempts,
            percent(traffic.wasted), play.metrics.added_p50_ms, play.metrics.added_p99_ms, play.lateness.p99_ms
        );
    }
    html.push_str("</table>");
}

/// Writes the violations and missed expectations of each failed play.
pub(super) fn write_verdicts(html: &mut String, plays: &[Played]) {
    for play in plays.iter().filter(|play| !play.passed()) {
        let _ = write!(
            html,
            "<h2>{}, play {}</h2><ul>",
            escape(&play.program),
            play.play + 1
        );
        if play.stopped {
            html.push_str("<li>Stopped manually before its end.</li>");
        }
        if !play.lateness.counts {
            let _ = write!(
                html,
                "<li>Not valid: {} of the lab's own sends and timers were late.</li>",
                percent(play.lateness.over)
            );
        }
        for missed in &play.missed {
            let _ = write!(html, "<li>{}</li>", escape(missed));
        }
        write_violations(html, play);
        html.push_str("</ul>");
    }
}

/// Writes the rules that a play violated, with the first violations of each.
fn write_violations(html: &mut String, play: &Played) {
    for (rule, count) in &play.counts {
        let cases: Vec<_> = play
            .broken
            .iter()
            .filter(|case| case.rule == *rule)
            .collect();
        let asks = cases.first().map_or("", |case| case.asks.as_str());
        let _ = write!(
            html,
            "<li><b>{}</b> ({}): violated {count} times.<ul>",
            escape(rule),
            escape(asks)
        );
        for case in cases.iter().take(CASES_SHOWN) {
            let _ = write!(
                html,
                "<li>{:.2} s: {}</li>",
                case.at / 1000.0,
                escape(&case.case)
            );
        }
        html.push_str("</ul></li>");
    }
}

/// Writes the metrics of one program by class, tenant and zone.
pub(super) fn write_details(html: &mut String, play: &Played) {
    let _ = write!(
        html,
        "<h2>{}</h2><p><code>{}</code></p><table><tr><th>part</th>{COLUMNS}",
        escape(&play.program),
        escape(&play.command)
    );
    for (name, metrics) in &play.by {
        write_row(html, name, metrics);
    }
    let max = |of: fn(&ResourceUsage) -> f64| play.usage.iter().map(of).fold(0.0, f64::max);
    let _ = write!(
        html,
        "</table><p>{} requests and calls were checked to their end. Keyed requests that took effect more than once: \
         {}. Peak usage of a balancer: {:.1} MB, {:.0} file descriptors, {:.2} s of CPU time; all balancers together used \
         {:.1} s.</p>",
        play.checked,
        play.effects_twice,
        max(|u| u.memory_kb as f64 / 1024.0),
        max(|u| u.descriptors as f64),
        max(|u| u.cpu_s),
        play.usage.iter().map(|u| u.cpu_s).sum::<f64>()
    );
}
