//! Complete fleets of processes, with faults.
use crate::common::*;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::Read;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(60);

/// Six processes of the real balancer: two at the front, four sidecars.
#[test]
fn fleet_keeps_all_rules_through_kill_cut_pause() {
    let faults = r#"
[options.figures]
dir = "{state}"
every = "200ms"
[clients]
rate = 40
front_notice = "200ms"
[[fault]]
kind = "kill"
at = "500ms"
for = "500ms"
on = { names = ["front-1"] }
state = "flipped"
[[fault]]
kind = "cut"
at = "1500ms"
for = "700ms"
on = { role = "upstreams", zone = "a", tier = "store" }
to = { role = "inner", zone = "b" }
[[fault]]
kind = "pause"
at = "2500ms"
for = "500ms"
on = { names = ["front-2"] }
"#;
    let real = format!("real=exec '{}'", balancer_proxy().display());
    let played = Played::new(
        &fleet(2, 2, "4s", faults),
        &["--program", &real, "--program", "round-robin"],
    );
    let play = played.play("real");
    // This includes the rule that the balancer's metrics match what the stand-ins saw.
    assert_eq!(play["counts"], serde_json::json!({}), "{}", played.said());
    assert!(played
        .out()
        .join("real-1/state/front-2/figures.json")
        .is_file());
    assert_eq!(play["held"].as_array().map(Vec::len), Some(6));
    // The stand-in runs the same plan.
    assert_eq!(
        play["figures"]["due"],
        played.play("round-robin")["figures"]["due"]
    );
    let served = play["figures"]["in_time"].as_f64().expect("a metric");
    assert!(served > 0.3, "{}", played.said());
    let report = played.report();
    assert!(report.contains("<svg") && report.contains("round-robin") && report.contains("kill"));
    for verb in ["compare", "report"] {
        let out = Command::new(LAB)
            .arg(verb)
            .arg(played.out())
            .output()
            .expect("runs");
        assert!(
            out.status.success() && !out.stdout.is_empty(),
            "{verb}: {out:?}"
        );
    }
}

/// A balancer that ignores SIGTERM is killed after the grace period, and restarted.
#[test]
fn a_balancer_that_ignores_sigterm_is_killed() {
    let fault = r#"
[clients]
rate = 30
[[fault]]
kind = "terminate"
at = "500ms"
for = "1s"
on = { names = ["front-1"] }
"#;
    let program = format!("deaf=trap '' TERM; exec '{LAB}' stand-in random");
    let short = fleet(2, 1, "6s", fault)
        .replace("8s", "1s")
        .replace("5s", "1s");
    let played = Played::new(&short, &["--program", &program]);
    assert_eq!(played.output.status.code(), Some(0), "{}", played.said());
    let log =
        std::fs::read_to_string(played.out().join("deaf-1/logs/front-1.log")).expect("its log");
    assert_eq!(log.matches("serving on").count(), 2, "{log}");
}

/// The lab's child processes exit with it, also if it is killed.
#[test]
fn no_balancer_outlives_the_lab() {
    for end in [Signal::SIGINT, Signal::SIGKILL] {
        let folder = tempfile::TempDir::new().expect("a folder");
        let file = folder.path().join("test.toml");
        std::fs::write(&file, fleet(2, 1, "600s", "[clients]\nrate = 5\n")).expect("writes");
        let real = format!("real=exec '{}'", balancer_proxy().display());
        let mut lab = Command::new(LAB)
            .arg("run")
            .arg(&file)
            .args(["--no-build", "--program", &real, "--out"])
            .arg(folder.path().join("out"))
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("starts");
        let config = folder.path().join("out/real-1/config");
        let mut pids = Vec::new();
        let started = Instant::now();
        while pids.len() < 2 {
            assert!(
                started.elapsed() < TIMEOUT,
                "the balancers did not start in time"
            );
            pids = with_config(&config);
            std::thread::sleep(Duration::from_millis(20));
        }
        kill(Pid::from_raw(lab.id() as i32), end).expect("signals");
        let status = lab.wait().expect("ends");
        while !with_config(&config).is_empty() {
            assert!(
                started.elapsed() < TIMEOUT,
                "processes {:?} are still running",
                with_config(&config)
            );
            std::thread::sleep(Duration::from_millis(20));
        }
        if end == Signal::SIGINT {
            assert_eq!(status.code(), Some(1));
            let mut said = String::new();
            lab.stdout
                .take()
                .expect("its output")
                .read_to_string(&mut said)
                .expect("text");
            assert!(
                said.contains("stopped manually") && said.contains("report:"),
                "{said}"
            );
            let play =
                std::fs::read(folder.path().join("out/real-1/play.json")).expect("the results");
            let play: serde_json::Value = serde_json::from_slice(&play).expect("JSON");
            // Ending the processes early breaks no rule.
            assert_eq!(
                (&play["stopped"], &play["counts"]),
                (&true.into(), &serde_json::json!({}))
            );
        }
    }
}

