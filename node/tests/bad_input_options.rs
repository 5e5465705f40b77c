//! Options that can't be used are refused with one line; nothing panics.
mod common;
use common::*;
use herondock::options::Sources;
use std::ffi::OsStr;
use std::os::unix::ffi::OsStrExt;
use std::process::Stdio;
use tempfile::TempDir;

const OPTIONS: &str = "version = 1\n[log]\nlevel = \"warn\"\nrate = 5\nparts = { discovery = \"debug\" }\n\
    [figures]\nevery = \"250ms\"\n[recovery]\nlist_age = \"1h\"\nevery = \"2s\"\n[peers]\non = false\n";

/// Messages may quote what was read; they stay this short all the same.
const LINE_MOST: usize = 400;

/// A small generator (SplitMix64): the same numbers for the same seed, always.
struct Numbers(u64);

impl Numbers {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, n: usize) -> usize {
        (self.next() % n.max(1) as u64) as usize
    }
}

/// What may stand where a value was.
const VALUES: [&str; 22] = [
    "null",
    "true",
    "-1",
    "0",
    "0.5",
    "7",
    "1e6",
    "1e-320",
    "1e300",
    "1e999",
    "NaN",
    "Infinity",
    "4294967295",
    "18446744073709551615",
    "18446744073709551616",
    "\"\"",
    "\"\\u0000\\n\"",
    "\"127.0.0.1:0\"",
    "\"300000000000y\"",
    "[]",
    "{}",
    "[[[[[[[[",
];

/// One change or two: a value replaced, a byte changed, a span taken out, doubled or cut off.
fn mutated(text: &str, numbers: &mut Numbers) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..=numbers.below(2) {
        let at = numbers.below(bytes.len());
        let to = (at + 1 + numbers.below(30)).min(bytes.len());
        match numbers.below(10) {
            0 => bytes.truncate(at),
            1 => bytes.iter_mut().skip(at).take(1).for_each(|b| *b = (numbers.next() & 0xff) as u8),
            2 => drop(bytes.drain(at..to)),
            3 => {
                let again = bytes[at..to].to_vec();
                bytes.splice(at..at, again);
            }
            _ => {
                let from = bytes[at..].iter().position(|b| *b == b'=').map_or(at, |p| at + p + 1);
                let ends = |b: &u8| matches!(b, b',' | b'}' | b']' | b'\n');
                let end = bytes[from..].iter().position(ends).map_or(bytes.len(), |p| from + p);
                bytes.splice(from..end, VALUES[numbers.below(VALUES.len())].bytes());
            }
        }
    }
    bytes
}

fn is_one_line(error: &str) {
    let plain = !error.is_empty() && !error.contains(char::is_control);
    assert!(plain && error.chars().count() <= LINE_MOST, "{error:?}");
}

#[test]
fn a_variable_of_others_need_not_be_text() {
    let upstream = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut command =
        command(&config(discovery.addr, 1024, &listing(1, true, &[(0, upstream.addr, "active")])));
    command.env("OF_ANOTHER_PROGRAM", OsStr::from_bytes(b"\xff")).env(OsStr::from_bytes(b"\xfe"), "x");
    let node = Node::run(command, discovery);
    assert_eq!(node.client().call(&get("r1", "5000m")).status(), 200);
}

#[test]
fn a_variable_that_sets_an_option_has_to_be_text() {
    let discovery = Discovery::start();
    let mut command = command(&config(discovery.addr, 1024, "null"));
    command.env("HERONDOCK_LOG_LEVEL", OsStr::from_bytes(b"\xff"));
    let out = command.stdout(Stdio::piped()).output().expect("runs");
    let errors = String::from_utf8(out.stderr).expect("text");
    assert_eq!((out.status.code(), out.stdout.len()), (Some(2), 0), "{errors}");
    assert_eq!(errors, "herondock: HERONDOCK_LOG_LEVEL: not UTF-8\n");
}

#[test]
fn a_period_that_cannot_be_added_to_the_clock_is_refused() {
    for key in ["recovery.every", "figures.every"] {
        for period in ["300000000000y", "25h", "0s", "-1s", "1e300s", "", "99999999999999999999s"] {
            let sources = Sources { file: None, set: vec![format!("{key}={period}")] };
            let error = sources.load().expect_err(period);
            is_one_line(&error);
            assert!(error.starts_with(&format!("--set: {key}: ")), "{error}");
        }
        let sources = Sources { file: None, set: vec![format!("{key}=24h")] };
        assert!(sources.load().is_ok());
    }
}

#[test]
fn a_new_process_refuses_a_period_that_its_timers_cannot_take() {
    let (discovery, dir) = (Discovery::start(), TempDir::new().expect("a folder"));
    let mut command = command(&config(discovery.addr, 1024, "null"));
    let folder = format!("recovery.dir={}", dir.path().display());
    command.args(["run", "--set", &folder, "--set", "recovery.every=300000000000y"]);
    let out = command.stdout(Stdio::piped()).output().expect("runs");
    let errors = String::from_utf8(out.stderr).expect("text");
    assert_eq!((out.status.code(), errors.lines().count()), (Some(2), 1), "{errors}");
    assert!(errors.starts_with("herondock: --set: recovery.every: "), "{errors}");
}

#[test]
fn mutated_options_are_refused_in_one_line_or_taken() {
    let dir = TempDir::new().expect("a folder");
    let path = dir.path().join("options.toml");
    let sources = Sources { file: Some(path.clone()), set: Vec::new() };
    let read = |text: &[u8]| {
        std::fs::write(&path, text).expect("writes");
        sources.load()
    };
    assert!(read(OPTIONS.as_bytes()).is_ok());
    let deep = format!("[log]\nparts = {}", "[".repeat(100_000));
    is_one_line(&read(deep.as_bytes()).expect_err("deep"));
    let mut numbers = Numbers(3);
    let (mut taken, mut refused) = (0, 0);
    for _ in 0..3_000 {
        match read(&mutated(OPTIONS, &mut numbers)) {
            Ok(loaded) => {
                taken += 1;
                // What is taken can be added to the clock.
                let every = loaded.options.figures.every.max(loaded.options.recovery.every);
                assert!(std::time::Instant::now().checked_add(every).is_some(), "{every:?}");
            }
            Err(error) => {
                refused += 1;
                is_one_line(&error);
            }
        }
    }
    assert!(taken > 100 && refused > 500, "{taken} taken, {refused} refused");
}
