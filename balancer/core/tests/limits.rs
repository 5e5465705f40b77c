//! The published algorithm for tenant limits: its worked example, edge cases and invariants.
use balancer_core::limits;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Compares with the published table, whose whole numbers are roughly rounded: it gives tenant A 3 in cycle 3, where
/// its demand was 3.
fn is_close(got: &[f64], want: &[f64]) {
    for (g, w) in got.iter().zip(want) {
        assert!((g - w).abs() <= 0.75, "limits {got:?}, expected {want:?}");
    }
}

#[test]
fn published_worked_example_is_reproduced() {
    let equal = [1.0; 4];
    let next = |demands: &[f64]| limits(40.0, demands, &equal, 0.1);
    // The first cycle has no demand yet, so that capacity is divided equally.
    is_close(&next(&[0.0; 4]), &[10.0; 4]);
    is_close(&next(&[2.0, 15.0, 10.0, 10.0]), &[5.0, 15.0, 10.0, 10.0]);
    is_close(&next(&[3.0, 15.0, 50.0, 10.0]), &[3.0, 11.0, 16.0, 10.0]);
    is_close(&next(&[0.0, 15.0, 50.0, 5.0]), &[1.0, 12.0, 22.0, 5.0]);
}

#[test]
fn edge_cases_give_valid_limits() {
    assert_eq!(limits(0.0, &[3.0, 0.0], &[1.0, 1.0], 0.1), [0.0, 0.0]);
    assert_eq!(
        limits(12.0, &[50.0], &[1.0], 0.1),
        [12.0],
        "a single tenant gets the full capacity"
    );
    assert_eq!(limits(12.0, &[0.0], &[1.0], 0.1), [12.0]);
    assert_eq!(
        limits(30.0, &[90.0, 40.0, 70.0], &[1.0; 3], 0.1),
        [10.0; 3],
        "if all tenants are over their defaults, limits are the defaults"
    );
    assert_eq!(
        limits(10.0, &[5.0, 5.0], &[0.0, 0.0], 0.1),
        [5.0, 5.0],
        "zero weights give equal shares"
    );
    assert!(limits(10.0, &[], &[], 0.1).is_empty());
    let unequal = limits(100.0, &[500.0, 5.0], &[3.0, 1.0], 0.1);
    assert_eq!(
        unequal,
        [95.0, 5.0],
        "weights set the defaults, and unused capacity is lent"
    );
}

#[test]
fn limits_are_non_negative_and_within_capacity() {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut draw = |max: f64| (rng.next_u32() as f64 / u32::MAX as f64) * max;
    for _ in 0..20_000 {
        let n = 1 + draw(9.0) as usize;
        let capacity = draw(1000.0);
        let demands: Vec<f64> = (0..n).map(|_| draw(2.0).floor() * draw(900.0)).collect();
        let weights: Vec<f64> = (0..n).map(|_| draw(3.0).floor() * draw(1.0)).collect();
        let got = limits(capacity, &demands, &weights, draw(1.0));
        assert!(
            got.iter().all(|&l| l >= 0.0 && l.is_finite()),
            "{capacity} {demands:?} {weights:?}: {got:?}"
        );
        let sum: f64 = got.iter().sum();
        assert!(
            sum <= capacity * (1.0 + 1e-9) + 1e-9,
            "{capacity} {demands:?} {weights:?}: {got:?}"
        );
    }
}
