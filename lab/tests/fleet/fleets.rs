//! Whole fleets of processes, with faults between them.
use crate::common::*;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::Read;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(60);

/// Six processes of the real program: two at the front, four beside upstreams.
#[test]
fn a_fleet_keeps_every_rule_through_a_kill_a_cut_and_a_pause() {
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
    // Its own metrics are among the rules: they are set against what the stand-ins saw.
    assert_eq!(play["counts"], serde_json::json!({}), "{}", played.said());
    assert!(played
        .out()
        .join("real-1/state/front-2/figures.json")
        .is_file());
    assert_eq!(play["held"].as_array().map(Vec::len), Some(6));
    // The pass-through meets the same draw; what it does with it is its own.
    assert_eq!(
        play["figures"]["due"],
        played.play("round-robin")["figures"]["due"]
    );
    let served = play["figures"]["in_time"].as_f64().expect("a figure");
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

/// One that ignores SIGTERM is killed when its time is over, and starts again.
#[test]
fn a_balancer_that_does_not_heed_its_end_is_ended() {
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

/// Whatever ends the lab, nothing that it started outlives it.
#[test]
fn no_balancer_outlives_the_lab_however_that_ends() {
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
            assert!(started.elapsed() < TIMEOUT, "no balancers");
            pids = with_config(&config);
            std::thread::sleep(Duration::from_millis(20));
        }
        kill(Pid::from_raw(lab.id() as i32), end).expect("signals");
        let status = lab.wait().expect("ends");
        while !with_config(&config).is_empty() {
            assert!(
                started.elapsed() < TIMEOUT,
                "{:?} are left",
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
                said.contains("stopped by hand") && said.contains("report:"),
                "{said}"
            );
            let play = std::fs::read(folder.path().join("out/real-1/play.json"))
                .expect("what was measured");
            let play: serde_json::Value = serde_json::from_slice(&play).expect("JSON");
            // That its processes were ended broke no rule.
            assert_eq!(
                (&play["stopped"], &play["counts"]),
                (&true.into(), &serde_json::json!({}))
            );
        }
    }
}

/// Processes whose configuration is in this folder.
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

/// Plays a pass-through that is wrong on purpose, and says which rules the oracle saw broken.
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

macro_rules! each_rule_is_broken_by {
    ($($test:ident: $wrong:literal breaks $rule:literal in $experiment:expr;)*) => {$(
        #[test]
        fn $test() {
            let broken = broken_by($wrong, &$experiment);
            assert!(broken.iter().any(|r| r == $rule), "{} breaks {:?}, not {}", $wrong, broken, $rule);
        }
    )*};
}

/// One upstream is replaced: it drains, ends, and comes back cold.
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

/// The one balancer is killed, and starts again.
const KILLED: &str = r#"
[[fault]]
kind = "kill"
at = "700ms"
for = "50ms"
"#;

/// From the middle on another tenant sends more than its share.
const BESIDE: &str = r#"
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

each_rule_is_broken_by! {
    a_request_that_is_dropped_is_seen: "loses" breaks "lost" in small("");
    a_request_without_a_response_is_detected: "holds" breaks "lost" in small("").replace("8s", "1s").replace("5s", "1s");
    an_invented_answer_is_seen: "invents" breaks "invented" in small("");
    a_forbidden_repeat_is_seen: "repeats" breaks "repeated" in small("");
    a_false_refusal_is_seen: "refuses" breaks "refused" in small("");
    two_attempts_at_once_are_seen: "doubles" breaks "two-out" in small("");
    too_many_attempts_are_seen: "insists" breaks "attempts" in small("");
    what_is_sent_after_the_end_is_seen: "lingers" breaks "after-end" in small("");
    a_violated_drain_is_detected: "deaf" breaks "drained" in small(REPLACED).replace("8s", "1s").replace("5s", "1s");
    an_upstream_overloaded_in_slow_start_is_detected: "crowds" breaks "tipped" in
        fleet(1, 1, "6s", &format!("[clients]\nrate = 900\n{REPLACED}")).replace("8s", "1s").replace("5s", "1s");
    a_forged_request_is_seen: "forges" breaks "foreign" in small("");
    memory_over_its_limit_is_seen: "swells" breaks "memory" in small("[balancer]\nmemory_mb = 48\n");
    descriptors_over_their_limit_are_seen: "hoards" breaks "descriptors" in small("[balancer]\nsockets = 64\n");
    a_balancer_that_ends_is_seen: "dies" breaks "crashed" in small("");
    false_metrics_are_detected: "boasts" breaks "figures" in small("");
    a_number_that_comes_again_is_seen: "stutters" breaks "numbered" in small(KILLED);
    a_datagram_that_is_too_long_is_seen: "shouts" breaks "datagram" in small("");
    a_datagram_that_cannot_be_read_is_seen: "mumbles" breaks "header" in small("");
    an_agreement_that_goes_back_is_seen: "rewinds" breaks "epoch" in small("");
    a_version_used_too_long_is_detected: "clings" breaks "agreed" in small("[bounds]\nagree = \"300ms\"\n");
    too_many_retries_of_all_are_detected: "repeats" breaks "budget" in small("[bounds]\nretries = 0.05\n");
    too_many_trials_of_a_zone_are_seen: "speaks-old" breaks "trials" in
        small("[[bounds.trials]]\nzone = \"a\"\nduring = [\"0s\", \"2s\"]\nmost = 1\n");
    a_tenant_in_its_share_that_loses_is_seen: "favours" breaks "in-share" in small(BESIDE);
    what_is_acted_on_when_it_is_old_is_seen: "remembers" breaks "stale" in small("[bounds]\nage = \"1s\"\n");
    a_balancer_that_never_gets_ready_is_seen: "idles" breaks "not-ready" in small("[balancer]\nready_within = \"1s\"\n");
}

/// Six balancers with a disk: power is lost, disks fill and fail, folders are spoiled, and one is killed over and over.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet: docs/OPEN.md")]
fn a_fleet_with_disks_keeps_every_rule_through_crashes_power_losses_and_disks_that_do_wrong() {
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
    // Four had lost power and came back with what was on their disks.
    assert!(
        log("beside-desk-1").contains("recovery: start 2, a list of"),
        "{}",
        log("beside-desk-1")
    );
    // However often one is killed it serves again, whether or not its disk lets it keep anything.
    let begun = log("front-1").matches("serving on").count();
    assert!(begun > 5, "{begun} starts: {}", log("front-1"));
    assert!(
        play["comeback"]["served_ms"].is_number(),
        "{}",
        play["comeback"]
    );
}