/// The ids of processes whose configuration is in this folder.
fn with_config(folder: &std::path::Path) -> Vec<i32> {
    let wanted = format!("NODE_CONFIG={}", folder.display());
    let pids = std::fs::read_dir("/proc").expect("/proc").flatten();
    pids.filter_map(|e| e.file_name().to_str()?.parse::<i32>().ok())
        .filter(|pid| {
            let environment = std::fs::read(format!("/proc/{pid}/environ")).unwrap_or_default();
            environment
                .split(|b| *b == 0)
                .any(|v| v.starts_with(wanted.as_bytes()))
        })
        .collect()
}

/// Runs a misbehaving stand-in, and returns the rules that the oracle found broken.
fn broken_by(wrong: &str, experiment: &str) -> Vec<String> {
    let program = format!("wrong=exec '{LAB}' stand-in random --wrong {wrong}");
    let played = Played::new(experiment, &["--program", &program]);
    assert_eq!(played.output.status.code(), Some(1), "{}", played.said());
    let play = played.play("wrong");
    play["counts"]
        .as_object()
        .expect("counts")
        .keys()
        .cloned()
        .collect()
}

fn small(more: &str) -> String {
    fleet(1, 1, "2s", &format!("[clients]\nrate = 60\n{more}"))
}

macro_rules! detects_violations {
    ($($test:ident: $wrong:literal breaks $rule:literal in $experiment:expr;)*) => {$(
        #[test]
        fn $test() {
            let broken = broken_by($wrong, &$experiment);
            assert!(broken.iter().any(|r| r == $rule), "{} breaks {:?}, not {}", $wrong, broken, $rule);
        }
    )*};
}

/// One upstream is replaced: it drains, exits, and restarts with a slow start.
const REPLACED: &str = r#"
[discovery]
notice = "50ms"
add = "50ms"
spread = "10ms"
[balancer]
fall = "1s"
[[fault]]
kind = "replace"
at = "200ms"
for = "100ms"
on = { names = ["desk-1"] }
"#;

/// The only balancer is killed and restarted.
const KILLED: &str = r#"
[[fault]]
kind = "kill"
at = "700ms"
for = "50ms"
"#;

/// In the second half of the run another tenant sends more than its share.
const NOISY_NEIGHBOR: &str = r#"
[[tenant]]
name = "hog"
share = 0.2
rate = 60
during = ["1s", "2s"]
[bounds.in_share]
tenants = ["club"]
before = ["0s", "1s"]
during = ["1s", "2s"]
least = 0.5
"#;

