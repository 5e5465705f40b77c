//! The folder that a run leaves: its experiment, every play, the report; and the tables made of them.
use crate::draw::Plan;
use crate::experiment::{self, Experiment};
use crate::figures::{mean_and_spread, Comeback, Played};
use crate::report;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// What was asked for, beside the experiment file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Asked {
    /// The seed.
    pub seed: u64,
    /// Names of the programs, in order.
    pub programs: Vec<String>,
    /// Plays of each.
    pub plays: usize,
    /// Whether each play has a draw of its own, from the seed on.
    #[serde(default)]
    pub new_draws: bool,
}

/// A folder of results.
pub struct Results {
    folder: PathBuf,
}

const EXPERIMENT: &str = "experiment.toml";
const ASKED: &str = "asked.json";

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn json(of: &impl Serialize) -> Result<String, String> {
    serde_json::to_string(of).map_err(|e| e.to_string())
}

impl Results {
    /// Makes a folder for a run: the one named, or the next one that is free below `lab/results`.
    pub fn create(root: &Path, named: Option<&Path>, file: &Path, asked: &Asked) -> Result<Results, String> {
        let folder = match named {
            Some(folder) => folder.to_path_buf(),
            None => {
                let stem = file.file_stem().map_or("run".into(), |s| s.to_string_lossy());
                let below = root.join("lab").join("results");
                let free = (1..).map(|n| below.join(format!("{stem}-{n}"))).find(|f| !f.exists());
                free.ok_or("no name is free")?
            }
        };
        if folder.join(ASKED).exists() {
            return Err(format!("{}: holds the results of another run", folder.display()));
        }
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let folder = folder.canonicalize().map_err(|e| format!("{}: {e}", folder.display()))?;
        std::fs::copy(file, folder.join(EXPERIMENT)).map_err(|e| format!("{}: {e}", file.display()))?;
        write(&folder.join(ASKED), &json(asked)?)?;
        Ok(Results { folder })
    }

    /// Opens the folder of an earlier run.
    pub fn open(folder: &Path) -> Result<Results, String> {
        if !folder.join(ASKED).is_file() {
            return Err(format!("{}: no results of a run", folder.display()));
        }
        Ok(Results { folder: folder.to_path_buf() })
    }

    /// Where it is.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Where one play of a program keeps its files.
    pub fn play(&self, program: &str, play: usize) -> PathBuf {
        self.folder.join(format!("{program}-{}", play + 1))
    }

    /// Keeps a play.
    pub fn keep(&self, played: &Played) -> Result<(), String> {
        write(&self.play(&played.program, played.play).join("play.json"), &json(played)?)
    }

    /// What was asked for, and the experiment as it was then.
    pub fn asked(&self) -> Result<(Asked, Experiment), String> {
        Ok((read(&self.folder.join(ASKED))?, experiment::load(&self.folder.join(EXPERIMENT))?))
    }

    /// Every play that was kept, in the order in which they were made.
    pub fn plays(&self) -> Result<Vec<Played>, String> {
        let asked: Asked = read(&self.folder.join(ASKED))?;
        let mut plays = Vec::new();
        for play in 0..asked.plays {
            for program in &asked.programs {
                let path = self.play(program, play).join("play.json");
                // A run that was stopped has fewer plays than were asked for.
                if path.is_file() {
                    plays.push(read(&path)?);
                }
            }
        }
        Ok(plays)
    }

    /// Writes the report, and says where.
    pub fn report(&self, e: &Experiment, plan: &Plan, plays: &[Played]) -> Result<PathBuf, String> {
        let path = self.folder.join("report.html");
        write(&path, &report::page(e, plan, plays)?)?;
        Ok(path)
    }
}

