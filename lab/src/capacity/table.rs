//! Samples and their lines as markdown. Owns no state.
use super::fit::fit;
use super::sample::Sample;
use std::collections::BTreeSet;
use std::fmt::Write;

/// All samples, a row each, and under them the line through each metric.
pub fn markdown(name: &str, samples: &[Sample]) -> String {
    let names: BTreeSet<&String> = samples
        .iter()
        .flat_map(|sample| sample.metrics.keys())
        .collect();
    let mut text = format!("| {name} |");
    for metric in &names {
        let _ = write!(text, " {metric} |");
    }
    text.push_str("\n| --- |");
    text.push_str(&" --- |".repeat(names.len()));
    for sample in samples {
        let _ = write!(text, "\n| {} |", sample.size);
        for metric in &names {
            let value = sample
                .metrics
                .get(*metric)
                .map_or("-".into(), |value| rounded(*value));
            let _ = write!(text, " {value} |");
        }
    }
    text.push_str("\n\n| figure | at 0 | slope | slope's error | residual, rms | residual, most |");
    text.push_str("\n| --- | --- | --- | --- | --- | --- |\n");
    for metric in &names {
        text.push_str(&line(metric, samples));
    }
    text
}

fn line(metric: &str, samples: &[Sample]) -> String {
    let points: Vec<(f64, f64)> = samples
        .iter()
        .filter_map(|s| Some((s.size as f64, *s.metrics.get(metric)?)))
        .collect();
    match fit(&points) {
        Ok(fit) => {
            let columns = [
                fit.intercept,
                fit.slope,
                fit.slope_error,
                fit.residual,
                fit.residual_most,
            ];
            format!("| {metric} | {} |\n", columns.map(rounded).join(" | "))
        }
        Err(error) => format!("| {metric} | {error} | | | | |\n"),
    }
}

/// Four digits that count: more than the spread of a few runs.
fn rounded(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    let digits = 3 - value.abs().log10().floor() as i32;
    let places = usize::try_from(digits).unwrap_or(0).min(9);
    let text = format!("{value:.places$}");
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').to_string()
    } else {
        text
    }
}
