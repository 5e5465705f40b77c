//! Unusable options are rejected with a one-line message; nothing panics.
mod common;
mod mutations;
use balancer_proxy::options::Sources;
use common::*;
use mutations::{assert_one_line, mutations};
use std::ffi::OsStr;
use std::os::unix::ffi::OsStrExt;
use std::process::Stdio;
use tempfile::TempDir;

const OPTIONS: &str = "version = 1\n[log]\nlevel = \"warn\"\nrate = 5\nparts = { discovery = \"debug\" }\n\
    [figures]\nevery = \"250ms\"\n[recovery]\nlist_age = \"1h\"\nevery = \"2s\"\nstart_timeout = \"500ms\"\n[peers]\non = false\n";

/// A duration longer than options accept.
const TOO_LONG: &str = "\"300000000000y\"";

#[test]
fn unrelated_variables_may_be_invalid_utf8() {
    let upstream = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut command = command(&config(
        discovery.addr,
        1024,
        &listing(1, true, &[(0, upstream.addr, "active")]),
    ));
    command
        .env("OF_ANOTHER_PROGRAM", OsStr::from_bytes(b"\xff"))
        .env(OsStr::from_bytes(b"\xfe"), "x");
    let node = Node::run(command, discovery);
    assert_eq!(node.client().call(&get("r1", "5000m")).status(), 200);
}

#[test]
fn option_variables_must_be_valid_utf8() {
    let discovery = Discovery::start();
    let mut command = command(&config(discovery.addr, 1024, "null"));
    command.env("BALANCER_OPTION_LOG_LEVEL", OsStr::from_bytes(b"\xff"));
    let out = command
        .stdout(Stdio::piped())
        .output()
        .expect("run the program");
    let errors = String::from_utf8(out.stderr).expect("UTF-8 text");
    assert_eq!(
        (out.status.code(), out.stdout.len()),
        (Some(2), 0),
        "{errors}"
    );
    assert_eq!(
        errors,
        "balancer-proxy: BALANCER_OPTION_LOG_LEVEL: not UTF-8\n"
    );
}

#[test]
fn out_of_range_intervals_are_rejected() {
    for key in ["recovery.every", "figures.every"] {
        for period in [
            "300000000000y",
            "25h",
            "0s",
            "-1s",
            "1e300s",
            "",
            "99999999999999999999s",
        ] {
            let sources = Sources {
                file: None,
                deprecated_file: false,
                set: vec![format!("{key}={period}")],
            };
            let error = sources.load().expect_err(period).to_line();
            assert_one_line(&error);
            assert!(error.starts_with(&format!("--set: {key}: ")), "{error}");
        }
        let sources = Sources {
            file: None,
            deprecated_file: false,
            set: vec![format!("{key}=24h")],
        };
        assert!(sources.load().is_ok());
    }
}

#[test]
fn startup_fails_on_an_out_of_range_interval() {
    let (discovery, dir) = (Discovery::start(), TempDir::new().expect("temp dir"));
    let mut command = command(&config(discovery.addr, 1024, "null"));
    let folder = format!("recovery.dir={}", dir.path().display());
    command.args([
        "run",
        "--set",
        &folder,
        "--set",
        "recovery.every=300000000000y",
    ]);
    let out = command
        .stdout(Stdio::piped())
        .output()
        .expect("run the program");
    let errors = String::from_utf8(out.stderr).expect("UTF-8 text");
    assert_eq!(
        (out.status.code(), errors.lines().count()),
        (Some(2), 1),
        "{errors}"
    );
    assert!(
        errors.starts_with("balancer-proxy: --set: recovery.every: "),
        "{errors}"
    );
}

#[test]
fn mutated_options_are_usable_or_cleanly_rejected() {
    let dir = TempDir::new().expect("temp dir");
    let path = dir.path().join("options.toml");
    let sources = Sources {
        file: Some(path.clone()),
        deprecated_file: false,
        set: Vec::new(),
    };
    let read = |text: &[u8]| {
        std::fs::write(&path, text).expect("write");
        sources.load()
    };
    assert!(read(OPTIONS.as_bytes()).is_ok());
    let nested = format!("[log]\nparts = {}", "[".repeat(100_000));
    assert_one_line(&read(nested.as_bytes()).expect_err("deep").to_line());
    let mut mutations = mutations(b'=', TOO_LONG, 3);
    let (mut accepted, mut rejected) = (0, 0);
    for _ in 0..3_000 {
        match read(&mutations.of(OPTIONS)) {
            Ok(loaded) => {
                accepted += 1;
                // Accepted intervals can be added to the clock.
                let options = loaded.options;
                let interval = options.metrics.interval.max(options.recovery.interval);
                assert!(
                    std::time::Instant::now().checked_add(interval).is_some(),
                    "{interval:?}"
                );
            }
            Err(error) => {
                rejected += 1;
                assert_one_line(&error.to_line());
            }
        }
    }
    assert!(
        accepted > 100 && rejected > 500,
        "{accepted} accepted, {rejected} rejected"
    );
}
