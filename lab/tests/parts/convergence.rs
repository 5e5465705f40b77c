//! Times from a change of the running balancers until the metrics of the balancers show it.
use balancer_lab::audit::Tier;
use balancer_lab::convergence::Convergence;
use std::collections::BTreeSet;

fn view(up: u32, in_sums: u32) -> Tier {
    Tier {
        up,
        in_sums,
        suspected: 0,
        departed: 0,
        steps: 0,
    }
}

#[test]
fn times_end_with_metrics_that_show_the_change() {
    let mut c = Convergence::default();
    let set = |of: &[usize]| of.iter().copied().collect::<BTreeSet<_>>();
    c.runs(0.0, &set(&[0, 1, 2]), false);
    c.observe(0, 50.0, view(3, 3));
    c.runs(1000.0, &set(&[0, 1]), false);
    // Metrics from before the change do not count, nor do metrics that do not show it yet.
    c.observe(0, 990.0, view(2, 2));
    c.observe(0, 1300.0, view(3, 2));
    c.observe(0, 1500.0, view(2, 2));
    c.observe(0, 1900.0, view(2, 2));
    let (members, sums) = c.known();
    assert_eq!((members.times, sums.times, members.never), (1, 1, 0));
    assert!((499.0..502.0).contains(&members.p50_ms) && (299.0..302.0).contains(&sums.p50_ms));
    c.runs(12_000.0, &set(&[0, 1]), false);
    assert_eq!((c.known().0.never, c.known().1.never), (1, 1));
    c.runs(13_000.0, &set(&[0, 1, 2]), true);
    c.observe(0, 13_100.0, view(3, 3));
    assert_eq!(c.known().0.times, 1);
}
