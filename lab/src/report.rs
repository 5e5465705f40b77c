//! One HTML page of what was played: a verdict, tables, and plots with the faults shaded in.
use crate::draw::Plan;
use crate::experiment::{Experiment, Millis};
use crate::figures::{figures, Figures, Played};
use crate::tally::{Done, How};
use plotters::prelude::*;
use std::fmt::Write;

const SIZE: (u32, u32) = (900, 260);
const COLORS: [RGBColor; 8] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(23, 190, 207),
    RGBColor(140, 86, 75),
    RGBColor(127, 127, 127),
];

/// A line of a plot.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// The page.
pub fn page(e: &Experiment, plan: &Plan, plays: &[Played]) -> Result<String, String> {
    let mut html = String::new();
    let w = &mut html;
    let held = plays.iter().all(Played::held);
    let _ = write!(
        w,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{}</title><style>{STYLE}</style><body>\
         <h1>{}</h1><p class=\"{}\">{}</p>",
        escape(&e.title),
        escape(&e.title),
        if held { "good" } else { "bad" },
        if held { "Every rule was kept and every expectation met." } else { "Not held: see below what was broken." }
    );
    let inner = plan.balancers.iter().filter(|b| b.owner.is_some()).count();
    let _ = write!(
        w,
        "<p>Seed {}: {} balancers at the front, {} beside upstreams; {} upstreams in {} tiers and {} zones; {} requests in \
         {:.0} s.</p>",
        plan.seed,
        plan.balancers.len() - inner,
        inner,
        plan.upstreams.len(),
        e.tiers.len(),
        e.fleet.zones.len(),
        plan.arrivals.len(),
        plan.length / 1000.0
    );
    summary(w, plays);
    verdicts(w, plays);
    let faults: Vec<(f64, f64, String)> = plays
        .first()
        .map_or(Vec::new(), |p| p.faults.clone())
        .into_iter()
        .map(seconds)
        .collect();
    if !faults.is_empty() {
        let list: Vec<String> = faults
            .iter()
            .map(|(from, to, kind)| format!("{} at {from:.1} to {to:.1} s", escape(kind)))
            .collect();
        let _ = write!(
            w,
            "<p>Faults, shaded in the plots: {}.</p>",
            list.join("; ")
        );
    }
    // One play of each program stands in the plots; the table above has them all.
    let shown: Vec<&Played> = plays.iter().filter(|p| p.play == 0).collect();
    // The second in which the last answers come is no whole one.
    let whole = (plan.length / 1000.0) as u32;
    let over = |of: &dyn Fn(&Figures) -> f64| -> Vec<Line> {
        shown
            .iter()
            .map(|p| Line {
                name: p.program.clone(),
                points: by_second(e, plan, p, of),
            })
            .collect()
    };
    for (title, unit, most, of) in [
        (
            "Worth served, of what was asked for",
            "part",
            Some(1.0),
            &(|f: &Figures| f.worth) as &dyn Fn(&Figures) -> f64,
        ),
        ("Answered in time", "part", Some(1.0), &|f: &Figures| {
            f.in_time
        }),
        ("Refused", "part", Some(1.0), &|f: &Figures| f.refused),
        ("Failed or unanswered", "part", Some(1.0), &|f: &Figures| {
            f.failed
        }),
        (
            "Time to the answer, 99th percentile",
            "ms",
            None,
            &|f: &Figures| f.p99_ms,
        ),
    ] {
        w.push_str(&plot(title, "second", unit, most, &over(of), &faults)?);
    }
    let percentiles: Vec<Line> = shown.iter().map(|p| percentiles(p)).collect();
    w.push_str(&plot(
        "Time to the answer by percentile",
        "percentile",
        "ms",
        None,
        &percentiles,
        &[],
    )?);
    for p in &shown {
        let zone = |z: usize| Line {
            name: e.fleet.zones[z].clone(),
            points: (0..whole)
                .zip(&p.tally.seconds)
                .map(|(s, x)| (f64::from(s), x.attempts[z] as f64))
                .collect(),
        };
        let zones: Vec<Line> = (0..e.fleet.zones.len()).map(zone).collect();
        let title = format!(
            "Attempts a second at the upstreams of each zone: {}",
            p.program
        );
        w.push_str(&plot(&title, "second", "a second", None, &zones, &faults)?);
    }
    let per_second = |of: fn(&crate::tally::Second) -> f64| -> Vec<Line> {
        let points = |p: &Played| {
            (0..whole)
                .zip(&p.tally.seconds)
                .map(|(s, x)| (f64::from(s), of(x)))
                .collect()
        };
        shown
            .iter()
            .map(|p| Line {
                name: p.program.clone(),
                points: points(p),
            })
            .collect()
    };
    for (title, of) in [
        (
            "Attempts that cross zones",
            (|s| s.crossings as f64) as fn(&crate::tally::Second) -> f64,
        ),
        ("New connections to upstreams", |s| s.connections as f64),
        ("Upstreams that are slow because they were crowded", |s| {
            s.choked as f64
        }),
    ] {
        w.push_str(&plot(title, "second", "", None, &per_second(of), &faults)?);
    }
    for p in &shown {
        details(w, p);
    }
    w.push_str("</body></html>\n");
    Ok(html)
}

