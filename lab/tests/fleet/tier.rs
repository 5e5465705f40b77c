//! Fleets whose balancers coordinate as one tier: builds of several versions, uneven load, and faults of the network
//! between balancers.
use crate::common::*;

fn stand_in(wrong: &str) -> String {
    format!("exec '{LAB}' stand-in random --wrong {wrong}")
}

/// A balancer that sends a version that a live member can't read breaks a rule, unless they are partitioned.
#[test]
fn an_unreadable_version_is_detected() {
    let fleet_of_two = |more: &str| {
        let builds = r#"
[bounds]
version_grace = "400ms"
[clients]
rate = 20
[[build]]
name = "old"
on = { names = ["front-1"] }
"#;
        fleet(2, 1, "2s", &format!("{builds}{more}"))
    };
    let cut = r#"
[[fault]]
kind = "cut"
at = "0s"
for = "3s"
one_way = true
on = { role = "balancers", zone = "a" }
to = { role = "balancers", zone = "b" }
"#;
    let new = format!("new={}", stand_in("misspeaks"));
    let old = format!("old={}", stand_in("speaks-old"));
    let arguments = ["--program", new.as_str(), "--build", old.as_str()];
    let played = Played::new(&fleet_of_two(""), &arguments);
    let play = played.play("new");
    assert_eq!(
        play["counts"],
        serde_json::json!({ "version": 1 }),
        "{}",
        played.said()
    );
    let case = play["broken"][0]["case"].as_str().expect("a case");
    assert_eq!(case, "front-2 sends version 2; front-1 reads 1 to 1");
    assert!(
        play["datagrams"]["a_second"]
            .as_f64()
            .is_some_and(|n| n > 1.0),
        "{}",
        play["datagrams"]
    );
    let played = Played::new(&fleet_of_two(cut), &arguments);
    assert_eq!(
        played.play("new")["counts"],
        serde_json::json!({}),
        "{}",
        played.said()
    );
}

/// Six real balancers start with the first protocol version and are upgraded one after the other; one is downgraded
/// later. Meanwhile they receive garbage datagrams, datagrams are lost or cut in one direction, and the front has a
/// short outage.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet: docs/OPEN.md")]
fn tier_follows_rolling_upgrade_and_downgrade() {
    let faults = r#"
[options.figures]
dir = "{state}"
every = "200ms"
[options.peers]
on = true
[bounds]
age = "3s"
[clients]
rate = 40
front_notice = "200ms"
[[build]]
name = "old"
options = { peers = { version_most = 1 } }
on = { role = "front" }
[[fault]]
kind = "datagram-garbage"
at = "0s"
for = "19s"
size = 50
[[fault]]
kind = "datagram-loss"
at = "0s"
for = "19s"
size = 0.1
[[fault]]
kind = "upgrade"
at = "500ms"
for = "100ms"
pace = "200ms"
on = { role = "front" }
[[fault]]
kind = "cut"
at = "3s"
for = "1500ms"
one_way = true
on = { role = "balancers", zone = "a" }
to = { role = "balancers", zone = "b" }
[[fault]]
kind = "upgrade"
at = "12s"
for = "100ms"
build = "old"
on = { names = ["front-1"] }
[[fault]]
kind = "outage"
at = "18s"
for = "500ms"
size = 1.0
delay = "100ms"
"#;
    let real = format!("real=exec '{}'", balancer_proxy().display());
    let short = fleet(6, 1, "19s", faults)
        .replace("\"8s\"", "\"1s\"")
        .replace("\"5s\"", "\"1s\"");
    let played = Played::new(&short, &["--program", &real]);
    let play = played.play("real");
    assert_eq!(play["counts"], serde_json::json!({}), "{}", played.said());
    for (b, wanted) in [3, 2, 2, 2, 2, 2].into_iter().enumerate() {
        let all = play["tally"]["starts"].as_array().expect("starts");
        assert_eq!(
            all.iter().filter(|s| s["balancer"] == b).count(),
            wanted,
            "front-{}",
            b + 1
        );
    }
    for name in (2..=6).map(|n| format!("front-{n}")) {
        let log = std::fs::read_to_string(played.out().join(format!("real-1/logs/{name}.log")))
            .expect("its log");
        let (up, down) = (
            log.find("version 2 instead of 1"),
            log.rfind("version 1 instead of 2"),
        );
        assert!(up.is_some() && down > up, "{name}: {log}");
        let dropped = &last_metrics(&played, "real-1", &name)["peers"]["dropped"];
        assert!(
            dropped["broken"].as_u64().is_some_and(|n| n > 50),
            "{name}: {dropped}"
        );
    }
    let out = |d: &&serde_json::Value| {
        d["how"] == "unreached"
            && d["at"]
                .as_f64()
                .is_some_and(|at| (18_000.0..18_500.0).contains(&at))
    };
    assert!(
        play["tally"]["done"]
            .as_array()
            .expect("requests")
            .iter()
            .filter(out)
            .count()
            > 5
    );
}

