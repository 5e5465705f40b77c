//! Invalid settings are refused with a one-line error that names the field; a balancer can run with any accepted ones.
#[path = "../../core/tests/common/mutations.rs"]
mod mutations;
use balancer_core::{
    Action, Availability, Balancer, Ending, Endpoint, EndpointUpdate, Event, Request, RequestId,
    UpstreamId,
};
use balancer_settings::{deployment, Deployment};
use mutations::{Mutations, SplitMix64};

const VALID: &str = r#"{"balancers": 2, "index": 1, "membership_mode": "on_request", "stage": 1, "zone": 0,
    "dcs": ["a", "b"], "kinds": ["m1", "m2"], "stats": {"columns": ["qps", "inflight"]},
    "classes": [{"name": "read", "objective": 100, "deadline": 400, "effect": "free", "late_worth": 0.5},
                {"name": "order", "objective": 100, "deadline": 400, "effect": "guarded", "dedup_scope": "cell",
                 "repeat_window": 900, "importance": 8, "runs_in": [0], "kinds_only": [1]}],
    "tenants": [{"name": "club", "share": 1.0, "quota_per_s": 50}],
    "permissions": {"attempts_cap": 3, "cancel": true, "max_retry_after": 2000, "idle_close": 5000, "max_open": 9,
                    "dial_timeout": 250, "peers": true},
    "invariants": {"cold_from": 0.2, "ramp_time": 9000, "tip_multiple": 3, "ask_within": 9000},
    "charges": {"cross_zone": 0.1}}"#;

/// Replacements for values in mutated settings.
const REPLACEMENT_VALUES: [&str; 26] = [
    "null",
    "true",
    "false",
    "-1",
    "0",
    "-0.0",
    "0.5",
    "1",
    "7",
    "900",
    "1e6",
    "1e-320",
    "1e15",
    "1e300",
    "1e999",
    "-1e999",
    "NaN",
    "Infinity",
    "4294967295",
    "18446744073709551616",
    "65536",
    "\"\"",
    "\"\\u0000\\n\"",
    "[]",
    "{}",
    "[[[[[[[[",
];

