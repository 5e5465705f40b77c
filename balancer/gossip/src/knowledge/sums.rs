//! Sums of loads over the tier. Owns the latest loads received from each member.
//!
//! Each member owns its load. An entry has the earliest time at which it can have been created, and an owner's latest
//! entry wins. As this merge is a maximum, order and repetition of datagrams have no effect on the sums. Totals are
//! relayed by every replica; the loads of tenants, which are longer, are sent by their owner only. If not all loads are
//! known, the sums are extrapolated from the known ones. The set of members that are up is an input.
use rand::seq::SliceRandom;
use rand::Rng;

use crate::knowledge::ages::earliest_creation;
use crate::types::{Load, Member, Millis, Sums, TenantLoad};
use crate::wire::v1::age_to_ticks;
use crate::wire::v2::{CompactFloat, TenantRow, Totals, UnnamedTenants, MAX_TENANT_ROWS};

/// Totals older than this are excluded from sums, so that a change is reflected at all replicas within two seconds.
pub const MAX_AGE: Millis = 2_000.0;
/// The maximum age of tenants' loads. As only their owners send them, it takes longer to receive enough.
pub const TENANTS_MAX_AGE: Millis = 3_000.0;
/// A sample of this size suffices for any number of members; a smaller one must be at least half of them. For 16 of 300
/// members whose loads differ by 30%, the error is 7%.
const MIN_SAMPLE: usize = 16;
/// Rows per datagram that rotate over the tenants which are not among the largest.
const ROTATING_ROWS: usize = 2;
/// Limit of other members' totals per datagram, by the available space.
const MAX_OTHER_TOTALS: usize = 18;

/// The loads that one datagram carries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadEntries {
    /// Totals of the sender and of others.
    pub totals: Vec<Totals>,
    /// The load of the sender's tenants without a row; absent if the datagram has no tenants.
    pub unnamed_tenants: Option<UnnamedTenants>,
    /// Some of the sender's tenants.
    pub rows: Vec<TenantRow>,
}

/// Received totals of a member.
#[derive(Clone, Copy, Debug)]
struct ReceivedTotals {
    created: Millis,
    values: [CompactFloat; 4],
}

/// Received tenants' loads of a member.
#[derive(Clone, Debug)]
struct ReceivedTenants {
    created: Millis,
    unnamed: TenantValues,
    rows: Vec<TenantRow>,
}

/// Demand, calls in flight, client connections.
type TenantValues = [f64; 3];

/// The loads received from each candidate, and this replica's own.
#[derive(Debug)]
pub struct LoadTable {
    own: Member,
    tenant_count: usize,
    load: Load,
    observed: Option<Millis>,
    totals: Vec<Option<ReceivedTotals>>,
    tenants: Vec<Option<ReceivedTenants>>,
    /// The index among the smaller tenants of the next rotating row.
    rotation: usize,
}

impl LoadTable {
    pub fn new(own: Member, candidates: u16, tenants: u16) -> LoadTable {
        let candidates = usize::from(candidates);
        LoadTable {
            own,
            tenant_count: usize::from(tenants) + 1,
            load: Load::default(),
            observed: None,
            totals: vec![None; candidates],
            tenants: vec![None; candidates],
            rotation: 0,
        }
    }

    /// Replaces this replica's own load.
    pub fn observe(&mut self, now: Millis, load: Load) {
        self.load = load;
        self.load
            .tenants
            .resize(self.tenant_count, TenantLoad::default());
        self.observed = Some(now);
    }

    /// Merges the loads of a datagram; `transit` bounds its time in transit. The tenants' loads are those of the
    /// sender.
    pub fn handle_loads(
        &mut self,
        now: Millis,
        transit: Millis,
        from: Member,
        entries: LoadEntries,
    ) {
        for entry in &entries.totals {
            self.merge_totals(now, transit, entry);
        }
        if let Some(unnamed) = entries.unnamed_tenants {
            self.merge_tenants(now, transit, from, unnamed, entries.rows);
        }
    }

    fn merge_totals(&mut self, now: Millis, transit: Millis, entry: &Totals) {
        let created = earliest_creation(now, entry.age, transit);
        let Some(known) = self.totals.get_mut(usize::from(entry.owner)) else {
            return;
        };
        let key = (created, entry.values);
        let is_younger = known.is_none_or(|known| key > (known.created, known.values));
        if entry.owner != self.own.0 && now - created <= MAX_AGE && is_younger {
            *known = Some(ReceivedTotals {
                created,
                values: entry.values,
            });
        }
    }

