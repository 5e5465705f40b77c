//! Faults that damage the state folder of a balancer.
use balancer_lab::experiment::Damage;
use balancer_lab::state::{copy, damage};
use std::fs;

#[test]
fn damages_a_state_folder_in_every_way() {
    let place = tempfile::TempDir::new().expect("a folder");
    let (own, old) = (place.path().join("own"), place.path().join("old"));
    fs::create_dir_all(own.join("inner")).expect("makes");
    let (a, b) = (own.join("a"), own.join("inner/b"));
    fs::write(&a, b"12345678").expect("writes");
    fs::write(&b, b"x").expect("writes");
    copy(&own, &old).expect("copies");
    damage(&own, Damage::Flipped, &old, |bits| bits - 1).expect("flips");
    assert_eq!(
        (fs::read(&a).expect("reads"), fs::read(&b).expect("reads")),
        (b"1234567\xb8".to_vec(), vec![0xf8])
    );
    damage(&own, Damage::Truncated, &old, |_| 0).expect("truncates");
    assert_eq!(
        (fs::read(&a).expect("reads"), fs::read(&b).expect("reads")),
        (b"1234".to_vec(), vec![])
    );
    damage(&own, Damage::Old, &old, |_| 0).expect("restores");
    assert_eq!(
        (fs::read(&a).expect("reads"), fs::read(&b).expect("reads")),
        (b"12345678".to_vec(), b"x".to_vec())
    );
    damage(&own, Damage::Emptied, &old, |_| 0).expect("empties");
    assert_eq!(fs::read_dir(&own).expect("reads").count(), 0);
}