detects_violations! {
    a_dropped_request_is_detected: "loses" breaks "lost" in small("");
    a_request_without_a_response_is_detected: "holds" breaks "lost" in small("").replace("8s", "1s").replace("5s", "1s");
    an_invented_response_is_detected: "invents" breaks "invented" in small("");
    a_forbidden_repeat_is_detected: "repeats" breaks "repeated" in small("");
    a_false_refusal_is_detected: "refuses" breaks "refused" in small("");
    concurrent_attempts_are_detected: "doubles" breaks "two-out" in small("");
    too_many_attempts_are_detected: "insists" breaks "attempts" in small("");
    an_attempt_after_the_response_is_detected: "lingers" breaks "after-end" in small("");
    a_violated_drain_is_detected: "deaf" breaks "drained" in small(REPLACED).replace("8s", "1s").replace("5s", "1s");
    an_upstream_overloaded_in_slow_start_is_detected: "crowds" breaks "tipped" in
        fleet(1, 1, "6s", &format!("[clients]\nrate = 900\n{REPLACED}")).replace("8s", "1s").replace("5s", "1s");
    a_forged_request_is_detected: "forges" breaks "foreign" in small("");
    memory_over_its_limit_is_detected: "swells" breaks "memory" in small("[balancer]\nmemory_mb = 48\n");
    descriptors_over_their_limit_are_detected: "hoards" breaks "descriptors" in small("[balancer]\nsockets = 64\n");
    a_crashed_balancer_is_detected: "dies" breaks "crashed" in small("");
    false_metrics_are_detected: "boasts" breaks "figures" in small("");
    a_repeated_incarnation_is_detected: "stutters" breaks "numbered" in small(KILLED);
    an_oversize_datagram_is_detected: "shouts" breaks "datagram" in small("");
    an_invalid_datagram_is_detected: "mumbles" breaks "header" in small("");
    a_decreasing_epoch_is_detected: "rewinds" breaks "epoch" in small("");
    a_version_used_too_long_is_detected: "clings" breaks "agreed" in small("[bounds]\nagree = \"300ms\"\n");
    too_many_retries_in_total_are_detected: "repeats" breaks "budget" in small("[bounds]\nretries = 0.05\n");
    too_many_trials_of_a_zone_are_detected: "speaks-old" breaks "trials" in
        small("[[bounds.trials]]\nzone = \"a\"\nduring = [\"0s\", \"2s\"]\nmost = 1\n");
    an_unfairly_refused_tenant_is_detected: "favours" breaks "in-share" in small(NOISY_NEIGHBOR);
    use_of_stale_shared_data_is_detected: "remembers" breaks "stale" in small("[bounds]\nage = \"1s\"\n");
    a_balancer_that_is_never_ready_is_detected: "idles" breaks "not-ready" in small("[balancer]\nready_within = \"1s\"\n");
}

/// Six balancers that persist state: machines lose power, disks fill up and fail, state folders are damaged, and one
/// balancer is killed repeatedly.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet: docs/OPEN.md")]
fn fleet_keeps_all_rules_through_disk_faults() {
    let faults = r#"
[options.recovery]
dir = "{state}"
drill = "{drill}"
every = "100ms"
start_timeout = "1m"
[options.figures]
dir = "{state}"
every = "100ms"
[discovery]
known = false
[clients]
rate = 40
front_notice = "200ms"
[[fault]]
kind = "power-loss"
at = "1s"
for = "100ms"
on = { role = "inner" }
[[fault]]
kind = "kill"
at = "1s"
for = ["50ms", "150ms"]
times = 10
every = "400ms"
on = { names = ["front-1"] }
[[fault]]
kind = "kill"
at = "2s"
for = "100ms"
on = { names = ["front-2"] }
state = "truncated"
[[fault]]
kind = "disk-full"
at = "2800ms"
for = "800ms"
on = { role = "front" }
[[fault]]
kind = "disk-failing"
at = "3600ms"
for = "800ms"
on = { role = "front" }
"#;
    let real = format!("real=exec '{}'", balancer_proxy().display());
    let played = Played::new(&fleet(2, 2, "5s", faults), &["--program", &real]);
    let play = played.play("real");
    assert_eq!(play["counts"], serde_json::json!({}), "{}", played.said());
    let log = |name: &str| {
        std::fs::read_to_string(played.out().join(format!("real-1/logs/{name}.log")))
            .expect("its log")
    };
    // Four balancers lost power and recovered from their disks.
    assert!(
        log("beside-desk-1").contains("recovery: start 2, a list of"),
        "{}",
        log("beside-desk-1")
    );
    // A balancer that is killed repeatedly serves again after each start, even while its disk is full or failing.
    let begun = log("front-1").matches("serving on").count();
    assert!(begun > 5, "{begun} starts: {}", log("front-1"));
    assert!(
        play["comeback"]["served_ms"].is_number(),
        "{}",
        play["comeback"]
    );
}