    fn merge_tenants(
        &mut self,
        now: Millis,
        transit: Millis,
        from: Member,
        unnamed: UnnamedTenants,
        mut rows: Vec<TenantRow>,
    ) {
        let created = earliest_creation(now, unnamed.age, transit);
        let Some(known) = self.tenants.get_mut(usize::from(from.0)) else {
            return;
        };
        let is_younger = known.as_ref().is_none_or(|known| created > known.created);
        if now - created > TENANTS_MAX_AGE || !is_younger {
            return;
        }
        rows.retain(|row| usize::from(row.tenant) < self.tenant_count);
        *known = Some(ReceivedTenants {
            created,
            unnamed: unnamed.values.map(CompactFloat::value),
            rows,
        });
    }

    /// The loads for a datagram: own totals, a random selection of others' totals, and own tenants. Tenants are
    /// piggybacked only on pings, so that acks have space for twice as many totals.
    pub fn outgoing(&mut self, now: Millis, with_tenants: bool, rng: &mut impl Rng) -> LoadEntries {
        let own_age = self.observed.and_then(|at| age_to_ticks(now - at));
        let mut entries = LoadEntries::default();
        if let Some(age) = own_age {
            entries.totals.push(Totals {
                owner: self.own.0,
                age,
                values: own_totals(&self.load).map(CompactFloat::of),
            });
        }
        let mut others = self.other_totals(now);
        // Younger totals remain valid for longer, so the selection is from the younger half.
        others.sort_by_key(|entry| entry.age);
        let young = others.len().min(MAX_OTHER_TOTALS.max(others.len() / 2));
        others.truncate(young);
        let (chosen, _) = others.partial_shuffle(rng, MAX_OTHER_TOTALS);
        entries.totals.extend_from_slice(chosen);
        if let Some(age) = own_age.filter(|_| with_tenants) {
            let (rows, values) = self.own_rows();
            entries.unnamed_tenants = Some(UnnamedTenants { age, values });
            entries.rows = rows;
        }
        entries
    }

    /// Received totals of other members that are not older than [`MAX_AGE`].
    fn other_totals(&self, now: Millis) -> Vec<Totals> {
        let entries = self.totals.iter().enumerate();
        let within_bound = entries.filter_map(|(owner, received)| {
            let received = received.filter(|received| now - received.created <= MAX_AGE)?;
            Some(Totals {
                owner: owner as u16,
                age: age_to_ticks(now - received.created)?,
                values: received.values,
            })
        });
        within_bound.collect()
    }

    /// Rows for the largest own tenants and, in rotation, a few of the smaller ones; and the sum of the remaining
    /// tenants.
    fn own_rows(&mut self) -> (Vec<TenantRow>, [CompactFloat; 3]) {
        let tenants = &self.load.tenants;
        let total = sum(tenants.iter());
        let mut named: Vec<usize> = (0..tenants.len()).collect();
        if named.len() > MAX_TENANT_ROWS {
            let share = |at: usize| largest_share(&tenants[at], total);
            named.sort_by(|a, b| share(*b).total_cmp(&share(*a)).then(a.cmp(b)));
            let smaller = named.split_off(MAX_TENANT_ROWS - ROTATING_ROWS);
            let rotating =
                (0..ROTATING_ROWS).map(|at| smaller[(self.rotation + at) % smaller.len()]);
            named.extend(rotating);
            self.rotation = self.rotation.wrapping_add(ROTATING_ROWS);
        }
        let row = |at: &usize| TenantRow {
            tenant: *at as u16,
            values: tenant_load(&tenants[*at]).map(CompactFloat::of),
        };
        let rows: Vec<TenantRow> = named.iter().map(row).collect();
        let named_sum = sum(named.iter().map(|at| &tenants[*at]));
        let unnamed = [0, 1, 2].map(|at| {
            CompactFloat::of(if rows.len() < tenants.len() {
                total[at] - named_sum[at]
            } else {
                0.0
            })
        });
        (rows, unnamed)
    }

