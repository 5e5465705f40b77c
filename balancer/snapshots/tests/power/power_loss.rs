//! Power loss after every disk operation: samples of the possible disk images are opened.
use crate::disk::*;
use crate::puts::*;
use balancer_snapshots::store::StoreError;
use balancer_snapshots::Store;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// An image that a power loss could leave: each unsynced write lost, applied, or torn at a sector, in any order.
fn image_after_power_loss(
    rng: &mut Pcg64Mcg,
    durable: &[u8],
    unsynced: &[Op],
    variant: usize,
) -> Vec<u8> {
    let mut image = durable.to_vec();
    let mut ops: Vec<Op> = unsynced.to_vec();
    match variant {
        // All unsynced writes are lost, or all are applied.
        0 => ops.clear(),
        1 => {}
        _ => {
            ops.retain(|_| rng.gen_bool(0.6));
            for n in (1..ops.len()).rev() {
                ops.swap(n, rng.gen_range(0..=n));
            }
            for op in &mut ops {
                let torn = rng.gen_bool(0.3);
                let Op::Write(_, bytes) = op else { continue };
                if torn && bytes.len() > 512 {
                    bytes.truncate(rng.gen_range(1..=bytes.len() / 512) * 512);
                }
            }
        }
    }
    ops.iter().for_each(|op| apply(&mut image, op));
    image
}

const VARIANTS: usize = 16;

#[test]
fn power_loss_preserves_last_or_in_flight_put() {
    let disk = Disk::default();
    let mut store = Store::on_backend(disk.clone(), owner()).expect("a store");
    // For each put, the number of disk operations when it returned.
    let mut returned = vec![(disk.position(), None)];
    for put in 0..200 {
        store.put(&payloads(put), 1000.0).expect("puts");
        returned.push((disk.position(), Some(put)));
    }
    let ops = disk.0.lock().expect("no panic").ops.clone();
    let created = returned[0].0;
    let rng = &mut Pcg64Mcg::seed_from_u64(1);
    let (mut durable, mut unsynced, mut opened) = (Vec::new(), Vec::new(), 0);
    for (at, op) in ops.iter().enumerate() {
        unsynced.push(op.clone());
        if matches!(op, Op::Sync) {
            unsynced.drain(..).for_each(|op| apply(&mut durable, &op));
        }
        let at = at + 1;
        let last = returned
            .iter()
            .rev()
            .find(|(position, _)| *position <= at)
            .and_then(|(_, put)| *put);
        for variant in 0..VARIANTS {
            let image = image_after_power_loss(rng, &durable, &unsynced, variant);
            match Store::on_backend(Disk::of(image), owner()) {
                Ok(store) => {
                    let found = number(&store);
                    let next = last.map_or(0, |put| put + 1);
                    assert!(
                        found == last || found == Some(next),
                        "at {at}: {found:?} after {last:?}"
                    );
                }
                // A database whose creation was incomplete contains no records.
                Err(StoreError::Corrupt(_)) if at < created => {}
                Err(e) => panic!("at {at}, variant {variant}: {e}"),
            }
            opened += 1;
        }
    }
    assert!(opened > 10_000, "{opened}");
    let size = disk.0.lock().expect("no panic").image.len();
    assert!(
        size < 4 << 20,
        "200 puts of a few kilobytes have made {size} bytes"
    );
    println!("{opened} images opened, of {} writes and syncs", ops.len());
}

#[test]
fn recovery_survives_repeated_power_loss() {
    let disk = Disk::default();
    let mut store = Store::on_backend(disk.clone(), owner()).expect("a store");
    (0..5).for_each(|put| store.put(&payloads(put), 1000.0).expect("puts"));
    // The store is not closed, so the file must be repaired when it is next opened.
    let mut image = disk.0.lock().expect("no panic").image.clone();
    std::mem::forget(store);
    let rng = &mut Pcg64Mcg::seed_from_u64(2);
    for round in 0..40 {
        let disk = Disk::of(image.clone());
        let store = Store::on_backend(disk.clone(), owner()).expect("recovers");
        assert_eq!(number(&store), Some(4), "round {round}");
        std::mem::forget(store);
        // Power is lost after a random number of the recovery's operations.
        let ops = disk.0.lock().expect("no panic").ops.clone();
        let power_loss = rng.gen_range(0..=ops.len());
        let synced = ops[..power_loss]
            .iter()
            .rposition(|op| matches!(op, Op::Sync))
            .map_or(0, |at| at + 1);
        let mut durable = image.clone();
        ops[..synced].iter().for_each(|op| apply(&mut durable, op));
        image = image_after_power_loss(rng, &durable, &ops[synced..power_loss], 2);
    }
}
