//! The plots of the report and the values that each shows.
use super::plot::{FaultSpan, Line, Plot, PlotError};
use crate::clock::histogram;
use crate::draw::Plan;
use crate::experiment::Experiment;
use crate::metrics::{request_metrics, Played, RequestMetrics};
use crate::tally::{CompletedRequest, RequestOutcome, SecondCounts};

/// A plot of a metric over the requests due in each second.
struct MetricPlot {
    title: &'static str,
    unit: &'static str,
    /// Upper end of the vertical axis, for metrics with a fixed maximum.
    top: Option<f64>,
    value: fn(&RequestMetrics) -> f64,
}

const METRIC_PLOTS: [MetricPlot; 5] = [
    MetricPlot {
        title: "Value earned, as a fraction of value requested",
        unit: "part",
        top: Some(1.0),
        value: |metrics| metrics.value,
    },
    MetricPlot {
        title: "Served within the latency target",
        unit: "part",
        top: Some(1.0),
        value: |metrics| metrics.in_time,
    },
    MetricPlot {
        title: "Refused",
        unit: "part",
        top: Some(1.0),
        value: |metrics| metrics.refused,
    },
    MetricPlot {
        title: "Failed or without a response",
        unit: "part",
        top: Some(1.0),
        value: |metrics| metrics.failed,
    },
    MetricPlot {
        title: "Response time, 99th percentile",
        unit: "ms",
        top: None,
        value: |metrics| metrics.p99_ms,
    },
];

/// A plot of a count per second.
struct CountPlot {
    title: &'static str,
    value: fn(&SecondCounts) -> f64,
}

const COUNT_PLOTS: [CountPlot; 3] = [
    CountPlot {
        title: "Attempts across zones",
        value: |second| second.cross_zone_attempts as f64,
    },
    CountPlot {
        title: "New connections to upstreams",
        value: |second| second.connections as f64,
    },
    CountPlot {
        title: "Upstreams slowed down by overload",
        value: |second| second.degraded_upstreams as f64,
    },
];

/// Writes all plots of the plays.
pub(super) fn write_plots(
    html: &mut String,
    experiment: &Experiment,
    plan: &Plan,
    plays: &[&Played],
    faults: &[FaultSpan],
) -> Result<(), PlotError> {
    let plots = Plots {
        experiment,
        plan,
        plays,
        faults,
    };
    for metric in &METRIC_PLOTS {
        html.push_str(&plots.metric(metric)?);
    }
    html.push_str(&plots.percentiles()?);
    for play in plays {
        html.push_str(&plots.zones(play)?);
    }
    for count in &COUNT_PLOTS {
        html.push_str(&plots.count(count)?);
    }
    Ok(())
}

/// The data from which plots are drawn.
struct Plots<'a> {
    experiment: &'a Experiment,
    plan: &'a Plan,
    plays: &'a [&'a Played],
    faults: &'a [FaultSpan],
}

impl Plots<'_> {
    fn metric(&self, metric: &MetricPlot) -> Result<String, PlotError> {
        let line = |play: &&Played| Line {
            name: play.program.clone(),
            points: self.metric_by_second(play, metric.value),
        };
        let lines: Vec<Line> = self.plays.iter().map(line).collect();
        Plot {
            title: metric.title,
            x_label: "second",
            y_label: metric.unit,
            top: metric.top,
            lines: &lines,
            faults: self.faults,
        }
        .to_html()
    }

    fn percentiles(&self) -> Result<String, PlotError> {
        let lines: Vec<Line> = self.plays.iter().map(|play| percentiles(play)).collect();
        Plot {
            title: "Response time by percentile",
            x_label: "percentile",
            y_label: "ms",
            top: None,
            lines: &lines,
            faults: &[],
        }
        .to_html()
    }

    /// Plots the attempts at the upstreams of each zone, for one program.
    fn zones(&self, play: &Played) -> Result<String, PlotError> {
        let zones = self.experiment.fleet.zones.iter().enumerate();
        let line = |(zone, name): (usize, &String)| Line {
            name: name.clone(),
            points: self.count_by_second(play, |second| second.attempts[zone] as f64),
        };
        let lines: Vec<Line> = zones.map(line).collect();
        let title = format!(
            "Attempts per second at the upstreams of each zone: {}",
            play.program
        );
        Plot {
            title: &title,
            x_label: "second",
            y_label: "per second",
            top: None,
            lines: &lines,
            faults: self.faults,
        }
        .to_html()
    }

    fn count(&self, count: &CountPlot) -> Result<String, PlotError> {
        let line = |play: &&Played| Line {
            name: play.program.clone(),
            points: self.count_by_second(play, count.value),
        };
        let lines: Vec<Line> = self.plays.iter().map(line).collect();
        Plot {
            title: count.title,
            x_label: "second",
            y_label: "",
            top: None,
            lines: &lines,
            faults: self.faults,
        }
        .to_html()
    }

    /// Returns the points of a count. The last, incomplete second is left out.
    fn count_by_second(
        &self,
        play: &Played,
        value: impl Fn(&SecondCounts) -> f64,
    ) -> Vec<(f64, f64)> {
        let full_seconds = (self.plan.length / 1000.0) as u32;
        (0..full_seconds)
            .zip(&play.tally.seconds)
            .map(|(number, second)| (f64::from(number), value(second)))
            .collect()
    }

    /// Returns the points of a metric over the requests due in each second.
    fn metric_by_second(
        &self,
        play: &Played,
        value: fn(&RequestMetrics) -> f64,
    ) -> Vec<(f64, f64)> {
        let seconds = (self.plan.length / 1000.0).ceil() as usize;
        let mut by_second: Vec<Vec<CompletedRequest>> = vec![Vec::new(); seconds];
        for completed in &play.tally.completed {
            if let Some(second) = by_second.get_mut((completed.at / 1000.0) as usize) {
                second.push(completed.clone());
            }
        }
        let metrics = |completed: &[CompletedRequest]| {
            request_metrics(self.experiment, self.plan, completed, |_| true)
        };
        // Fractions are undefined for a second without due requests.
        by_second
            .iter()
            .enumerate()
            .filter(|(_, completed)| !completed.is_empty())
            .map(|(number, completed)| (number as f64, value(&metrics(completed))))
            .collect()
    }
}

/// Returns the response time of served requests by percentile, in steps of 0.5.
fn percentiles(play: &Played) -> Line {
    let mut times = histogram();
    let served = |completed: &&CompletedRequest| completed.how == RequestOutcome::Served;
    for completed in play.tally.completed.iter().filter(served) {
        times.saturating_record((completed.took * 1000.0) as u64);
    }
    let at = |percentile: f64| {
        let micros = times.value_at_quantile(percentile / 100.0);
        (percentile, micros as f64 / 1000.0)
    };
    Line {
        name: play.program.clone(),
        points: (1..=199).map(|half| at(f64::from(half) / 2.0)).collect(),
    }
}
