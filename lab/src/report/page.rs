//! The report page and the order of its sections.
use super::html::escape;
use super::plot::{FaultSpan, PlotError};
use super::plots::write_plots;
use super::tables::{write_details, write_summary, write_verdicts};
use crate::draw::Plan;
use crate::experiment::Experiment;
use crate::metrics::Played;
use std::fmt::Write;

const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}\
    table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .7em;border-bottom:1px solid #ddd;text-align:right}\
    td:first-child,th:first-child{text-align:left}.good{background:#e5f5e5;padding:.6em}.bad{background:#fbe3e3;padding:.6em}\
    code{font-size:90%}figure{margin:1.2em 0}";

/// Renders the report of all plays of an experiment.
///
/// # Errors
/// Returns an error if a plot cannot be drawn.
pub fn page(experiment: &Experiment, plan: &Plan, plays: &[Played]) -> Result<String, PlotError> {
    let mut html = String::new();
    write_head(&mut html, experiment, plays);
    write_fleet(&mut html, experiment, plan);
    write_summary(&mut html, plays);
    write_verdicts(&mut html, plays);
    let faults = faults(plays);
    write_faults(&mut html, &faults);
    // The plots show the first play of each program; the table above has all plays.
    let shown: Vec<&Played> = plays.iter().filter(|play| play.play == 0).collect();
    write_plots(&mut html, experiment, plan, &shown, &faults)?;
    for play in &shown {
        write_details(&mut html, play);
    }
    html.push_str("</body></html>\n");
    Ok(html)
}

fn write_head(html: &mut String, experiment: &Experiment, plays: &[Played]) {
    let (class, verdict) = if plays.iter().all(Played::passed) {
        (
            "good",
            "Passed: no rule was violated and all expectations were met.",
        )
    } else {
        (
            "bad",
            "Failed: see the violations and missed expectations below.",
        )
    };
    let title = escape(&experiment.title);
    let _ = write!(
        html,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style><body>\
         <h1>{title}</h1><p class=\"{class}\">{verdict}</p>"
    );
}

fn write_fleet(html: &mut String, experiment: &Experiment, plan: &Plan) {
    let is_inner = |balancer: &&crate::draw::Balancer| balancer.owner.is_some();
    let inner = plan.balancers.iter().filter(is_inner).count();
    let _ = write!(
        html,
        "<p>Seed {}: {} front balancers, {} balancers co-located with upstreams; {} upstreams in {} \
         tiers and {} zones; {} requests in {:.0} s.</p>",
        plan.seed,
        plan.balancers.len() - inner,
        inner,
        plan.upstreams.len(),
        experiment.tiers.len(),
        experiment.fleet.zones.len(),
        plan.arrivals.len(),
        plan.length / 1000.0
    );
}

/// Returns the faults of the first play; plays with the same plan have the same faults.
fn faults(plays: &[Played]) -> Vec<FaultSpan> {
    let Some(first) = plays.first() else {
        return Vec::new();
    };
    let in_seconds = |(from, to, kind): &(f64, f64, String)| FaultSpan {
        from: from / 1000.0,
        to: to / 1000.0,
        kind: kind.clone(),
    };
    first.faults.iter().map(in_seconds).collect()
}

fn write_faults(html: &mut String, faults: &[FaultSpan]) {
    if faults.is_empty() {
        return;
    }
    let line = |fault: &FaultSpan| {
        format!(
            "{} from {:.1} to {:.1} s",
            escape(&fault.kind),
            fault.from,
            fault.to
        )
    };
    let lines: Vec<String> = faults.iter().map(line).collect();
    let _ = write!(
        html,
        "<p>Faults, shaded in the plots: {}.</p>",
        lines.join("; ")
    );
}