const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}\
    table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .7em;border-bottom:1px solid #ddd;text-align:right}\
    td:first-child,th:first-child{text-align:left}.good{background:#e5f5e5;padding:.6em}.bad{background:#fbe3e3;padding:.6em}\
    code{font-size:90%}figure{margin:1.2em 0}";

fn seconds((from, to, kind): (Millis, Millis, String)) -> (f64, f64, String) {
    (from / 1000.0, to / 1000.0, kind)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn percent(part: f64) -> String {
    format!("{:.1}%", part * 100.0)
}

fn row_of(w: &mut String, name: &str, f: &Figures) {
    let _ = write!(
        w,
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.0}</td><td>{:.0}</td></tr>",
        escape(name),
        f.due,
        percent(f.worth),
        percent(f.in_time),
        percent(f.late),
        percent(f.refused),
        percent(f.failed),
        f.p50_ms,
        f.p99_ms
    );
}

const COLUMNS: &str =
    "<th>requests</th><th>worth</th><th>in time</th><th>late</th><th>refused</th><th>failed</th>\
    <th>p50 ms</th><th>p99 ms</th></tr>";

fn summary(w: &mut String, plays: &[Played]) {
    let _ = write!(w, "<table><tr><th>program, play</th>{COLUMNS}");
    for p in plays {
        row_of(w, &format!("{}, {}", p.program, p.play + 1), &p.figures);
    }
    w.push_str(
        "</table><table><tr><th>for each request</th><th>attempts</th><th>crossings</th><th>connections</th>\
        <th>turned away</th><th>tries</th><th>work wasted</th><th>added p50</th><th>added p99</th><th>lab late p99</th></tr>",
    );
    for p in plays {
        let t = &p.traffic;
        let _ = write!(
            w,
            "<tr><td>{}, {}</td><td>{:.2}</td><td>{:.2}</td><td>{:.3}</td><td>{:.3}</td><td>{:.2}</td><td>{}</td><td>{:.2} ms</td><td>{:.2} ms</td><td>{:.1} ms</td></tr>",
            escape(&p.program),
            p.play + 1,
            t.attempts,
            t.crossings,
            t.connections,
            t.declined,
            p.figures.tries,
            percent(t.wasted), p.figures.added_p50_ms, p.figures.added_p99_ms, p.lateness.p99_ms
        );
    }
    w.push_str("</table>");
}

fn verdicts(w: &mut String, plays: &[Played]) {
    for p in plays.iter().filter(|p| !p.held()) {
        let _ = write!(
            w,
            "<h2>{}, play {}</h2><ul>",
            escape(&p.program),
            p.play + 1
        );
        if p.stopped {
            w.push_str("<li>Stopped by hand before its end.</li>");
        }
        if !p.lateness.counts {
            let l = &p.lateness;
            let _ = write!(
                w,
                "<li>The lab itself was late in {} of its steps: this play does not count.</li>",
                percent(l.over)
            );
        }
        for missed in &p.missed {
            let _ = write!(w, "<li>{}</li>", escape(missed));
        }
        for (rule, count) in &p.counts {
            let cases: Vec<_> = p.broken.iter().filter(|b| b.rule == *rule).collect();
            let asks = cases.first().map_or("", |b| b.asks.as_str());
            let _ = write!(
                w,
                "<li><b>{}</b> ({}): {count} times.<ul>",
                escape(rule),
                escape(asks)
            );
            for b in cases.iter().take(5) {
                let _ = write!(w, "<li>{:.2} s: {}</li>", b.at / 1000.0, escape(&b.case));
            }
            w.push_str("</ul></li>");
        }
        w.push_str("</ul>");
    }
}

fn details(w: &mut String, p: &Played) {
    let _ = write!(
        w,
        "<h2>{}</h2><p><code>{}</code></p><table><tr><th>part</th>{COLUMNS}",
        escape(&p.program),
        escape(&p.command)
    );
    for (name, f) in &p.by {
        row_of(w, name, f);
    }
    let most = |of: fn(&crate::figures::Held) -> f64| p.held.iter().map(of).fold(0.0, f64::max);
    let _ = write!(
        w,
        "</table><p>{} requests and calls were checked to their end. Keyed requests whose effect came about more than once: {}. \
         A balancer held at most {:.1} MB and {:.0} descriptors; the busiest used {:.2} s of a core, all together {:.1} s.</p>",
        p.checked,
        p.effects_twice,
        most(|h| h.memory_kb as f64 / 1024.0),
        most(|h| h.descriptors as f64),
        most(|h| h.cpu_s),
        p.held.iter().map(|h| h.cpu_s).sum::<f64>()
    );
}

fn by_second(
    e: &Experiment,
    plan: &Plan,
    p: &Played,
    of: &dyn Fn(&Figures) -> f64,
) -> Vec<(f64, f64)> {
    let seconds = (plan.length / 1000.0).ceil() as usize;
    let mut parts: Vec<Vec<Done>> = vec![Vec::new(); seconds];
    for d in &p.tally.done {
        if let Some(part) = parts.get_mut((d.at / 1000.0) as usize) {
            part.push(d.clone());
        }
    }
    // A second in which nothing was due has no share of anything.
    let due = parts
        .iter()
        .enumerate()
        .filter(|(_, part)| !part.is_empty());
    due.map(|(s, part)| (s as f64, of(&figures(e, plan, part, |_| true))))
        .collect()
}

fn percentiles(p: &Played) -> Line {
    let mut times = crate::clock::histogram();
    for d in p.tally.done.iter().filter(|d| d.how == How::Served) {
        times.saturating_record((d.took * 1000.0) as u64);
    }
    let points = (1..=199).map(|i| f64::from(i) / 2.0);
    let at = |q: f64| (q, times.value_at_quantile(q / 100.0) as f64 / 1000.0);
    Line {
        name: p.program.clone(),
        points: points.map(at).collect(),
    }
}

fn plot(
    title: &str,
    x: &str,
    y: &str,
    most: Option<f64>,
    lines: &[Line],
    faults: &[(f64, f64, String)],
) -> Result<String, String> {
    let points = || lines.iter().flat_map(|l| &l.points);
    let right = points().map(|p| p.0).fold(1.0, f64::max);
    let top = most.unwrap_or_else(|| points().map(|p| p.1).fold(1.0, f64::max) * 1.05);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        draw(&area, title, x, y, (right, top), lines, faults)
            .map_err(|e| format!("plot {title:?}: {e}"))?;
    }
    Ok(format!("<figure>{svg}</figure>"))
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    x: &str,
    y: &str,
    (right, top): (f64, f64),
    lines: &[Line],
    faults: &[(f64, f64, String)],
) -> Result<(), Box<dyn std::error::Error>> {
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 17))
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(54)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    for (from, to, _) in faults {
        // What lasts no time is still to be seen.
        let to = to.max(from + right / 300.0).min(right);
        chart.draw_series([Rectangle::new(
            [(*from, 0.0), (to, top)],
            RGBColor(240, 170, 60).mix(0.22).filled(),
        )])?;
    }
    chart
        .configure_mesh()
        .x_desc(x)
        .y_desc(y)
        .light_line_style(WHITE)
        .bold_line_style(BLACK.mix(0.1))
        .draw()?;
    for (i, line) in lines.iter().enumerate() {
        let color = COLORS[i % COLORS.len()];
        chart
            .draw_series(LineSeries::new(
                line.points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(line.name.clone())
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 16, y)], color.stroke_width(2))
            });
    }
    if !lines.is_empty() {
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
    }
    area.present()?;
    Ok(())
}
