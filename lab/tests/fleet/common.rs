//! Small experiments for tests, and a runner for them. No assertion depends on the speed of the machine: deadlines are
//! long, load is low, and the oracle ignores violations that the lab's own lateness explains.
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use tempfile::TempDir;

pub(crate) const LAB: &str = env!("CARGO_BIN_EXE_balancer-lab");

/// The real balancer, built by the same cargo into the same folder.
pub(crate) fn balancer_proxy() -> PathBuf {
    static BUILT: std::sync::Once = std::sync::Once::new();
    let path = Path::new(LAB).with_file_name("balancer-proxy");
    // A test run of the whole workspace has built it; a test run of this crate alone has not.
    BUILT.call_once(|| {
        if !path.is_file() {
            let release = if Path::new(LAB)
                .parent()
                .is_some_and(|p| p.ends_with("release"))
            {
                "release"
            } else {
                "dev"
            };
            let built = Command::new(env!("CARGO"))
                .args([
                    "build",
                    "--locked",
                    "-p",
                    "balancer-proxy",
                    "--profile",
                    release,
                ])
                .status()
                .expect("runs cargo");
            assert!(built.success());
        }
    });
    path
}

/// A fleet of `front` balancers with 4 upstreams; with `tiers` 2, each of these calls 4 more through a sidecar
/// balancer.
pub(crate) fn fleet(front: usize, tiers: usize, length: &str, more: &str) -> String {
    let mut text = format!(
        r#"title = "a test"
length = "{length}"
late_share = 1.0
[fleet]
zones = ["a", "b"]
front = {front}
[[tier]]
name = "desk"
upstreams = 4
work = 0.5
kind = [{{ name = "k", cores = 2, speed = 2.0, cold_for = "2s", cold_from = 0.2 }}]
"#
    );
    if tiers == 2 {
        text.push_str("calls = 1.0\n[[tier]]\nname = \"store\"\nupstreams = 4\nwork = 0.5\nkind = [{ name = \"k\", speed = 2.0 }]\n");
    }
    text.push_str(
        r#"[[class]]
name = "read"
work = 10
waits = "120ms"
aim = "5s"
deadline = "8s"
[[class]]
name = "pay"
work = 10
waits = "120ms"
aim = "5s"
deadline = "8s"
effect = "once"
[[tenant]]
name = "club"
share = 1.0
"#,
    );
    text.push_str(more);
    text
}

/// An experiment that was run in a temporary folder.
pub(crate) struct Played {
    pub output: Output,
    folder: TempDir,
}

impl Played {
    pub(crate) fn new(experiment: &str, arguments: &[&str]) -> Played {
        let folder = TempDir::new().expect("a folder");
        let file = folder.path().join("test.toml");
        std::fs::write(&file, experiment).expect("writes");
        let output = Command::new(LAB)
            .arg("run")
            .arg(&file)
            .arg("--no-build")
            .arg("--out")
            .arg(folder.path().join("out"))
            .args(arguments)
            .output()
            .expect("runs");
        Played { output, folder }
    }

    /// The stored results of the first play of a program.
    pub(crate) fn play(&self, program: &str) -> serde_json::Value {
        let path = self
            .folder
            .path()
            .join("out")
            .join(format!("{program}-1"))
            .join("play.json");
        let text = std::fs::read(&path)
            .unwrap_or_else(|e| panic!("{}: {e}; {}", path.display(), self.said()));
        serde_json::from_slice(&text).expect("JSON")
    }

    /// The folder of the results.
    pub(crate) fn out(&self) -> PathBuf {
        self.folder.path().join("out")
    }

    pub(crate) fn report(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("out").join("report.html"))
            .expect("a report")
    }

    /// The exit status and the output of the lab.
    pub(crate) fn said(&self) -> String {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        format!(
            "{:?}\n{}{}",
            self.output.status,
            text(&self.output.stdout),
            text(&self.output.stderr)
        )
    }
}
