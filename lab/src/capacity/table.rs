//! Formats samples and fitted lines as Markdown. Owns no state.
use super::fit::fit;
use super::sample::Sample;
use std::collections::BTreeSet;
use std::fmt::Write;

/// Returns a table with a row per sample, followed by a table with the fitted line of each metric.
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
                .map_or("-".into(), |value| round(*value));
            let _ = write!(text, " {value} |");
        }
    }
    text.push_str("\n\n| figure | at 0 | slope | slope's error | residual, rms | residual, most |");
    text.push_str("\n| --- | --- | --- | --- | --- | --- |\n");
    for metric in &names {
        text.push_str(&fit_row(metric, samples));
    }
    text
}

fn fit_row(metric: &str, samples: &[Sample]) -> String {
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
                fit.max_residual,
            ];
            format!("| {metric} | {} |\n", columns.map(round).join(" | "))
        }
        Err(error) => format!("| {metric} | {error} | | | | |\n"),
    }
}

/// Rounds to four significant digits, which is more precise than the spread of a few runs.
fn round(value: f64) -> String {
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
