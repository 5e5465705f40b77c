//! The command line and the commands that need no cluster.
use googletest::prelude::*;
use magpiegap::{check_configuration, describe_state, parser};
use std::path::{Path, PathBuf};

fn accepts(words: &[&str]) -> bool {
    parser().run_inner(words).is_ok()
}

#[googletest::test]
fn given_each_verb_when_it_is_called_as_the_pages_say_then_it_is_understood() {
    expect_that!(accepts(&["proxy"]), eq(true));
    expect_that!(accepts(&["agent", "--settings", "a.toml"]), eq(true));
    expect_that!(accepts(&["coordinator"]), eq(true));
    expect_that!(accepts(&["settings", "check", "--settings", "a.toml"]), eq(true));
    expect_that!(accepts(&["config", "check", "c.json"]), eq(true));
    expect_that!(accepts(&["config", "apply", "--at", "127.0.0.1:1", "--base", "0", "c.json"]), eq(true));
    expect_that!(accepts(&["config", "describe", "--at", "127.0.0.1:1"]), eq(true));
    expect_that!(accepts(&["cluster", "status", "--at", "127.0.0.1:1"]), eq(true));
    expect_that!(accepts(&["cluster", "explain", "--at", "127.0.0.1:1", "5c0e7a21d94b36f8"]), eq(true));
    expect_that!(accepts(&["state", "check", "/data"]), eq(true));
    let job = ["--at", "127.0.0.1:1", "--host", "h", "/q/5c0e7a21d94b36f8"];
    for verb in ["status", "cancel", "count"] {
        expect_that!(accepts(&[&["job", verb][..], &job[..]].concat()), eq(true));
    }
    expect_that!(accepts(&[&["job", "submit", "--file", "j.json"][..], &job[..]].concat()), eq(true));
}

#[googletest::test]
fn given_a_wrong_call_when_it_is_read_then_it_is_refused() {
    for words in [&["dance"][..], &["config"], &["cluster", "status", "--at", "nowhere"], &["job", "status"]]
    {
        expect_that!(accepts(words), eq(false));
    }
}

#[googletest::test]
fn given_a_configuration_file_when_it_is_checked_then_its_content_or_fault_is_told() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("configuration.json");
    std::fs::write(&file, r#"{"version":3,"routes":[],"services":[{"name":"s"}]}"#).unwrap();
    expect_that!(check_configuration(&file).unwrap(), eq("version 3: 0 routes, 1 services"));
    std::fs::write(&file, r#"{"version":3,"routes":[{"name":"r"}],"services":[]}"#).unwrap();
    let fault = check_configuration(&file).unwrap_err().to_string();
    expect_that!(fault, contains_substring("routes[0].timeoutMs"));
}

#[googletest::test]
fn given_a_folder_without_state_when_it_is_looked_at_then_that_is_said_and_nothing_is_made() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("no-state-here");
    expect_that!(describe_state(&folder).unwrap_err().to_string(), ends_with("no state of a coordinator"));
    expect_that!(folder.exists(), eq(false));
}
