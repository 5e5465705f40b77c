//! Independent streams of random numbers, one for each part of a plan.
use crate::experiment::{Millis, Range, Span};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The random streams.
#[derive(Clone, Copy)]
pub(super) enum Stream {
    Machines,
    Net,
    Load,
    Requests,
    Faults,
    Builds,
    /// For a tenant with its own rate.
    Tenant(u64),
    /// For an outage of the front balancers.
    Outage(u64),
}

impl Stream {
    fn number(self) -> u64 {
        match self {
            Stream::Machines => 1,
            Stream::Net => 2,
            Stream::Load => 3,
            Stream::Requests => 4,
            Stream::Faults => 5,
            Stream::Builds => 6,
            Stream::Tenant(n) => 7 | n << 16,
            Stream::Outage(n) => 8 | n << 16,
        }
    }
}

pub(super) fn stream(seed: u64, of: Stream) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ of.number().rotate_left(56))
}

pub(super) fn draw(rng: &mut Pcg64Mcg, range: Range) -> f64 {
    // A number is drawn even for a fixed value, so that changing one value does not shift later draws.
    let unit: f64 = rng.gen();
    range.least + unit * (range.most - range.least)
}

pub(super) fn draw_span(rng: &mut Pcg64Mcg, span: Span) -> Millis {
    draw(rng, span.0)
}

pub(super) fn pick(rng: &mut Pcg64Mcg, weights: &[f64]) -> usize {
    let mut left = rng.gen::<f64>() * weights.iter().sum::<f64>();
    for (i, w) in weights.iter().enumerate() {
        left -= w;
        if left < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}
