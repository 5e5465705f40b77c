//! Unusable configurations and lists are rejected with a one-line message; nothing panics.
mod mutations;
use balancer_core::Balancer;
use balancer_proxy::config::Config;
use balancer_proxy::{Listing, Names};
use mutations::{assert_one_line, mutations};

const GOOD: &str = r#"{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"sockets":1024},"peer_listen":"127.0.0.1:7","peers":["127.0.0.1:7","127.0.0.1:8"],
    "known":{"version":4,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:10","zone":"a","kind":"m2",
        "cell":3,"state":"active","weight":1.0,"started_ms":0}]},
    "settings":{"balancers":2,"index":1,"membership_mode":"on_request","dcs":["a"],"kinds":["m1","m2"],
        "classes":[{"name":"read","objective":100,"deadline":400,"effect":"free"}],
        "tenants":[{"name":"club","share":1.0,"quota_per_s":50}],
        "permissions":{"attempts_cap":3},"invariants":{"cold_from":0.2,"ramp_time":9000,"tip_multiple":3}}}"#;

const LIST: &str = r#"{"version":4,"full":false,"servers":[
    {"id":"s-1","addr":"127.0.0.1:10","zone":"a","kind":"m2","cell":3,"state":"active","weight":1.0,"started_ms":5},
    {"id":"s-2","addr":"127.0.0.1:11","zone":"a","kind":"m2","cell":3,"state":"left","weight":0,"started_ms":0}]}"#;

/// A duration longer than a configuration accepts.
const TOO_LONG: &str = "\"9000000000y\"";

