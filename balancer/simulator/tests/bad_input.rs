//! The binary on invalid input: it writes an error to standard error, exits with a non-zero code and sends no further
//! reply.
use std::io::Write;
use std::process::{Command, Stdio};

fn run(input: &[u8]) -> (bool, Vec<u8>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_balancer-simulator"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    // Writing may fail with a broken pipe: the binary exits at the first error without reading the rest.
    let _ = child.stdin.take().expect("a pipe").write_all(input);
    let out = child.wait_with_output().expect("the binary exits");
    (
        out.status.success(),
        out.stdout,
        String::from_utf8_lossy(&out.stderr).into_owned(),
    )
}

fn frame(records: &[&[u8]], tail: &[u8]) -> Vec<u8> {
    let mut frame = vec![0; 4];
    frame.extend((records.len() as u32).to_be_bytes());
    frame.extend(1000f64.to_be_bytes());
    frame.extend(7u32.to_be_bytes());
    for record in records {
        let mut padded = record.to_vec();
        padded.resize(48, 0);
        frame.extend(padded);
    }
    frame.extend(tail);
    let size = frame.len() as u32;
    frame[..4].copy_from_slice(&size.to_be_bytes());
    frame
}

#[test]
fn empty_batch_is_answered_before_a_clean_exit() {
    let (ok, out, err) = run(&frame(&[], &[]));
    assert!(ok && err.is_empty(), "{err}");
    assert_eq!(out, [0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0, 7]);
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn errors_are_reported_and_replies_stop() {
    let valid = frame(&[], &[]);
    let target: &[u8] = &[10, 0, 3];
    let configure: Vec<u8> = [&[4u8][..], &[0; 8], &[0, 0, 0, 0, 0, 0, 0, 2]].concat();
    let nan = [&[5u8][..], &[0; 17], &f64::NAN.to_be_bytes()].concat();
    let cases: [(Vec<u8>, &str); 10] = [
        ([&valid[..], &valid[..9]].concat(), "frame 1: input ended"),
        (
            [&valid[..], &[0xff; 8]].concat(),
            "frame 1: header: stated size",
        ),
        (
            [&valid[..], &frame(&[&[99]], &[])].concat(),
            "record 0: unknown event code 99",
        ),
        (
            [&valid[..], &frame(&[&[9]], &[])].concat(),
            "no target instance was set",
        ),
        (
            [&valid[..], &frame(&[target, &[2, 3]], &[])].concat(),
            "endpoint update from table 0: the table was never sent",
        ),
        (
            [&valid[..], &frame(&[target, &configure], b"{}")].concat(),
            "settings of instance 3: missing field",
        ),
        (
            [&valid[..], &frame(&[target, &configure], b"{x")].concat(),
            "settings of instance 3",
        ),
        (
            [&valid[..], &frame(&[target, &nan], &[])].concat(),
            "frame 1, record 1: deadline is not finite: NaN",
        ),
        (
            [
                &valid[..],
                &frame(&[&[6, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2]], &[0; 47]),
            ]
            .concat(),
            "outside the tail",
        ),
        (
            [
                &valid[..],
                &frame(&[&[6, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1]], &[9; 24]),
            ]
            .concat(),
            "unknown availability code 9",
        ),
    ];
    for (input, message) in cases {
        let (ok, out, err) = run(&input);
        assert!(
            !ok && err.contains(message),
            "expected {message:?}, got {err:?}"
        );
        assert!(!err.contains("panicked"), "{err}");
        assert_eq!(
            out.len(),
            12,
            "only the valid frame before the error is answered ({message})"
        );
    }
}
