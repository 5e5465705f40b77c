//! Sums over the tier. Owns the freshest figures received of each member.
//!
//! A member owns its figures. Each entry has the time at which it was created at the earliest, and the youngest of an
//! owner wins: a maximum, so that neither order nor repetition matters, and no sum ever loses or doubles what a
//! datagram carried. Totals are relayed by every replica; tenants' figures, which are longer, go from their owner
//! alone. Where not all are known, the mean of those that are is scaled to all.
use rand::seq::SliceRandom;
use rand::Rng;

use crate::knowledge::ages::created;
use crate::types::{Figures, Member, Millis, Sums, TenantFigures};
use crate::wire::v1::ticks;
use crate::wire::v2::{Figure, Rest, Row, Totals, ROWS};

/// Totals older than this are in no sum: what has changed is then known to all within two seconds.
pub const MAX_AGE: Millis = 2_000.0;
/// Tenants' figures may be this old: they come from their owners alone, so they need longer to be enough.
pub const TENANTS_MAX_AGE: Millis = 3_000.0;
/// With so many received the sum is given whatever the number of members; with fewer, if they are half of all. At 16 of
/// 300 whose figures differ by 30 in 100, the error is 7 in 100.
const MIN_SAMPLE: usize = 16;
/// Places among a datagram's tenants that go round over those that are not among the largest.
const ROTATING_ROWS: usize = 2;

/// Totals of a member as received.
#[derive(Clone, Copy, Debug)]
struct ReceivedTotals {
    created: Millis,
    figures: [Figure; 4],
}

/// Tenants' figures of a member as received.
#[derive(Clone, Debug)]
struct ReceivedTenants {
    created: Millis,
    rest: [f64; 3],
    rows: Vec<Row>,
}

/// The figures received of each candidate, and this replica's own.
#[derive(Debug)]
pub struct Entries {
    own: Member,
    tenant_count: usize,
    figures: Figures,
    observed: Option<Millis>,
    totals: Vec<Option<ReceivedTotals>>,
    tenants: Vec<Option<ReceivedTenants>>,
    rotation: usize,
}

impl Entries {
    pub fn new(own: Member, candidates: u16, tenants: u16) -> Entries {
        let n = usize::from(candidates);
        Entries {
            own,
            tenant_count: usize::from(tenants) + 1,
            figures: Figures::default(),
            observed: None,
            totals: vec![None; n],
            tenants: vec![None; n],
            rotation: 0,
        }
    }

    /// Takes this replica's own figures.
    pub fn observe(&mut self, now: Millis, figures: Figures) {
        self.figures = figures;
        self.figures
            .tenants
            .resize(self.tenant_count, TenantFigures::default());
        self.observed = Some(now);
    }

    /// Takes entries that came in a datagram; the tenants' are the sender's.
    pub fn read(
        &mut self,
        now: Millis,
        transit: Millis,
        from: Member,
        totals: &[Totals],
        rest: Option<Rest>,
        rows: Vec<Row>,
    ) {
        for entry in totals {
            let created = created(now, entry.age, transit);
            let Some(known) = self.totals.get_mut(usize::from(entry.owner)) else {
                continue;
            };
            let key = (created, entry.figures);
            let younger = known.is_none_or(|known| key > (known.created, known.figures));
            if entry.owner != self.own.0 && now - created <= MAX_AGE && younger {
                *known = Some(ReceivedTotals {
                    created,
                    figures: entry.figures,
                });
            }
        }
        let Some(rest) = rest else { return };
        let created = created(now, rest.age, transit);
        let Some(known) = self.tenants.get_mut(usize::from(from.0)) else {
            return;
        };
        if now - created <= TENANTS_MAX_AGE
            && known.as_ref().is_none_or(|known| created > known.created)
        {
            let rows = rows
                .into_iter()
                .filter(|row| usize::from(row.tenant) < self.tenant_count)
                .collect();
            *known = Some(ReceivedTenants {
                created,
                rest: rest.figures.map(Figure::value),
                rows,
            });
        }
    }

    /// The figures for a datagram: own totals first, then others' at random, and own tenants.
    /// Tenants are piggybacked on pings alone, so that acks have space for twice the totals.
    pub fn outgoing(
        &mut self,
        now: Millis,
        tenants: bool,
        rng: &mut impl Rng,
    ) -> (Vec<Totals>, Option<Rest>, Vec<Row>) {
        let mut outgoing = Vec::new();
        let own_age = self.observed.and_then(|at| ticks(now - at));
        if let Some(age) = own_age {
            let own = &self.figures;
            let figures = [own.demand, own.room, own.firsts, own.retries].map(Figure::of);
            outgoing.push(Totals {
                owner: self.own.0,
                age,
                figures,
            });
        }
        let entries = self.totals.iter().enumerate();
        let mut others: Vec<Totals> = entries
            .filter_map(|(owner, received)| {
                let received = received.filter(|received| now - received.created <= MAX_AGE)?;
                let age = ticks(now - received.created)?;
                Some(Totals {
                    owner: owner as u16,
                    age,
                    figures: received.figures,
                })
            })
            .collect();
        // The younger half is of use for longer, so it goes first. A datagram has space for 18 at most.
        others.sort_by_key(|entry| entry.age);
        let young = others.len().min(18.max(others.len() / 2));
        others.truncate(young);
        let (chosen, _) = others.partial_shuffle(rng, 18);
        outgoing.extend_from_slice(chosen);
        let Some(age) = own_age.filter(|_| tenants) else {
            return (outgoing, None, Vec::new());
        };
        let (rows, figures) = self.rows();
        (outgoing, Some(Rest { age, figures }), rows)
    }

