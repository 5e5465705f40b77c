//! Parsing and validation of configurations, and route lookup.
use googletest::prelude::*;
use magpiegap_jobs::Configuration;

const SERVICE: &str = r#"{"name":"s","healthPath":"/health","maxConnections":64,"guards":true}"#;

fn route(name: &str, prefix: &str, more_fields: &str) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"h.example","pathPrefix":"{prefix}","service":"s"{more_fields}}}"#
    )
}

fn configuration(version: &str, routes: &[String]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{SERVICE}]}}"#,
        routes.join(",")
    )
}

fn parse_error(text: &str) -> String {
    Configuration::parse(text.as_bytes())
        .map(|_| String::new())
        .unwrap_or_else(|error| error.to_string())
}

#[googletest::test]
fn lookup_selects_the_longest_matching_prefix() {
    let routes = [
        route("a", "/x/", r#","timeoutMs":5"#),
        route("b", "/x/y/", r#","timeoutMs":5,"priority":2"#),
    ];
    let configuration = Configuration::parse(configuration("4", &routes).as_bytes()).unwrap();
    let name = |path| {
        configuration
            .route("h.example", path)
            .map(|route| route.name.as_str())
    };
    expect_that!(name("/x/1"), some(eq("a")));
    expect_that!(name("/x/y/1"), some(eq("b")));
    expect_that!(name("/z"), none());
    expect_that!(configuration.route("other.example", "/x/1"), none());
}

#[googletest::test]
fn parse_errors_identify_the_invalid_element() {
    let valid = route("a", "/x/", r#","timeoutMs":5"#);
    let complete = configuration("4", std::slice::from_ref(&valid));
    expect_that!(parse_error(&complete), eq(""));
    expect_that!(
        parse_error(&complete[..complete.len() - 3]),
        starts_with("not readable as JSON")
    );
    expect_that!(
        parse_error(&configuration("0", std::slice::from_ref(&valid))),
        starts_with("version")
    );
    expect_that!(
        parse_error(&configuration("-1", std::slice::from_ref(&valid))),
        starts_with("version")
    );
    expect_that!(
        parse_error(&configuration("4", &[route("a", "/x/", "")])),
        starts_with("routes[0].timeoutMs")
    );
    expect_that!(
        parse_error(&configuration(
            "4",
            &[route("a", "/x/", r#","timeoutMs":0"#)]
        )),
        starts_with("routes[0].timeoutMs")
    );
    let duplicate_match = [valid.clone(), route("b", "/x/", r#","timeoutMs":5"#)];
    expect_that!(
        parse_error(&configuration("4", &duplicate_match)),
        contains_substring("same host and prefix")
    );
    let unknown_service = valid.replace(r#""service":"s""#, r#""service":"t""#);
    expect_that!(
        parse_error(&configuration("4", &[unknown_service])),
        contains_substring("unknown service t")
    );
    expect_that!(parse_error("[]"), contains_substring("must be an object"));
    expect_that!(parse_error("\u{0}"), starts_with("not readable"));
}

/// Guards against configurations that end every coordinator that parses them, by an overflow of its stack.
#[googletest::test]
fn deeply_nested_configurations_are_rejected() {
    let too_deep = "nested more than 64 levels deep";
    let nested = |open: &str, depth: usize| {
        let text = format!("{{\"version\":1,\"more\":{}", open.repeat(depth));
        parse_error(&text)
    };
    for open in ["[", "{\"a\":", "[{\"a\":"] {
        for depth in [100, 200_000, 3_000_000] {
            expect_that!(nested(open, depth), eq(too_deep), "{open} {depth}");
        }
    }
    // Brackets in strings are not nested, also behind escaped quotes; neither are those that follow one another.
    let text = "[\\\"[".repeat(1000);
    let pairs = vec!["[]"; 1000].join(",");
    let valid = route("a", "/x/", r#","timeoutMs":5"#);
    let flat = configuration("4", &[valid]);
    let flat = flat.replacen(
        '{',
        &format!("{{\"text\":\"{text}\",\"pairs\":[{pairs}],"),
        1,
    );
    expect_that!(parse_error(&flat), eq(""));
    let within = format!(
        "{{\"version\":1,\"more\":{}{}}}",
        "[".repeat(63),
        "]".repeat(63)
    );
    expect_that!(parse_error(&within), not(eq(too_deep)));
}
