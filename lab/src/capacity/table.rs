//! Samples and their lines as markdown. Owns no state.
use super::fit::fit;
use super::sample::Sample;
use std::collections::BTreeSet;
use std::fmt::Write;

/// All samples, a row each, and under them the line through each figure.
pub fn markdown(name: &str, samples: &[Sample]) -> String {
    let names: BTreeSet<&String> = samples
        .iter()
        .flat_map(|sample| sample.figures.keys())
        .collect();
    let mut text = format!("| {name} |");
    for figure in &names {
        let _ = write!(text, " {figure} |");
    }
    text.push_str("\n| --- |");
    text.push_str(&" --- |".repeat(names.len()));
    for sample in samples {
        let _ = write!(text, "\n| {} |", sample.size);
        for figure in &names {
            let value = sample
                .figures
                .get(*figure)
                .map_or("-".into(), |value| rounded(*value));
            let _ = write!(text, " {value} |");
        }
    }
    text.push_str("\n\n| figure | at 0 | slope | slope's error | residual, rms | residual, most |");
    text.push_str("\n| --- | --- | --- | --- | --- | --- |\n");
    for figure in &names {
        text.push_str(&line(figure, samples));
    }
    text
}

fn line(figure: &str, samples: &[Sample]) -> String {
    let points: Vec<(f64, f64)> = samples
        .iter()
        .filter_map(|s| Some((s.size as f64, *s.figures.get(figure)?)))
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
            format!("| {figure} | {} |\n", columns.map(rounded).join(" | "))
        }
        Err(error) => format!("| {figure} | {error} | | | | |\n"),
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
