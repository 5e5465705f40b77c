//! Text summary of all plays.
use crate::convergence::ConvergenceTimes;
use crate::metrics::Played;
use std::fmt::Write;

/// Formats a summary of all plays for a terminal.
pub fn summary(plays: &[Played]) -> String {
    let mut text = format!(
        "{:<18} {:>8} {:>7} {:>7} {:>6} {:>8} {:>7} {:>7} {:>7}  rules\n",
        "program, play",
        "requests",
        "worth",
        "in time",
        "late",
        "refused",
        "failed",
        "p50 ms",
        "p99 ms"
    );
    for play in plays {
        write_row(&mut text, play);
    }
    for play in plays {
        write_notes(&mut text, play);
    }
    text
}

/// Writes the row of one play.
fn write_row(text: &mut String, play: &Played) {
    let metrics = &play.metrics;
    let rules: u64 = play.counts.values().sum();
    let rules = if rules == 0 {
        "kept".to_string()
    } else {
        format!("violated {rules} times")
    };
    let _ = writeln!(
        text,
        "{:<18} {:>8} {:>7.3} {:>7.3} {:>6.3} {:>8.3} {:>7.3} {:>7.0} {:>7.0}  {rules}",
        format!("{}, {}", play.program, play.play + 1),
        metrics.due,
        metrics.value,
        metrics.in_time,
        metrics.late,
        metrics.refused,
        metrics.failed,
        metrics.p50_ms,
        metrics.p99_ms
    );
}

/// Writes notes on one play: violations, missed expectations, lateness of the lab, tier metrics.
fn write_notes(text: &mut String, play: &Played) {
    let name = format!("{}, play {}", play.program, play.play + 1);
    for (rule, count) in &play.counts {
        let case = play.broken.iter().find(|violation| violation.rule == *rule);
        let case = case.map_or(String::new(), |violation| {
            format!(
                ", first at {:.2} s: {}",
                violation.at / 1000.0,
                violation.case
            )
        });
        let _ = writeln!(text, "{name}: rule {rule} violated {count} times{case}");
    }
    for missed in &play.missed {
        let _ = writeln!(text, "{name}: expectation missed: {missed}");
    }
    if !play.lateness.counts {
        let _ = writeln!(
            text,
            "{name}: not valid: {:.1}% of the lab's own sends and timers were late (p99 {:.1} ms)",
            play.lateness.over * 100.0,
            play.lateness.p99_ms
        );
    }
    if let Some(tier) = &play.tier {
        let describe = |times: &ConvergenceTimes| {
            format!(
                "{:.0} ms at p99 ({:.0} ms at p50, {} samples, {} never)",
                times.p99_ms, times.p50_ms, times.times, times.never
            )
        };
        let _ = writeln!(
                text,
                "{name}: membership known after {}, load sums complete after {}; {} members suspected, {} version \
                 changes; {:.1} datagrams/s of {:.0} bytes per balancer",
                describe(&tier.members),
                describe(&tier.sums),
                tier.suspected,
                tier.steps,
                play.datagrams.a_second,
                play.datagrams.bytes_a_second / play.datagrams.a_second.max(0.1)
            );
    }
    if play.stopped {
        let _ = writeln!(text, "{name}: stopped manually before its end");
    }
}