fn names() -> Names {
    Names::of(
        &Config::parse(GOOD.as_bytes())
            .expect("valid input")
            .deployment,
    )
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of inputs and their errors")]
fn configuration_errors_name_the_invalid_field() {
    let long = format!("\"seed\":\"{}\"", "x\u{1b}".repeat(1 << 20));
    let sockets = "\"sockets\":1024";
    for (from, to, expected) in [
        ("\"name\":\"n3\"", "\"name\":\"n3\\nserving\"", "name: "),
        ("\"name\":\"n3\"", "\"name\":3", "name: "),
        (
            "\"name\":\"n3\"",
            "\"name\":\"n3\",\"name\":\"n4\"",
            "duplicate field `name`",
        ),
        (
            "\"listen\":\"127.0.0.1:0\"",
            "\"listen\":\"127.0.0.1:65536\"",
            "listen: ",
        ),
        (
            "\"discovery\":\"127.0.0.1:9\"",
            "\"discovery\":null",
            "discovery: ",
        ),
        ("\"discovery\":\"127.0.0.1:9\",", "", "discovery"),
        ("\"seed\":\"8c1f30d27a5be964\"", long.as_str(), "seed: "),
        ("8c1f30d27a5be964", "18c1f30d27a5be964", "seed: "),
        (sockets, "\"sockets\":0", "limits.sockets: "),
        (sockets, "\"sockets\":-1", "limits.sockets: "),
        (sockets, "\"sockets\":1e300", "limits.sockets: "),
        (sockets, "\"sockets\":1e999", "limits.sockets: "),
        (sockets, "\"sockets\":NaN", "limits.sockets: "),
        (
            sockets,
            "\"sockets\":18446744073709551616",
            "limits.sockets: ",
        ),
        ("\"limits\":{", "\"limits\":[{", "limits"),
        (
            "\"deadline\":400",
            "\"deadline\":0",
            "settings: classes[0].deadline: ",
        ),
        (
            "\"deadline\":400",
            "\"deadline\":1e300",
            "settings: classes[0].deadline: ",
        ),
        (
            "{\"name\":\"club\"",
            "{\"name\":\"club\",\"share\":1},{\"name\":\"club\"",
            "settings.tenants[1].name: ",
        ),
        ("\"settings\":{", "\"settings\":null,\"x\":{", "settings: "),
    ] {
        assert!(GOOD.contains(from), "{from}");
        let error = Config::parse(GOOD.replacen(from, to, 1).as_bytes())
            .err()
            .expect(expected)
            .to_string();
        assert_one_line(&error);
        assert!(error.contains(expected), "expected {expected}: {error}");
    }
    let invalid_utf8 = [&GOOD.as_bytes()[..20], &[0xff], &GOOD.as_bytes()[20..]].concat();
    assert_one_line(
        &Config::parse(&invalid_utf8)
            .err()
            .expect("not UTF-8")
            .to_string(),
    );
}

#[test]
fn unknown_fields_are_ignored_whatever_their_value() {
    let nested = format!("{}{}", "[".repeat(100), "]".repeat(100));
    for value in ["1e300", "{\"a\":[null]}", "\"\\ud83d\\ude00\"", &nested] {
        let with = |text: &str| text.replacen('{', &format!("{{\"novel\":{value},"), 1);
        assert!(
            Config::parse(with(GOOD).as_bytes()).is_ok_and(|c| c.known.is_some()),
            "{value}"
        );
        assert!(
            Listing::parse(with(LIST).as_bytes(), &names()).is_ok(),
            "{value}"
        );
    }
}

#[test]
fn input_truncated_at_any_length_is_rejected() {
    for length in 0..GOOD.len() {
        assert_one_line(
            &Config::parse(&GOOD.as_bytes()[..length])
                .err()
                .expect("truncated input")
                .to_string(),
        );
    }
    let names = names();
    for length in 0..LIST.len() {
        let error = Listing::parse(&LIST.as_bytes()[..length], &names).expect_err("cut off");
        assert_one_line(&error.to_string());
    }
}

#[test]
fn unusable_list_is_rejected_completely() {
    let names = names();
    for (from, to, expected) in [
        ("\"version\":4", "\"version\":\"4\"", "version"),
        ("\"version\":4", "\"version\":1e300", "version"),
        (
            "\"version\":4",
            "\"version\":18446744073709551616",
            "version",
        ),
        ("\"version\":4", "\"version\":4,\"version\":5", "version"),
        ("\"full\":false,", "", "full"),
        ("\"servers\":[", "\"servers\":{},\"x\":[", "servers"),
        ("\"id\":\"s-2\"", "\"id\":\"\"", "servers[1].id"),
        (
            "\"addr\":\"127.0.0.1:11\"",
            "\"addr\":\"127.0.0.1\"",
            "servers[1].addr",
        ),
        (
            "\"cell\":3,\"state\":\"left\"",
            "\"cell\":65536,\"state\":\"left\"",
            "servers[1].cell",
        ),
        ("\"state\":\"left\"", "\"state\":null", "servers[1].state"),
        (
            "\"state\":\"left\"",
            "\"state\":\"odd\"",
            "servers[1].state",
        ),
        (
            "\"started_ms\":0",
            "\"started_ms\":-1",
            "servers[1].started_ms",
        ),
        (
            "\"started_ms\":0",
            "\"started_ms\":1e300",
            "servers[1].started_ms",
        ),
        (
            "\"started_ms\":0",
            "\"started_ms\":1e999",
            "servers[1].started_ms",
        ),
    ] {
        assert!(LIST.contains(from), "{from}");
        let error = Listing::parse(LIST.replacen(from, to, 1).as_bytes(), &names)
            .expect_err(expected)
            .to_string();
        assert_one_line(&error);
        assert!(error.contains(expected), "expected {expected}: {error}");
    }
}

#[test]
fn mutated_configurations_are_usable_or_cleanly_rejected() {
    let mut mutations = mutations(b':', TOO_LONG, 1);
    let (mut accepted, mut rejected, mut without_list) = (0, 0, 0);
    for _ in 0..20_000 {
        match Config::parse(&mutations.of(GOOD)) {
            Ok(config) => {
                accepted += 1;
                if let Some(error) = &config.known_error {
                    without_list += 1;
                    assert_one_line(error);
                }
                Balancer::new(config.deployment.policy, config.seed, 0.0)
                    .expect("validated configuration");
            }
            Err(error) => {
                rejected += 1;
                assert_one_line(&error.to_string());
            }
        }
    }
    let counts = (accepted, rejected, without_list);
    assert!(
        accepted > 500 && rejected > 500 && without_list > 100,
        "{counts:?}"
    );
}

#[test]
fn mutated_lists_are_usable_or_cleanly_rejected() {
    let (mut mutations, names) = (mutations(b':', TOO_LONG, 2), names());
    let (mut accepted, mut rejected) = (0, 0);
    for _ in 0..20_000 {
        match Listing::parse(&mutations.of(LIST), &names) {
            Ok(listing) => {
                accepted += 1;
                assert!(listing.endpoints().all(|m| (0.0..1e15).contains(&m.since)));
            }
            Err(error) => {
                rejected += 1;
                assert_one_line(&error.to_string());
            }
        }
    }
    assert!(
        accepted > 500 && rejected > 500,
        "{accepted} accepted, {rejected} rejected"
    );
}