    /// The sums over the members `up`, if the loads of enough of them are known.
    pub fn sums(&self, now: Millis, up: &[Member]) -> Option<Sums> {
        let observed = self.observed?;
        let received = self.received_totals(now, up);
        let sample = received.len() + 1;
        let is_enough = sample >= MIN_SAMPLE || sample * 2 >= up.len();
        if now - observed > MAX_AGE || !is_enough || sample > up.len() {
            return None;
        }
        let mut age = now - observed;
        let mut totals = own_totals(&self.load);
        let mut squares = totals[0] * totals[0];
        for entry in &received {
            age = age.max(now - entry.created);
            for (total, value) in totals.iter_mut().zip(entry.values) {
                *total += value.value();
            }
            squares += entry.values[0].value().powi(2);
        }
        let scale = up.len() as f64 / sample as f64;
        let (tenants, tenants_age) = self.tenant_sums(now, up);
        let [demand, capacity, first_attempts, retries] = totals.map(|total| total * scale);
        Some(Sums {
            load: Load {
                demand,
                capacity,
                first_attempts,
                retries,
                tenants,
            },
            age: age.max(tenants_age),
            heard: sample as u32,
            error: standard_error(sample, up.len(), totals[0], squares),
        })
    }

    /// Received totals of the members `up`, except this one, that are not older than [`MAX_AGE`].
    fn received_totals(&self, now: Millis, up: &[Member]) -> Vec<&ReceivedTotals> {
        up.iter()
            .filter(|member| **member != self.own)
            .filter_map(|member| self.totals.get(usize::from(member.0))?.as_ref())
            .filter(|received| now - received.created <= MAX_AGE)
            .collect()
    }

    /// The sum for each tenant, and the age of the oldest load included. A tenant without a row gets an equal share of
    /// the member's unnamed load.
    fn tenant_sums(&self, now: Millis, up: &[Member]) -> (Vec<TenantLoad>, Millis) {
        let mut sums = self.load.tenants.clone();
        let mut sample = 1.0;
        let mut equal_share = [0.0; 3];
        let mut age = 0.0_f64;
        for member in up.iter().filter(|member| **member != self.own) {
            let Some(Some(received)) = self.tenants.get(usize::from(member.0)) else {
                continue;
            };
            if now - received.created > TENANTS_MAX_AGE {
                continue;
            }
            sample += 1.0;
            age = age.max(now - received.created);
            let unnamed_count = self.tenant_count.saturating_sub(received.rows.len()).max(1) as f64;
            let share = received.unnamed.map(|unnamed| unnamed / unnamed_count);
            (0..3).for_each(|at| equal_share[at] += share[at]);
            for row in &received.rows {
                let sum = &mut sums[usize::from(row.tenant)];
                let [demand, calls, client_connections] = row.values.map(CompactFloat::value);
                sum.demand += demand - share[0];
                sum.calls += calls - share[1];
                sum.client_connections += client_connections - share[2];
            }
        }
        let scale = up.len() as f64 / sample;
        for sum in &mut sums {
            sum.demand = (sum.demand + equal_share[0]).max(0.0) * scale;
            sum.calls = (sum.calls + equal_share[1]).max(0.0) * scale;
            sum.client_connections = (sum.client_connections + equal_share[2]).max(0.0) * scale;
        }
        (sums, age)
    }
}

/// The totals of a load, in their order on the wire.
fn own_totals(load: &Load) -> [f64; 4] {
    [
        load.demand,
        load.capacity,
        load.first_attempts,
        load.retries,
    ]
}

/// The load of a tenant, in its order on the wire.
fn tenant_load(tenant: &TenantLoad) -> TenantValues {
    [tenant.demand, tenant.calls, tenant.client_connections]
}

fn sum<'a>(tenants: impl Iterator<Item = &'a TenantLoad>) -> TenantValues {
    tenants
        .map(tenant_load)
        .fold([0.0; 3], |a, b| [a[0] + b[0], a[1] + b[1], a[2] + b[2]])
}

/// The largest of a tenant's shares of the total demand, calls and connections.
fn largest_share(tenant: &TenantLoad, total: TenantValues) -> f64 {
    let shares = tenant_load(tenant).into_iter().zip(total);
    shares
        .map(|(value, total)| if total > 0.0 { value / total } else { 0.0 })
        .fold(0.0, f64::max)
}

/// The relative standard error of a total extrapolated from a sample of `all`, drawn without replacement.
fn standard_error(sample: usize, all: usize, sum: f64, squares: f64) -> f64 {
    if sample >= all || sample < 2 || sum <= 0.0 {
        return 0.0;
    }
    let (sample, all) = (sample as f64, all as f64);
    let mean = sum / sample;
    let variance = ((squares - sample * mean * mean) / (sample - 1.0)).max(0.0);
    (variance / sample * (1.0 - sample / all)).sqrt() / mean
}
