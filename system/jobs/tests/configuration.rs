//! Configurations are read and validated, and each fault is named by its field.
use googletest::prelude::*;
use magpiegap_jobs::Configuration;

const SERVICE: &str = r#"{"name":"s","healthPath":"/health","maxConnections":64,"guards":true}"#;

fn route(name: &str, prefix: &str, rest: &str) -> String {
    format!(
        r#"{{"name":"{name}","hostname":"h.example","pathPrefix":"{prefix}","service":"s"{rest}}}"#
    )
}

fn configuration(version: &str, routes: &[String]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{SERVICE}]}}"#,
        routes.join(",")
    )
}

fn fault(text: &str) -> String {
    Configuration::parse(text.as_bytes())
        .map(|_| String::new())
        .unwrap_or_else(|error| error.to_string())
}

#[googletest::test]
fn given_a_valid_configuration_when_a_path_is_looked_up_then_the_longest_prefix_counts() {
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
fn given_invalid_configurations_when_they_are_read_then_the_fault_is_named() {
    let valid = route("a", "/x/", r#","timeoutMs":5"#);
    let complete = configuration("4", std::slice::from_ref(&valid));
    expect_that!(fault(&complete), eq(""));
    expect_that!(
        fault(&complete[..complete.len() - 3]),
        starts_with("body is not valid JSON")
    );
    expect_that!(
        fault(&configuration("0", std::slice::from_ref(&valid))),
        starts_with("version")
    );
    expect_that!(
        fault(&configuration("-1", std::slice::from_ref(&valid))),
        starts_with("version")
    );
    expect_that!(
        fault(&configuration("4", &[route("a", "/x/", "")])),
        starts_with("routes[0].timeoutMs")
    );
    expect_that!(
        fault(&configuration(
            "4",
            &[route("a", "/x/", r#","timeoutMs":0"#)]
        )),
        starts_with("routes[0].timeoutMs")
    );
    let same_match = [valid.clone(), route("b", "/x/", r#","timeoutMs":5"#)];
    expect_that!(
        fault(&configuration("4", &same_match)),
        contains_substring("same host and prefix")
    );
    let unknown = valid.replace(r#""service":"s""#, r#""service":"t""#);
    expect_that!(
        fault(&configuration("4", &[unknown])),
        contains_substring("unknown service t")
    );
    expect_that!(fault("[]"), contains_substring("must be an object"));
    expect_that!(fault("\u{0}"), starts_with("body is not valid JSON"));
}
