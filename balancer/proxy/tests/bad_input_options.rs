//! Options that can't be used are refused with one line; nothing panics.
mod common;
mod mutations;
use balancer_proxy::options::Sources;
use common::*;
use mutations::{is_one_line, mutations};
use std::ffi::OsStr;
use std::os::unix::ffi::OsStrExt;
use std::process::Stdio;
use tempfile::TempDir;

const OPTIONS: &str = "version = 1\n[log]\nlevel = \"warn\"\nrate = 5\nparts = { discovery = \"debug\" }\n\
    [figures]\nevery = \"250ms\"\n[recovery]\nlist_age = \"1h\"\nevery = \"2s\"\nstart_timeout = \"500ms\"\n[peers]\non = false\n";

/// Longer than any time that options take.
const TOO_LONG: &str = "\"300000000000y\"";

#[test]
fn a_variable_of_others_need_not_be_text() {
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
fn a_variable_that_sets_an_option_has_to_be_text() {
    let discovery = Discovery::start();
    let mut command = command(&config(discovery.addr, 1024, "null"));
    command.env("BALANCER_OPTION_LOG_LEVEL", OsStr::from_bytes(b"\xff"));
    let out = command.stdout(Stdio::piped()).output().expect("runs");
    let errors = String::from_utf8(out.stderr).expect("text");
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
fn a_period_that_cannot_be_added_to_the_clock_is_refused() {
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
            is_one_line(&error);
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
fn a_new_process_refuses_a_period_that_its_timers_cannot_take() {
    let (discovery, dir) = (Discovery::start(), TempDir::new().expect("a folder"));
    let mut command = command(&config(discovery.addr, 1024, "null"));
    let folder = format!("recovery.dir={}", dir.path().display());
    command.args([
        "run",
        "--set",
        &folder,
        "--set",
        "recovery.every=300000000000y",
    ]);
    let out = command.stdout(Stdio::piped()).output().expect("runs");
    let errors = String::from_utf8(out.stderr).expect("text");
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
fn mutated_options_are_refused_in_one_line_or_taken() {
    let dir = TempDir::new().expect("a folder");
    let path = dir.path().join("options.toml");
    let sources = Sources {
        file: Some(path.clone()),
        deprecated_file: false,
        set: Vec::new(),
    };
    let read = |text: &[u8]| {
        std::fs::write(&path, text).expect("writes");
        sources.load()
    };
    assert!(read(OPTIONS.as_bytes()).is_ok());
    let deep = format!("[log]\nparts = {}", "[".repeat(100_000));
    is_one_line(&read(deep.as_bytes()).expect_err("deep").to_line());
    let mut mutations = mutations(b'=', TOO_LONG, 3);
    let (mut taken, mut refused) = (0, 0);
    for _ in 0..3_000 {
        match read(&mutations.of(OPTIONS)) {
            Ok(loaded) => {
                taken += 1;
                // What is taken can be added to the clock.
                let options = loaded.options;
                let interval = options.metrics.interval.max(options.recovery.interval);
                assert!(
                    std::time::Instant::now().checked_add(interval).is_some(),
                    "{interval:?}"
                );
            }
            Err(error) => {
                refused += 1;
                is_one_line(&error.to_line());
            }
        }
    }
    assert!(
        taken > 100 && refused > 500,
        "{taken} taken, {refused} refused"
    );
}
