//! Datagrams that any host with access to the port can send must have no lasting effect.
mod common;
use balancer_gossip::{Member, HEADER_LEN, MAGIC};
use common::{Sim, LOSSY};
use proptest::prelude::*;

/// A datagram with a valid header and checksum and an arbitrary payload.
fn sealed(version: u8, position: u16, incarnation: u64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend([version, 1, 2]);
    bytes.extend(position.to_be_bytes());
    bytes.extend(incarnation.to_be_bytes());
    bytes.extend(7_u32.to_be_bytes());
    bytes.extend(1_u64.to_be_bytes());
    assert_eq!(bytes.len(), HEADER_LEN);
    bytes.extend(payload);
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_be_bytes());
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]
    #[test]
    fn arbitrary_bytes_have_no_lasting_effect(
        seed in any::<u64>(),
        datagrams in prop::collection::vec(
            (0..6_u16, prop::collection::vec(any::<u8>(), 0..300), 0..4_u8, any::<u64>()), 1..80,
        ),
    ) {
        let mut sim = Sim::tier(5, 3, LOSSY, seed);
        let before = sim.with(0, |peers, _| peers.counts());
        let mut sent = 0;
        for (from, bytes, kind, incarnation) in &datagrams {
            let bytes = match kind {
                0 => bytes.clone(),
                1 => bytes[..bytes.len().min(20)].to_vec(),
                _ => sealed(*kind - 1, *from, incarnation % 2_000, &bytes[..bytes.len().min(225)]),
            };
            sim.with(0, |peers, now| peers.handle_datagram(now, Member(*from), &bytes));
            sent += 1;
            sim.run(5.0);
        }
        let after = sim.with(0, |peers, _| peers.counts());
        let rejected = |counts: balancer_gossip::Counters| counts.malformed + counts.foreign_deployment + counts.unsupported_version + counts.too_old;
        // Random bytes are rarely a valid payload; up to 8 accepted ones are tolerated.
        prop_assert!(rejected(after) - rejected(before) + 8 >= sent, "{before:?} {after:?}");
        sim.run(6_000.0);
        for at in 0..5 {
            let state = sim.tier_state(at);
            prop_assert!(state.up == 5 && state.is_joined && state.evidence.is_empty(), "{state:?}");
        }
    }

    #[test]
    fn replayed_datagrams_do_not_revive_a_failed_member(seed in any::<u64>()) {
        let mut sim = Sim::tier(6, 3, LOSSY, seed);
        sim.is_recording = true;
        sim.run(2_000.0);
        sim.is_recording = false;
        let recorded = std::mem::take(&mut sim.recorded);
        // A replica is killed, and all earlier datagrams are replayed a minute later.
        sim.kill(2);
        sim.run(60_000.0);
        let failed = sim.with(0, |peers, _| peers.counts().failed);
        for (from, to, bytes) in recorded {
            sim.send(from, to, bytes);
        }
        for _ in 0..20 {
            sim.run(200.0);
            for at in sim.alive() {
                prop_assert_eq!(sim.tier_state(at).up, 5);
            }
        }
        prop_assert_eq!(sim.with(0, |peers, _| peers.counts().failed), failed);
    }
}