    /// Own tenants to name, and the sum of those left: the largest, and a few of the others in turn.
    fn rows(&mut self) -> (Vec<Row>, [Figure; 3]) {
        let parts = |tenant: &TenantFigures| [tenant.demand, tenant.calls, tenant.callers];
        let sum = |all: &mut dyn Iterator<Item = &TenantFigures>| {
            all.map(parts)
                .fold([0.0; 3], |a, b| [a[0] + b[0], a[1] + b[1], a[2] + b[2]])
        };
        let all = &self.figures.tenants;
        let total = sum(&mut all.iter());
        // The largest by their share of anything.
        let weight = |tenant: &TenantFigures| {
            let shares = parts(tenant).into_iter().zip(total);
            shares
                .map(|(part, all)| if all > 0.0 { part / all } else { 0.0 })
                .fold(0.0, f64::max)
        };
        let mut order: Vec<usize> = (0..all.len()).collect();
        if order.len() > ROWS {
            order.sort_by(|a, b| weight(&all[*b]).total_cmp(&weight(&all[*a])).then(a.cmp(b)));
            let others = order.split_off(ROWS - ROTATING_ROWS);
            order.extend((0..ROTATING_ROWS).map(|at| others[(self.rotation + at) % others.len()]));
            self.rotation = self.rotation.wrapping_add(ROTATING_ROWS);
        }
        let named = |at: &usize| Row {
            tenant: *at as u16,
            figures: parts(&all[*at]).map(Figure::of),
        };
        let rows: Vec<Row> = order.iter().map(named).collect();
        let named = sum(&mut order.iter().map(|at| &all[*at]));
        let rest = [0, 1, 2].map(|part| {
            Figure::of(if rows.len() < all.len() {
                total[part] - named[part]
            } else {
                0.0
            })
        });
        (rows, rest)
    }

    /// The sums over `up`, if enough of it was received.
    pub fn sums(&self, now: Millis, up: &[Member]) -> Option<Sums> {
        let observed = self.observed?;
        let received: Vec<&ReceivedTotals> = up
            .iter()
            .filter(|member| **member != self.own)
            .filter_map(|member| self.totals.get(usize::from(member.0))?.as_ref())
            .filter(|received| now - received.created <= MAX_AGE)
            .collect();
        let n = received.len() + 1;
        if now - observed > MAX_AGE || (n < MIN_SAMPLE && n * 2 < up.len()) || n > up.len() {
            return None;
        }
        let mut age = now - observed;
        let own = [
            self.figures.demand,
            self.figures.room,
            self.figures.firsts,
            self.figures.retries,
        ];
        let mut totals = own;
        let mut squares = own[0] * own[0];
        for entry in &received {
            age = age.max(now - entry.created);
            for (total, figure) in totals.iter_mut().zip(entry.figures) {
                *total += figure.value();
            }
            squares += entry.figures[0].value().powi(2);
        }
        let scale = up.len() as f64 / n as f64;
        let (tenants, tenants_age) = self.tenants(now, up);
        let [demand, room, firsts, retries] = totals.map(|total| total * scale);
        let figures = Figures {
            demand,
            room,
            firsts,
            retries,
            tenants,
        };
        let error = error(n, up.len(), totals[0], squares);
        Some(Sums {
            figures,
            age: age.max(tenants_age),
            heard: n as u32,
            error,
        })
    }

    /// Each tenant's sum, and the age of the oldest figure in it. What an owner didn't name has an even part of its
    /// rest.
    fn tenants(&self, now: Millis, up: &[Member]) -> (Vec<TenantFigures>, Millis) {
        let mut sums = self.figures.tenants.clone();
        let (mut n, mut even, mut age) = (1.0, [0.0; 3], 0.0_f64);
        for member in up.iter().filter(|member| **member != self.own) {
            let Some(Some(received)) = self.tenants.get(usize::from(member.0)) else {
                continue;
            };
            if now - received.created > TENANTS_MAX_AGE {
                continue;
            }
            n += 1.0;
            age = age.max(now - received.created);
            let unnamed = self.tenant_count.saturating_sub(received.rows.len()).max(1) as f64;
            let part = received.rest.map(|rest| rest / unnamed);
            (0..3).for_each(|at| even[at] += part[at]);
            for row in &received.rows {
                let sum = &mut sums[usize::from(row.tenant)];
                let [demand, calls, callers] = row.figures.map(Figure::value);
                sum.demand += demand - part[0];
                sum.calls += calls - part[1];
                sum.callers += callers - part[2];
            }
        }
        let scale = up.len() as f64 / n;
        for sum in &mut sums {
            sum.demand = (sum.demand + even[0]).max(0.0) * scale;
            sum.calls = (sum.calls + even[1]).max(0.0) * scale;
            sum.callers = (sum.callers + even[2]).max(0.0) * scale;
        }
        (sums, age)
    }
}

/// The relative standard error of a total scaled from `n` of `all`, drawn without putting back.
fn error(n: usize, all: usize, sum: f64, squares: f64) -> f64 {
    if n >= all || n < 2 || sum <= 0.0 {
        return 0.0;
    }
    let (n, all) = (n as f64, all as f64);
    let mean = sum / n;
    let variance = ((squares - n * mean * mean) / (n - 1.0)).max(0.0);
    (variance / n * (1.0 - n / all)).sqrt() / mean
}