/// The last metrics that a balancer wrote.
fn last_metrics(played: &Played, play: &str, name: &str) -> serde_json::Value {
    let path = played
        .out()
        .join(play)
        .join("state")
        .join(name)
        .join("figures.json");
    serde_json::from_slice(&std::fs::read(path).expect("its metrics")).expect("JSON")
}

/// Four real balancers that share their demand get far more requests than the upstreams have capacity for.
#[test]
fn load_shedding_keeps_all_rules_and_retry_budget() {
    let burst = r#"
[options.figures]
dir = "{state}"
every = "200ms"
[options.peers]
on = true
[bounds]
retries = 0.2
age = "3s"
[clients]
load = 0.7
quota = 0.8
retries = 2
[[fault]]
kind = "burst"
at = "4s"
for = "3s"
size = 2.5
of = { class = "read" }
"#;
    let real = format!("real=exec '{}'", balancer_proxy().display());
    let slow = fleet(4, 1, "9s", burst).replace("speed = 2.0", "speed = 0.2");
    let played = Played::new(
        &slow.replace("\"8s\"", "\"1s\"").replace("\"5s\"", "\"1s\""),
        &["--program", &real],
    );
    let play = played.play("real");
    assert_eq!(play["counts"], serde_json::json!({}), "{}", played.said());
    assert!(
        play["figures"]["refused"]
            .as_f64()
            .is_some_and(|part| part > 0.05),
        "{}",
        played.said()
    );
    for name in (1..=4).map(|n| format!("front-{n}")) {
        let peers = &last_metrics(&played, "real-1", &name)["peers"];
        assert_eq!(
            (&peers["up"], &peers["sums"]["heard"]),
            (&4.into(), &4.into()),
            "{name}: {peers}"
        );
    }
}

/// Two sets of options run on the same plan, so that only the options differ.
#[test]
fn option_sets_run_on_the_same_plan() {
    let quiet = "quiet=log.level = \"warn\", figures.dir = \"\"";
    let real = format!("real=exec '{}'", balancer_proxy().display());
    let experiment = fleet(
        1,
        1,
        "1s",
        "[options.figures]\ndir = \"{state}\"\n[clients]\nrate = 30\n",
    );
    let arguments = [
        "--program",
        real.as_str(),
        "--options",
        "plain",
        "--options",
        quiet,
        "--plays",
        "2",
        "--new-draws",
    ];
    let played = Played::new(&experiment, &arguments);
    let said = played.said();
    assert_eq!(played.output.status.code(), Some(0), "{said}");
    assert_eq!(played.play("plain")["seed"], played.play("quiet")["seed"]);
    let has_metrics = |name: &str| {
        played
            .out()
            .join(name)
            .join("state/front-1/figures.json")
            .is_file()
    };
    assert_eq!(
        (
            has_metrics("plain-1"),
            has_metrics("quiet-1"),
            has_metrics("plain-2")
        ),
        (true, false, true)
    );
    assert!(
        said.contains("quiet minus plain, for each play") && said.contains("tenant club"),
        "{said}"
    );
    for (wrong, what) in [
        ("a b", "a name has"),
        ("x=[", "--options x=[: "),
        ("x=1", "--options x=1: "),
    ] {
        let played = Played::new(&experiment, &["--program", &real, "--options", wrong]);
        assert!(
            played.output.status.code() == Some(2) && played.said().contains(what),
            "{}",
            played.said()
        );
    }
}