/// Runs a balancer with these settings for twelve requests. It must not panic, and no time in its actions may be NaN.
fn run_balancer(deployment: &Deployment, seed: u64) {
    let mut balancer =
        Balancer::new(deployment.policy.clone(), seed, 0.0).expect("validated settings");
    let mut actions = Vec::new();
    let endpoint = |id| Endpoint {
        id: UpstreamId(id),
        zone: (id % 3) as u16,
        kind: (id % 2) as u8,
        group: 0,
        availability: Availability::Ready,
        since: 0.0,
    };
    balancer.handle(
        0.0,
        Event::EndpointUpdate(EndpointUpdate::Full((0..4).map(endpoint).collect())),
        &mut actions,
    );
    for number in 0..12_u32 {
        let now = f64::from(number) * 100.0;
        let class = number as usize % deployment.policy.classes.len();
        let request = Request {
            id: RequestId(number),
            class,
            tenant: 0,
            deadline: now + 400.0,
            tie: 1,
        };
        balancer.handle(now, Event::Request(request), &mut actions);
        for action in std::mem::take(&mut actions) {
            match action {
                Action::Send {
                    request, timeout, ..
                } => {
                    assert!(!timeout.is_nan(), "{timeout}");
                    let ending = if number % 3 == 0 {
                        Ending::Error
                    } else {
                        Ending::Ok
                    };
                    let outcome = Event::Outcome {
                        request,
                        attempt: 0,
                        ending,
                        duration: 50.0,
                        closed: false,
                    };
                    balancer.handle(now + 50.0, outcome, &mut actions);
                }
                Action::SetTimer { after, token } => {
                    assert!(!after.is_nan(), "{after}");
                    balancer.handle(now + 60.0, Event::Timer(token), &mut actions);
                }
                Action::Refuse { retry_after, .. } => {
                    assert!(!retry_after.is_nan(), "{retry_after}")
                }
                _ => {}
            }
        }
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn invalid_settings_are_refused_naming_the_field() {
    let many = |value: &str, n: usize| vec![value; n].join(",");
    let class = r#"{"name": "read", "objective": 100, "deadline": 400, "effect": "free"}"#;
    let tenant = r#"{"name": "t", "share": 1}"#;
    let tenants = |n: usize| format!(r#""tenants": [{}"#, many(tenant, n));
    let old_tenants = r#""tenants": [{"name": "club", "share": 1.0, "quota_per_s": 50}"#;
    let old_classes = r#""classes": [{"name": "read","#;
    let replaced: Vec<(&str, String, &str)> = vec![
        (r#""balancers": 2"#, r#""balancers": 0"#.into(), "balancers"),
        (
            r#""balancers": 2"#,
            r#""balancers": -1"#.into(),
            "balancers",
        ),
        (
            r#""balancers": 2"#,
            r#""balancers": 4294967296"#.into(),
            "balancers",
        ),
        (
            r#""balancers": 2"#,
            r#""balancers": 2, "balancers": 3"#.into(),
            "balancers",
        ),
        (
            r#""balancers": 2"#,
            r#""balancers": 1e300"#.into(),
            "balancers",
        ),
        (
            r#""objective": 100, "deadline": 400, "effect": "free""#,
            r#""objective": 100, "deadline": 0, "effect": "free""#.into(),
            "classes[0].deadline: ",
        ),
        (
            r#""deadline": 400"#,
            r#""deadline": 1e300"#.into(),
            "classes[0].deadline: ",
        ),
        (
            r#""deadline": 400"#,
            r#""deadline": 1e999"#.into(),
            "classes[0].deadline",
        ),
        (
            r#""deadline": 400"#,
            r#""deadline": NaN"#.into(),
            "classes[0].deadline",
        ),
        (
            r#""deadline": 400"#,
            r#""deadline": -5"#.into(),
            "classes[0].deadline: ",
        ),
        (
            r#""deadline": 400"#,
            r#""deadline": "400""#.into(),
            "classes[0].deadline",
        ),
        (
            r#""objective": 100"#,
            r#""objective": 1e-320"#.into(),
            "classes[0].objective",
        ),
        (
            r#""late_worth": 0.5"#,
            r#""late_worth": -0.5"#.into(),
            "classes[0].late_worth: ",
        ),
        (
            r#""importance": 8"#,
            r#""importance": 1e16"#.into(),
            "classes[1].importance: ",
        ),
        (
            r#""repeat_window": 900"#,
            r#""repeat_window": -1"#.into(),
            "classes[1].repeat_window: ",
        ),
        (
            r#""effect": "free""#,
            r#""effect": """#.into(),
            "classes[0].effect: ",
        ),
        (
            r#""runs_in": [0]"#,
            r#""runs_in": [65536]"#.into(),
            "classes[1].runs_in",
        ),
        (
            r#""kinds_only": [1]"#,
            r#""kinds_only": [-1]"#.into(),
            "classes[1].kinds_only",
        ),
        (
            r#""quota_per_s": 50"#,
            r#""quota_per_s": -1"#.into(),
            "tenants[0].quota_per_s: ",
        ),
        (
            r#""quota_per_s": 50"#,
            r#""quota_per_s": NaN"#.into(),
            "tenants[0].quota_per_s",
        ),
        (
            r#""share": 1.0"#,
            r#""share": 1e300"#.into(),
            "tenants[0].share: ",
        ),
        (
            r#""attempts_cap": 3"#,
            r#""attempts_cap": 0"#.into(),
            "permissions.attempts_cap: ",
        ),
        (
            r#""max_open": 9"#,
            r#""max_open": -9"#.into(),
            "permissions.max_open",
        ),
        (
            r#""dial_timeout": 250"#,
            r#""dial_timeout": 1e300"#.into(),
            "permissions.dial_timeout",
        ),
        (
            r#""idle_close": 5000"#,
            r#""idle_close": 1e16"#.into(),
            "permissions.idle_close: ",
        ),
        (
            r#""cold_from": 0.2"#,
            r#""cold_from": 1.5"#.into(),
            "invariants.cold_from: ",
        ),
        (
            r#""ask_within": 9000"#,
            r#""ask_within": 0"#.into(),
            "invariants.ask_within: ",
        ),
        (
            r#""membership_mode": "on_request""#,
            r#""membership_mode": null"#.into(),
            "membership_mode",
        ),
        (r#""zone": 0"#, r#""zone": 65536"#.into(), "zone"),
        (
            r#""columns": ["qps", "inflight"]"#,
            r#""columns": 7"#.into(),
            "stats.columns",
        ),
        (
            old_classes,
            format!(r#""classes": [{},{{"name": "read","#, many(class, 256)),
            "classes: 258 entries",
        ),
        (old_tenants, tenants(65_536), "tenants: 65536 entries"),
        (
            r#""kinds": ["m1", "m2"]"#,
            format!(r#""kinds": [{}]"#, many("\"m\"", 256)),
            "kinds: 256 entries",
        ),
        (
            r#""dcs": ["a", "b"]"#,
            format!(r#""dcs": [{}]"#, many("\"z\"", 65_536)),
            "dcs: 65536 entries",
        ),
        (
            r#""charges": {"#,
            format!(r#""charges": {}{{"#, "[".repeat(100_000)),
            "charges",
        ),
    ];
    for (from, to, expected) in replaced {
        assert!(VALID.contains(from), "{from}");
        let error = deployment(VALID.replacen(from, &to, 1).as_bytes()).expect_err(expected);
        assert!(
            error.contains(expected) && !error.contains('\n'),
            "expected {expected}: {error}"
        );
    }
    // The error names the position of an invalid entry at the end of a long list.
    let last = format!(r#"{},{{"name": "t", "share": -1}}"#, tenants(50_000));
    let error = deployment(VALID.replacen(old_tenants, &last, 1).as_bytes()).expect_err("the last");
    assert!(error.starts_with("tenants[50000].share: "), "{error}");
    // Each list is within its bound, but there are too many pairs of a tenant and a class.
    let classes = format!(r#""classes": [{},{{"name": "read","#, many(class, 40));
    let both = VALID
        .replacen(old_classes, &classes, 1)
        .replacen(old_tenants, &tenants(40_000), 1);
    let error = deployment(both.as_bytes()).expect_err("too many");
    assert!(
        error.starts_with("tenants: 40000 for 42 classes"),
        "{error}"
    );
}

#[test]
fn longest_list_of_kinds_is_accepted() {
    let kinds = format!(r#""kinds": [{}]"#, vec!["\"m\""; 255].join(","));
    let read = deployment(VALID.replace(r#""kinds": ["m1", "m2"]"#, &kinds).as_bytes());
    assert_eq!(read.map(|d| d.kinds.len()), Ok(255));
}

#[test]
fn unknown_fields_are_ignored_whatever_their_value() {
    let nested = format!("{}{}", "[".repeat(100), "]".repeat(100));
    for value in ["1e300", "{\"a\": [null]}", "\"\\ud83d\\ude00\"", &nested] {
        let text = VALID.replacen('{', &format!("{{\"novel\": {value}, "), 1);
        assert_eq!(
            deployment(text.as_bytes()),
            deployment(VALID.as_bytes()),
            "{value}"
        );
    }
}

#[test]
fn truncated_settings_are_refused() {
    for length in 0..VALID.len() {
        assert!(deployment(&VALID.as_bytes()[..length]).is_err(), "{length}");
    }
    assert!(deployment(&[VALID.as_bytes(), &[0xff]].concat()).is_err());
}

#[test]
fn mutated_settings_are_refused_or_usable() {
    let mut mutations = Mutations {
        separator: b':',
        value_ends: b",}]",
        values: REPLACEMENT_VALUES.to_vec(),
        generator: SplitMix64(20_261_202),
    };
    let (mut accepted, mut refused) = (0, 0);
    for round in 0..40_000 {
        let text = mutations.of(VALID);
        match deployment(&text) {
            Ok(deployment) => {
                accepted += 1;
                run_balancer(&deployment, round);
            }
            Err(error) => {
                refused += 1;
                assert!(!error.is_empty() && !error.contains('\n'), "{error:?}");
            }
        }
    }
    // The mutations must produce enough valid and invalid settings.
    assert!(
        accepted > 2_000 && refused > 2_000,
        "{accepted} accepted, {refused} refused"
    );
}
