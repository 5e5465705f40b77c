//! The simulator's wire format, byte for byte, in both directions. The simulator belongs to the operators and its
//! format is fixed; a build that reads or writes anything else cannot run in it.
#[path = "../../core/tests/common/golden.rs"]
mod golden;

use balancer_core::{
    Action, Availability, Ending, Endpoint, EndpointUpdate, Event, Refusal, Request, RequestId,
    UpstreamId,
};
use balancer_simulator::wire::{decode, endpoint_update, read_frame, Record, Reply};
use balancer_simulator::Host;
use golden::{assert_stored, stored};

/// Frames of one simulation, in an order that a host accepts. Most labels start with the wire's name of the record.
const FRAMES: &str = include_str!("golden/frames.hex");
const REPLIES: &str = include_str!("golden/replies.hex");

const ID: RequestId = RequestId(0x3132_3334);
const UPSTREAM: UpstreamId = UpstreamId(0x0a12_0000_0b01);
const TABLE: u32 = 0x1112_1314;
/// Length in bytes of the settings in the `configure` frame.
const SETTINGS_LENGTH: usize = 254;

fn endpoints() -> Vec<Endpoint> {
    let endpoint = |at: u16, availability, since| Endpoint {
        id: UpstreamId(UPSTREAM.0 + u64::from(at)),
        zone: 0x0102 + 0x0101 * at,
        kind: 3 + at as u8,
        group: 0x0405 + 0x0101 * at,
        availability,
        since,
    };
    vec![
        endpoint(0, Availability::Ready, 6100.5),
        endpoint(1, Availability::Draining, 6200.25),
        endpoint(2, Availability::Removed, 0.0),
    ]
}

fn request(id: u32, class: usize, tenant: usize, deadline: f64, tie: u64) -> Record {
    Record::Event(Event::Request(Request {
        id: RequestId(id),
        class,
        tenant,
        deadline,
        tie,
    }))
}

fn outcome(ending: Ending, closed: bool, report: &[f32]) -> Record {
    let event = Event::Outcome {
        request: ID,
        attempt: 0x0102,
        ending,
        duration: 18.5,
        closed,
    };
    Record::Outcome {
        event,
        upstream: UPSTREAM,
        report: report.to_vec(),
    }
}

/// The label of each stored frame and the record that it decodes to, without the record of the target instance.
#[expect(clippy::too_many_lines, reason = "a table of frames")]
fn frames() -> Vec<(&'static str, Option<Record>)> {
    let sync = |kind| Record::Sync { kind, table: TABLE };
    let frames = vec![
        (
            "configure",
            Record::Configure {
                seed: 0x0102_0304_0506_0708,
                setup: 3..3 + SETTINGS_LENGTH,
            },
        ),
        (
            "table",
            Record::Table {
                number: TABLE,
                endpoints: endpoints(),
            },
        ),
        ("sync_full", sync(0)),
        ("sync_failed", sync(1)),
        ("sync_delta", sync(2)),
        ("sync_cached", sync(3)),
        (
            "ask",
            request(0x3132_3334, 0, 0, 9000.5, 0xa3bc_97df_47c5_6233),
        ),
        (
            "ask_of_another_class_and_tenant",
            request(
                0x3132_3335,
                0xfe,
                0x5152_5354,
                9001.5,
                0x3d03_7944_da8b_2665,
            ),
        ),
        (
            "ask_without_a_key",
            request(0x3132_3336, 0, 0, 9002.5, 0x2d9d_a3af_f643_72f2),
        ),
        (
            "outcome_ok",
            outcome(Ending::Ok, false, &[14.5, 140.25, 7.75, 1.125]),
        ),
        (
            "outcome_error",
            outcome(Ending::Error, false, &[14.5, 140.25, 7.75]),
        ),
        (
            "outcome_full",
            outcome(Ending::Rejected, true, &[14.5, 140.25]),
        ),
        ("outcome_timeout", outcome(Ending::Timeout, false, &[14.5])),
        (
            "outcome_connect_failed",
            outcome(Ending::ConnectFailed, true, &[14.5]),
        ),
        ("outcome_reset", outcome(Ending::Reset, false, &[14.5])),
        (
            "outcome_cancelled",
            outcome(Ending::Cancelled, false, &[14.5]),
        ),
        ("outcome_moot", outcome(Ending::NotSent, true, &[])),
        ("outcome_unknown", outcome(Ending::Unknown, true, &[14.5])),
        (
            "streaming",
            Record::Event(Event::Streaming {
                request: ID,
                attempt: 0x0203,
            }),
        ),
        ("timer", Record::Event(Event::Timer(0x6162_6364))),
        ("sampled", Record::Skip),
        ("whisper", Record::Skip),
        ("dropped", Record::Event(Event::ClientDisconnected(ID))),
        ("destroy", Record::Destroy),
    ];
    let labelled = frames
        .into_iter()
        .map(|(name, record)| (name, Some(record)));
    [("empty", None)].into_iter().chain(labelled).collect()
}

