//! Comparison of programs.
use crate::metrics::{mean_and_spread, Played, Recovery, Tier};
use std::fmt::Write;

/// A compared metric: its name and how to read it.
type Column = (&'static str, fn(&Played) -> f64);

const COMPARED: [Column; 25] = [
    ("worth", |p| p.metrics.value),
    ("in time", |p| p.metrics.in_time),
    ("late", |p| p.metrics.late),
    ("refused", |p| p.metrics.refused),
    ("failed", |p| p.metrics.failed),
    ("p50 ms", |p| p.metrics.p50_ms),
    ("p99 ms", |p| p.metrics.p99_ms),
    ("added p50 ms", |p| p.metrics.added_p50_ms),
    ("added p99 ms", |p| p.metrics.added_p99_ms),
    ("busiest CPU s", |p| {
        p.usage.iter().map(|h| h.cpu_s).fold(0.0, f64::max)
    }),
    ("attempts/first", |p| p.traffic.attempts_a_first),
    ("datagrams/s", |p| p.datagrams.a_second),
    ("  bytes/s", |p| p.datagrams.bytes_a_second),
    ("all know, p50", |p| of_tier(p, |t| t.members.p50_ms)),
    ("          p99", |p| of_tier(p, |t| t.members.p99_ms)),
    ("sums have all", |p| of_tier(p, |t| t.sums.p99_ms)),
    ("suspected", |p| of_tier(p, |t| t.suspected as f64)),
    ("version steps", |p| of_tier(p, |t| t.steps as f64)),
    ("crossings", |p| p.traffic.crossings),
    ("connections", |p| p.traffic.connections),
    ("work wasted", |p| p.traffic.wasted),
    ("exec to served", |p| of_recovery(p, |c| c.served_ms)),
    ("  longest, ms", |p| of_recovery(p, |c| c.served_most_ms)),
    ("worth, 15 s on", |p| {
        of_recovery(p, |c| Some(c.value_after))
    }),
    ("back after ms", |p| of_recovery(p, |c| c.back_ms)),
];

/// A function that reads a metric determined at run time.
type Value = Box<dyn Fn(&Played) -> f64>;

/// Metrics whose differences are shown for each play.
const SHOWN: [Column; 5] = [
    ("worth", |p| p.metrics.value),
    ("refused", |p| p.metrics.refused),
    ("failed", |p| p.metrics.failed),
    ("p99 ms", |p| p.metrics.p99_ms),
    ("attempts/first", |p| p.traffic.attempts_a_first),
];

/// Returns a metric reported by balancers about their tier; NaN if they exchange no datagrams.
fn of_tier(play: &Played, of: fn(&Tier) -> f64) -> f64 {
    play.tier.as_ref().map_or(f64::NAN, of)
}

/// Returns a recovery metric; NaN if no fault stopped balancers or the fleet did not recover.
fn of_recovery(play: &Played, of: fn(&Recovery) -> Option<f64>) -> f64 {
    play.recovery.as_ref().and_then(of).unwrap_or(f64::NAN)
}

/// Compares each program with the first: mean of the differences between paired plays, and half their range.
pub fn compare(plays: &[Played]) -> String {
    // Plays that were stopped early are not comparable.
    let plays: Vec<&Played> = plays.iter().filter(|p| !p.stopped).collect();
    let mut names: Vec<&str> = Vec::new();
    for p in &plays {
        if !names.contains(&p.program.as_str()) {
            names.push(&p.program);
        }
    }
    let Some((first, others)) = names.split_first() else {
        return "no plays to compare\n".into();
    };
    let of = |name: &str| {
        plays
            .iter()
            .copied()
            .filter(|p| p.program == name)
            .collect::<Vec<_>>()
    };
    let base = of(first);
    let mut text = format!("{:<14} {:>22}", "figure", first);
    for name in others {
        let _ = write!(text, " {name:>22} {:>22}", "difference");
    }
    text.push('\n');
    for (metric, value) in rows(&plays) {
        if plays.iter().all(|p| value(p).is_nan()) {
            continue;
        }
        let all = |of: &[&Played]| show(of.iter().map(|p| value(p)).collect(), Sign::Implied);
        let _ = write!(text, "{metric:<14} {:>22}", all(&base));
        for name in others {
            let other = of(name);
            let differences: Vec<f64> = pairs(&base, &other)
                .map(|(base_play, other_play)| value(other_play) - value(base_play))
                .collect();
            let _ = write!(
                text,
                " {:>22} {:>22}",
                all(&other),
                show(differences, Sign::Shown)
            );
        }
        text.push('\n');
    }
    if base.len() < 2 {
        text.push_str(
            "Only one play per program: the spread is unknown. Use --plays 3 to play each program three times.\n",
        );
        return text;
    }
    for name in others {
        write_play_differences(&mut text, first, &base, name, &of(name));
    }
    text
}

/// Returns the rows of the table: every compared metric and the value of each tenant.
fn rows(plays: &[&Played]) -> Vec<(String, Value)> {
    let mut rows: Vec<(String, Value)> = Vec::new();
    for (metric, value) in COMPARED {
        rows.push((metric.into(), Box::new(value)));
    }
    let parts = plays
        .first()
        .map(|p| p.by.keys().cloned().collect::<Vec<_>>())
        .unwrap_or_default();
    for part in parts.into_iter().filter(|p| p.starts_with("tenant ")) {
        let tenant = part.clone();
        rows.push((
            part,
            Box::new(move |p| p.by.get(&tenant).map_or(f64::NAN, |f| f.value)),
        ));
    }
    rows
}

/// Whether a positive number is shown with a plus sign.
#[derive(Clone, Copy)]
enum Sign {
    Shown,
    Implied,
}

/// Formats mean and spread of the finite values, or a dash if there are none.
fn show(values: Vec<f64>, sign: Sign) -> String {
    let known: Vec<f64> = values.into_iter().filter(|v| v.is_finite()).collect();
    if known.is_empty() {
        return "-".to_string();
    }
    let (mean, spread) = mean_and_spread(&known);
    match sign {
        Sign::Shown => format!("{mean:+.3} +- {spread:.3}"),
        Sign::Implied => format!("{mean:.3} +- {spread:.3}"),
    }
}

/// Returns the pairs of plays of two programs with the same plan.
fn pairs<'a>(
    base: &'a [&Played],
    other: &'a [&Played],
) -> impl Iterator<Item = (&'a Played, &'a Played)> {
    base.iter().filter_map(|base_play| {
        Some((
            *base_play,
            *other
                .iter()
                .find(|other_play| other_play.play == base_play.play)?,
        ))
    })
}

/// Writes the differences of each pair of plays, and how many are positive and negative.
fn write_play_differences(
    text: &mut String,
    first: &str,
    base: &[&Played],
    name: &str,
    other: &[&Played],
) {
    let _ = write!(
        text,
        "\n{name} minus {first}, for each play\n{:<14} {:>12}",
        "play", "seed"
    );
    SHOWN
        .iter()
        .for_each(|(metric, _)| _ = write!(text, " {metric:>15}"));
    text.push('\n');
    let mut signs = [(0, 0); SHOWN.len()];
    for (base_play, other_play) in pairs(base, other) {
        let _ = write!(text, "{:<14} {:>12}", base_play.play + 1, base_play.seed);
        for ((_, value), (up, down)) in SHOWN.iter().zip(&mut signs) {
            let difference = value(other_play) - value(base_play);
            *up += usize::from(difference > 0.0);
            *down += usize::from(difference < 0.0);
            let _ = write!(text, " {difference:>+15.3}");
        }
        text.push('\n');
    }
    let _ = write!(text, "{:<14} {:>12}", "up, down", "");
    signs
        .iter()
        .for_each(|(up, down)| _ = write!(text, " {:>15}", format!("{up}, {down}")));
    text.push('\n');
}
