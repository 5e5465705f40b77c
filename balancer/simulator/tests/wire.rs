//! The codec on the example frames of the simulator's documentation, and on invalid frames.
use balancer_core::{Action, Ending, EndpointUpdate, Event, Request, RequestId, UpstreamId};
use balancer_simulator::wire::{decode, endpoint_update, read_frame, Record, Reply};
use xxhash_rust::xxh3::xxh3_64;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u32> = hex.chars().filter_map(|c| c.to_digit(16)).collect();
    digits.chunks(2).map(|p| (p[0] * 16 + p[1]) as u8).collect()
}

fn padded(hex: &str, size: usize) -> Vec<u8> {
    let mut b = bytes(hex);
    b.resize(size, 0);
    b
}

#[test]
fn documented_empty_batch_and_reply_match() {
    let batch = decode(&bytes("00000014 00000000 40c06e2000000000 00000001"), 0).unwrap();
    assert_eq!(
        (batch.now, batch.number, batch.records.len()),
        (8412.25, 1, 0)
    );
    assert_eq!(
        Reply::default().finish(1),
        bytes("0000000c 00000000 00000001")
    );
}

#[test]
fn documented_batch_and_reply_match() {
    let mut frame = bytes("00000104 00000005 40c06e2000000000 0000000c");
    frame.extend(padded("0a 0003", 48));
    frame.extend(padded(
        "05 5d3a91c4 00 00000000 91f03b7c55d20a64 40c0e62000000000 4028000000000000 01",
        48,
    ));
    frame.extend(padded("00 0000004d", 48));
    frame.extend(padded("0a 0005", 48));
    frame.extend(padded("09 0e6f2b19", 48));
    let batch = decode(&frame, 0).unwrap();
    assert_eq!(batch.records.len(), 5);
    assert_eq!(batch.records[0], Record::Target(3));
    let id = RequestId(0x5d3a_91c4);
    let tie = xxh3_64(&0x91f0_3b7c_55d2_0a64_u64.to_be_bytes());
    let request = Request {
        id,
        class: 0,
        tenant: 0,
        deadline: 8652.25,
        tie,
    };
    assert_eq!(batch.records[1], Record::Event(Event::Request(request)));
    assert_eq!(batch.records[2], Record::Event(Event::Timer(0x4d)));
    assert_eq!(
        batch.records[4],
        Record::Event(Event::ClientDisconnected(RequestId(0x0e6f_2b19)))
    );

    let mut reply = Reply::default();
    reply.set_instance(3);
    reply.add(&Action::Send {
        request: id,
        upstream: UpstreamId(0x0a12_4a07_2bc3),
        timeout: 80.0,
        write_by: f64::INFINITY,
    });
    reply.add(&Action::SetTimer {
        after: 500.0,
        token: 0x4d,
    });
    reply.set_instance(5);
    reply.add(&Action::Log("two servers known".into()));
    let mut expected = bytes("00000095 00000005 0000000c");
    expected.extend(padded("08 0003", 24));
    expected.extend(padded("07 5d3a91c4 0a124a07 2bc3 4054000000000000", 24));
    expected.extend(padded("0a 407f400000000000 0000004d", 24));
    expected.extend(padded("08 0005", 24));
    expected.extend(padded("06 00000000 00000011", 24));
    expected.extend(b"two servers known");
    assert_eq!(reply.finish(12), expected);
}

#[test]
fn documented_endpoint_list_is_decoded() {
    let mut frame = bytes("00000000 00000001 40c06e2000000000 0000000c");
    frame.extend(padded("06 00000000 00000000 00000002", 48));
    frame.extend(bytes(
        "0a124a07 2bc3 0000 00 0000 03 3f800000 0000000000000000",
    ));
    frame.extend(bytes(
        "0a9011f2 2bec 0000 00 0000 03 3fc00000 40b7d40000000000",
    ));
    let size = frame.len() as u32;
    frame[..4].copy_from_slice(&size.to_be_bytes());
    let batch = decode(&frame, 0).unwrap();
    let Record::Table {
        number: 0,
        endpoints,
    } = &batch.records[0]
    else {
        panic!("{batch:?}")
    };
    assert_eq!(endpoints[1].id, UpstreamId(0x0a90_11f2_2bec));
    assert_eq!(endpoints[1].since, 6100.0);
    assert!(
        matches!(endpoint_update(2, Some(endpoints)), Ok(EndpointUpdate::Delta(m)) if m.len() == 2)
    );
}

#[test]
fn invalid_frames_give_specific_errors() {
    let read = |b: &[u8]| read_frame(&mut &b[..], 4).map_err(|e| e.to_string());
    assert!(matches!(read(&[]), Ok(None)));
    assert!(read(&[0, 0]).unwrap_err().contains("ended after 2 of 4"));
    assert!(read(&bytes("ffffffff 00000000"))
        .unwrap_err()
        .contains("stated size"));
    assert!(read(&bytes("00000014 00000000"))
        .unwrap_err()
        .contains("ended after 8 of 20"));
    let mut frame = bytes("00000044 00000001 40c06e2000000000 00000001");
    frame.extend(padded("63", 48));
    assert!(decode(&frame, 2)
        .unwrap_err()
        .to_string()
        .contains("unknown event code 99"));
    frame[7] = 2;
    assert!(decode(&frame, 2)
        .unwrap_err()
        .to_string()
        .contains("do not fit"));
    frame[7] = 1;
    for (code, fields) in [
        ("06", "00000000 00000000 ffffffff"),
        ("04", "0000000000000000 00000000 7fffffff"),
    ] {
        frame.truncate(20);
        frame.extend(padded(&format!("{code} {fields}"), 48));
        assert!(decode(&frame, 2)
            .unwrap_err()
            .to_string()
            .contains("outside the tail"));
    }
}

#[test]
fn outcomes_carry_their_load_report() {
    let mut frame = bytes("00000000 00000002 40c06e2000000000 0000000c");
    // The documented outcome, then one without a report.
    let outcome = "08 5d3a91c4 0000 0a124a07 2bc3 00c8 4032800000000000 01";
    frame.extend(padded(
        &format!("{outcome} 03 41680000 430c0000 40e00000 00000000"),
        48,
    ));
    frame.extend(padded(outcome, 48));
    let size = frame.len() as u32;
    frame[..4].copy_from_slice(&size.to_be_bytes());
    let reports: Vec<_> = decode(&frame, 0)
        .unwrap()
        .records
        .into_iter()
        .map(|r| match r {
            Record::Outcome {
                upstream: UpstreamId(0x0a12_4a07_2bc3),
                report,
                ..
            } => report,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(reports, [vec![14.5, 140.0, 7.0], vec![]]);
}

#[test]
fn unknown_endings_count_as_possibly_run() {
    let mut frame = bytes("00000044 00000001 40c06e2000000000 0000000c");
    frame.extend(padded(
        "08 5d3a91c4 0000 0a124a07 2bc3 0309 4032800000000000 01",
        48,
    ));
    let batch = decode(&frame, 0).unwrap();
    let Record::Outcome {
        event: Event::Outcome { ending, .. },
        ..
    } = &batch.records[0]
    else {
        panic!("{batch:?}");
    };
    assert_eq!(*ending, Ending::Unknown);
    assert!(!ending.never_ran());
}