/// The summary of all plays, as lines for a terminal.
pub fn summary(plays: &[Played]) -> String {
    let mut text = format!(
        "{:<18} {:>8} {:>7} {:>7} {:>6} {:>8} {:>7} {:>7} {:>7}  rules\n",
        "program, play", "requests", "worth", "in time", "late", "refused", "failed", "p50 ms", "p99 ms"
    );
    for p in plays {
        let f = &p.figures;
        let rules: u64 = p.counts.values().sum();
        let rules = if rules == 0 { "kept".to_string() } else { format!("broken {rules} times") };
        let _ = writeln!(
            text,
            "{:<18} {:>8} {:>7.3} {:>7.3} {:>6.3} {:>8.3} {:>7.3} {:>7.0} {:>7.0}  {rules}",
            format!("{}, {}", p.program, p.play + 1),
            f.due,
            f.worth,
            f.in_time,
            f.late,
            f.refused,
            f.failed,
            f.p50_ms,
            f.p99_ms
        );
    }
    for p in plays {
        let name = format!("{}, play {}", p.program, p.play + 1);
        for (rule, count) in &p.counts {
            let case = p.broken.iter().find(|b| b.rule == *rule);
            let case =
                case.map_or(String::new(), |b| format!(", first at {:.2} s: {}", b.at / 1000.0, b.case));
            let _ = writeln!(text, "{name}: rule {rule} broken {count} times{case}");
        }
        for missed in &p.missed {
            let _ = writeln!(text, "{name}: expectation missed: {missed}");
        }
        if !p.lateness.counts {
            let _ = writeln!(
                text,
                "{name}: does not count: the lab itself was late in {:.1} of 100 steps (p99 {:.1} ms)",
                p.lateness.over * 100.0,
                p.lateness.p99_ms
            );
        }
        if p.stopped {
            let _ = writeln!(text, "{name}: stopped by hand before its end");
        }
    }
    text
}

/// Figures set side by side: a name, and where it stands.
type Column = (&'static str, fn(&Played) -> f64);

const COMPARED: [Column; 17] = [
    ("worth", |p| p.figures.worth),
    ("in time", |p| p.figures.in_time),
    ("late", |p| p.figures.late),
    ("refused", |p| p.figures.refused),
    ("failed", |p| p.figures.failed),
    ("p50 ms", |p| p.figures.p50_ms),
    ("p99 ms", |p| p.figures.p99_ms),
    ("added p50 ms", |p| p.figures.added_p50_ms),
    ("added p99 ms", |p| p.figures.added_p99_ms),
    ("busiest CPU s", |p| p.held.iter().map(|h| h.cpu_s).fold(0.0, f64::max)),
    ("crossings", |p| p.traffic.crossings),
    ("connections", |p| p.traffic.connections),
    ("work wasted", |p| p.traffic.wasted),
    ("exec to served", |p| of_comeback(p, |c| c.served_ms)),
    ("  longest, ms", |p| of_comeback(p, |c| c.served_most_ms)),
    ("worth, 15 s on", |p| of_comeback(p, |c| Some(c.worth_after))),
    ("back after ms", |p| of_comeback(p, |c| c.back_ms)),
];

/// A figure of how the fleet came back; no number where nothing stopped balancers, or it never did.
fn of_comeback(p: &Played, of: fn(&Comeback) -> Option<f64>) -> f64 {
    p.comeback.as_ref().and_then(of).unwrap_or(f64::NAN)
}

/// Each program against the first: the mean of the differences, play by play, and half their range.
pub fn compare(plays: &[Played]) -> String {
    // Part of a run compares with nothing.
    let plays: Vec<&Played> = plays.iter().filter(|p| !p.stopped).collect();
    let mut names: Vec<&str> = Vec::new();
    for p in &plays {
        if !names.contains(&p.program.as_str()) {
            names.push(&p.program);
        }
    }
    let Some((first, others)) = names.split_first() else { return "no plays to compare\n".into() };
    let of = |name: &str| plays.iter().copied().filter(|p| p.program == name).collect::<Vec<_>>();
    let base = of(first);
    let mut text = format!("{:<14} {:>22}", "figure", first);
    for name in others {
        let _ = write!(text, " {name:>22} {:>22}", "difference");
    }
    text.push('\n');
    for (figure, value) in COMPARED {
        if plays.iter().all(|p| value(p).is_nan()) {
            continue;
        }
        let known = |values: Vec<f64>| values.into_iter().filter(|v| v.is_finite()).collect::<Vec<_>>();
        let all = |of: &[&Played]| mean_and_spread(&known(of.iter().map(|p| value(p)).collect()));
        let show = |(mean, spread): (f64, f64)| format!("{mean:.3} +- {spread:.3}");
        let _ = write!(text, "{figure:<14} {:>22}", show(all(&base)));
        for name in others {
            let other = of(name);
            let pairs = base.iter().filter_map(|b| Some((b, other.iter().find(|o| o.play == b.play)?)));
            let differences: Vec<f64> = pairs.map(|(b, o)| value(o) - value(b)).collect();
            let (mean, spread) = mean_and_spread(&known(differences));
            let _ = write!(text, " {:>22} {:>22}", show(all(&other)), format!("{mean:+.3} +- {spread:.3}"));
        }
        text.push('\n');
    }
    if base.len() < 2 {
        text.push_str(
            "One play of each: no spread can be told; --plays 3 plays each three times, in turn.\n",
        );
    }
    text
}
