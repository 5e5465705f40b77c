//! Truncated and mutated frames are handled or refused with a one-line error; nothing panics.
use balancer_simulator::wire::{decode, read_frame};
use balancer_simulator::Host;

const SETTINGS: &[u8] = br#"{"balancers":1,"index":0,"membership_mode":"pushed",
    "classes":[{"objective":100,"deadline":400,"effect":"free"}],"stats":{"columns":["inflight","qps"]},
    "permissions":{"attempts_cap":3},"invariants":{"cold_from":0.2,"ramp_time":9000,"tip_multiple":3}}"#;

/// Size in bytes of a frame's header.
const HEADER_SIZE: usize = 20;

fn frame(now: f64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut frame = vec![0; 4];
    frame.extend((records.len() as u32).to_be_bytes());
    frame.extend(now.to_be_bytes());
    frame.extend(7_u32.to_be_bytes());
    for record in records {
        let mut padded = record.clone();
        padded.resize(48, 0);
        frame.extend(padded);
    }
    frame.extend(tail);
    with_size_field(frame)
}

fn with_size_field(mut frame: Vec<u8>) -> Vec<u8> {
    let size = frame.len() as u32;
    frame[..4].copy_from_slice(&size.to_be_bytes());
    frame
}

/// An entry of an endpoint list: an upstream that is ready.
fn entry(id: u8) -> Vec<u8> {
    [
        &[0, 0, 0, 0, 0, id, 0, 0, 0, 0, 0, 3][..],
        &1_f32.to_be_bytes(),
        &0_f64.to_be_bytes(),
    ]
    .concat()
}

/// Frames of one simulation: a balancer is created and receives two upstreams, three requests, two outcomes, a client
/// disconnect and two timers, and is destroyed.
fn session() -> Vec<Vec<u8>> {
    let target = vec![10, 0, 3];
    let length = (SETTINGS.len() as u32).to_be_bytes();
    let configure = [&[4][..], &7_u64.to_be_bytes(), &[0; 4], &length].concat();
    let table = [&[6, 0, 0, 0, 1][..], &length, &[0, 0, 0, 2]].concat();
    let sync = vec![2, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1];
    let tail = [SETTINGS, &entry(1), &entry(2)].concat();
    let request = |id: u8| {
        [
            &[5, 0, 0, 0, id][..],
            &[0; 5],
            &9_u64.to_be_bytes(),
            &900_f64.to_be_bytes(),
        ]
        .concat()
    };
    let outcome = |id: u8| {
        let head = [8, 0, 0, 0, id, 0, 0, 0, 0, 0, 0, 0, 1, 0, 200];
        let report = [&5_f32.to_be_bytes()[..], &50_f32.to_be_bytes()].concat();
        [&head[..], &12_f64.to_be_bytes(), &[1, 2], &report].concat()
    };
    let requests = [target.clone(), request(1), request(2), request(3)];
    let outcomes = [
        target.clone(),
        outcome(1),
        outcome(2),
        vec![9, 0, 0, 0, 3],
        vec![0, 0, 0, 0, 1],
    ];
    vec![
        frame(0.0, &[target.clone(), configure, table, sync], &tail),
        frame(500.0, &requests, &[]),
        frame(520.0, &outcomes, &[]),
        frame(9_000.0, &[target, vec![0, 0, 0, 0, 2], vec![1]], &[]),
    ]
}

fn assert_one_line(error: &str) {
    assert!(!error.is_empty() && !error.contains('\n'), "{error:?}");
}

/// Reads, decodes and handles a frame; returns whether it was accepted.
fn handle_frame(host: &mut Host, bytes: &[u8]) -> bool {
    let read = read_frame(&mut &bytes[..], 0).map_err(|e| e.to_string());
    let frame = read.and_then(|frame| frame.ok_or_else(|| "no frame".to_string()));
    let decoded = frame.and_then(|frame| decode(&frame, 0).map_err(|e| e.to_string()));
    match decoded.and_then(|batch| host.handle_batch(&batch).map_err(|e| e.to_string())) {
        Ok(reply) => {
            // The reply starts with its size.
            assert_eq!(reply[..4], (reply.len() as u32).to_be_bytes());
            true
        }
        Err(error) => {
            assert_one_line(&error);
            false
        }
    }
}

#[test]
fn unmodified_session_is_accepted_and_sends_a_request() {
    let mut host = Host::default();
    let frames = session();
    assert!(handle_frame(&mut host, &frames[0]));
    let batch = decode(&frames[1], 1).expect("a valid frame");
    let reply = host.handle_batch(&batch).expect("a reply");
    let sends = reply[12..]
        .chunks_exact(24)
        .filter(|action| action[0] == 7)
        .count();
    // The upstreams are in slow start: the balancer decides how many of the three requests it sends.
    assert!(sends >= 1, "{reply:?}");
    assert!(frames[2..]
        .iter()
        .all(|frame| handle_frame(&mut host, frame)));
}

#[test]
fn truncated_frames_are_refused() {
    for full in session() {
        for length in 0..full.len() {
            assert!(
                !handle_frame(&mut Host::default(), &full[..length]),
                "{length}"
            );
            // With its size field corrected, the frame may be accepted: a shorter tail alone can be valid.
            if length >= HEADER_SIZE {
                handle_frame(
                    &mut Host::default(),
                    &with_size_field(full[..length].to_vec()),
                );
            }
        }
    }
}

#[test]
fn mutated_sessions_are_answered_or_refused() {
    // A linear congruential generator with a fixed seed, of which the upper bits are used.
    let mut state = 11_u64;
    let mut below = |n: usize| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize % n.max(1)
    };
    let special_values = [
        f64::NAN,
        f64::INFINITY,
        -1.0,
        0.0,
        1e-320,
        1e300,
        -1e300,
        4e9,
    ];
    let (mut accepted, mut refused) = (0, 0);
    for _ in 0..10_000 {
        let mut host = Host::default();
        for full in session() {
            let mut bytes = full;
            for _ in 0..below(3) {
                let at = below(bytes.len());
                match below(4) {
                    0 => bytes[at] = below(256) as u8,
                    1 => bytes[at] ^= 1 << below(8),
                    2 => {
                        let end = (at + 8).min(bytes.len());
                        bytes[at..end].copy_from_slice(
                            &special_values[below(special_values.len())].to_be_bytes()[..end - at],
                        );
                    }
                    _ => {
                        bytes.truncate(at.max(HEADER_SIZE));
                        bytes = with_size_field(bytes);
                    }
                }
            }
            match handle_frame(&mut host, &bytes) {
                true => accepted += 1,
                false => {
                    refused += 1;
                    break;
                }
            }
        }
    }
    assert!(
        accepted > 2_000 && refused > 2_000,
        "{accepted} accepted, {refused} refused"
    );
}