#[test]
fn stored_frames_decode_to_expected_records() {
    let stored = stored(FRAMES);
    assert_eq!(stored.len(), frames().len());
    for (at, ((name, bytes), (expected_name, expected))) in (1..).zip(stored.iter().zip(frames())) {
        assert_eq!(*name, expected_name);
        let batch = decode(bytes, 0).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(
            (batch.now, batch.number),
            (8412.25 + f64::from(at), 0x0102_0300 + at),
            "{name}"
        );
        let needs_target = |record: &Record| !matches!(record, Record::Table { .. });
        let expected: Vec<_> = expected
            .into_iter()
            .flat_map(|record| {
                [
                    needs_target(&record).then_some(Record::Target(0x0304)),
                    Some(record),
                ]
            })
            .flatten()
            .collect();
        assert_eq!(batch.records, expected, "{name}");
    }
}

#[test]
fn every_kind_of_endpoint_update_is_distinguished() {
    let table = Some(endpoints());
    assert_eq!(
        endpoint_update(0, table.as_ref()),
        Ok(EndpointUpdate::Full(endpoints()))
    );
    assert_eq!(
        endpoint_update(1, table.as_ref()),
        Ok(EndpointUpdate::Failed)
    );
    assert_eq!(
        endpoint_update(2, table.as_ref()),
        Ok(EndpointUpdate::Delta(endpoints()))
    );
    assert_eq!(
        endpoint_update(3, table.as_ref()),
        Ok(EndpointUpdate::Cached(endpoints()))
    );
}

#[test]
fn host_answers_every_frame_with_its_number() {
    let mut host = Host::default();
    for (name, bytes) in stored(FRAMES) {
        let frame = read_frame(&mut &bytes[..], 0)
            .expect("a valid header")
            .expect("a frame");
        assert_eq!(frame, bytes, "{name}");
        let batch = decode(&frame, 0).expect("a valid frame");
        let reply = host
            .handle_batch(&batch)
            .unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(reply[..4], (reply.len() as u32).to_be_bytes(), "{name}");
        assert_eq!(reply[8..12], batch.number.to_be_bytes(), "{name}");
    }
}

/// Encodes a separate reply for each action, then one reply with all actions for different instances.
#[test]
fn replies_encode_to_the_stored_bytes() {
    let send = Action::Send {
        request: ID,
        upstream: UPSTREAM,
        timeout: 80.5,
        write_by: 9000.5,
    };
    let reason = Refusal::OverLimit;
    let actions = [
        ("fail", Action::Fail { request: ID }),
        ("close", Action::CloseIdle(UPSTREAM)),
        (
            "refuse",
            Action::Refuse {
                request: ID,
                retry_after: 150.25,
                reason,
            },
        ),
        ("subscribe", Action::Subscribe),
        ("log", Action::Log("two servers — known".into())),
        ("send", send),
        (
            "timer",
            Action::SetTimer {
                after: 500.75,
                token: 0x6162_6364,
            },
        ),
        (
            "cancel",
            Action::Cancel {
                request: ID,
                attempt: 0x0102,
            },
        ),
    ];
    let mut reply = Reply::default();
    let mut encoded = vec![("empty".to_string(), reply.finish(0x0102_0304))];
    for (number, (name, action)) in (0x0102_0305..).zip(&actions) {
        reply.set_instance(0x0304);
        reply.add(action);
        encoded.push((name.to_string(), reply.finish(number)));
    }
    for (instance, (_, action)) in (0x0304..).zip(&actions) {
        reply.set_instance(instance);
        reply.add(action);
    }
    reply.add(&Action::Log("and more".into()));
    encoded.push(("all".into(), reply.finish(0x0102_03ff)));
    assert_stored(REPLIES, &encoded);
}
