//! Random fault injection. As long as the faults are within the tolerance, no committed entry may be lost or replaced.
mod common;

use common::group::Group;
use rand::{rngs::StdRng, Rng, SeedableRng};

/// Duration of the phase in which faults are injected.
const FAULT_PHASE_MS: u64 = 12_000;
/// Upper bound of the duration of a freeze.
const MAX_FAULT_MS: u64 = 1500;
/// Minimum age of a disk copy when its disk is lost. The others learn a disk's progress from heartbeats, and can't
/// detect a copy that is more recent than the last heartbeat.
const MIN_COPY_AGE_MS: u64 = 200;

/// A fault to inject.
#[derive(Clone, Debug)]
enum Fault {
    /// A process is killed. Everything that it has written stays on the disk.
    Kill(u32),
    /// A machine loses power.
    PowerLoss(u32),
    /// All machines lose power.
    PowerLossOfAll,
    /// All processes are killed.
    KillAll,
    /// A machine freezes.
    Freeze(u32),
    /// The link between two machines is cut.
    PartitionLink(u32, u32),
    /// A machine is cut off from all others.
    Partition(u32),
}

impl Fault {
    fn random(random: &mut StdRng, size: u32) -> Fault {
        let first = random.gen_range(1..=size);
        let other = (first + random.gen_range(0..size - 1)) % size + 1;
        match random.gen_range(0..12) {
            0 | 1 => Fault::Kill(first),
            2 | 3 => Fault::PowerLoss(first),
            4 => Fault::PowerLossOfAll,
            5 => Fault::KillAll,
            6 | 7 => Fault::Freeze(first),
            8 | 9 => Fault::PartitionLink(first.min(other), first.max(other)),
            _ => Fault::Partition(first),
        }
    }
}

/// The kind of a disk loss.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DiskLoss {
    /// The disk is empty.
    Wiped,
    /// The disk is restored from an old copy.
    RestoredFromCopy,
}

/// How many of the active faults are repaired at once.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Repair {
    All,
    /// Each fault with a probability of one half.
    Half,
}

struct Scenario {
    group: Group,
    random: StdRng,
    faults: Vec<String>,
}

impl Scenario {
    fn new(seed: u64, size: u32, tolerance: usize) -> Scenario {
        let mut group = Group::start(size, tolerance);
        group.random = Some(StdRng::seed_from_u64(seed));
        Scenario {
            group,
            random: StdRng::seed_from_u64(!seed),
            faults: Vec::new(),
        }
    }

    /// Advances the time. Every replica that considers itself the head writes an entry every 5 ms.
    fn run_with_writes(&mut self, for_ms: u64) {
        for _ in 0..for_ms / 5 {
            self.group.write_at_all_heads();
            self.group.run(5);
        }
    }

    fn inject(&mut self, fault: &Fault) {
        self.faults.push(format!("{} {fault:?}", self.group.now));
        let until = self.group.now + self.random.gen_range(50..MAX_FAULT_MS);
        match *fault {
            Fault::Kill(address) => self.group.kill_replica(address),
            Fault::PowerLoss(address) => self.group.stop_replica(address),
            Fault::PowerLossOfAll => self
                .group
                .addresses()
                .into_iter()
                .for_each(|at| self.group.stop_replica(at)),
            Fault::KillAll => self
                .group
                .addresses()
                .into_iter()
                .for_each(|at| self.group.kill_replica(at)),
            Fault::Freeze(address) => {
                // An ongoing freeze is never shortened, since postponed disk work must stay in order.
                let frozen_until = self.group.frozen_until.entry(address).or_default();
                *frozen_until = until.max(*frozen_until);
            }
            Fault::PartitionLink(first, other) => {
                self.group.partitioned_links.insert((first, other));
            }
            Fault::Partition(address) => {
                self.group.partitioned.insert(address);
            }
        }
    }

    /// Repairs all or half of the active faults, except freezes, which end by themselves.
    fn repair(&mut self, repair: Repair) {
        let all = repair == Repair::All;
        for address in self.group.addresses() {
            if !self.group.is_running(address) && (all || self.random.gen_bool(0.5)) {
                self.group.start_replica(address);
            }
        }
        let random = &mut self.random;
        self.group
            .partitioned_links
            .retain(|_| !all && random.gen_bool(0.5));
        self.group
            .partitioned
            .retain(|_| !all && random.gen_bool(0.5));
    }

    /// Repairs all faults, then loses `count` disks; in half of the cases the other machines lose power at the same
    /// time. With `RestoredFromCopy`, the lost disks are restored from copies that were taken while the machines were
    /// running.
    fn lose_disks(&mut self, count: usize, loss: DiskLoss) {
        self.repair(Repair::All);
        self.run_with_writes(6000);
        if loss == DiskLoss::RestoredFromCopy {
            self.copy_disks();
        }
        let mut addresses = self.group.addresses();
        for _ in 0..count {
            let lost = addresses.remove(self.random.gen_range(0..addresses.len()));
            self.faults
                .push(format!("{} lost the disk of {lost}", self.group.now));
            self.group.stop_replica(lost);
            match loss {
                DiskLoss::Wiped => self.group.wipe(lost),
                DiskLoss::RestoredFromCopy => self.group.restore_disk(lost),
            }
        }
        let others_lose_power = self.random.gen_bool(0.5);
        for address in addresses.into_iter().filter(|_| others_lose_power) {
            self.group.stop_replica(address);
        }
        let interval = self.random.gen_range(5..600);
        self.run_with_writes(interval);
    }

    /// Copies all disks, then runs for a while, with or without a kill or a freeze.
    fn copy_disks(&mut self) {
        for address in self.group.addresses() {
            self.group.copy_disk(address);
        }
        let size = self.group.addresses().len() as u32;
        let first = self.random.gen_range(1..=size);
        match self.random.gen_range(0..3) {
            0 => self.inject(&Fault::Kill(first)),
            1 => self.inject(&Fault::Freeze(first)),
            _ => {}
        }
        let interval = self.random.gen_range(MIN_COPY_AGE_MS..2500);
        self.run_with_writes(interval);
        self.repair(Repair::All);
    }
}

/// Runs the scenario of one seed; returns the violations.
fn run_scenario(seed: u64, size: u32, tolerance: usize, loss: DiskLoss) -> Vec<String> {
    let mut scenario = Scenario::new(seed, size, tolerance);
    let until = scenario.group.now + FAULT_PHASE_MS;
    while scenario.group.now < until {
        let fault = Fault::random(&mut scenario.random, size);
        scenario.inject(&fault);
        let interval = scenario.random.gen_range(10..800);
        scenario.run_with_writes(interval);
        scenario.repair(Repair::Half);
    }
    scenario.lose_disks(tolerance, loss);
    scenario.repair(Repair::All);
    scenario.run_with_writes(6000);
    let mut violations = Vec::new();
    let committed = scenario.group.committed();
    scenario.run_with_writes(500);
    if scenario.group.committed() <= committed {
        violations.push(format!("no entry was committed after {committed}"));
    }
    if !scenario.group.conflicts.is_empty() {
        violations.push(format!(
            "entries were replaced: {:?}",
            scenario.group.conflicts
        ));
    }
    if !violations.is_empty() {
        violations.push(format!("seed {seed}: {:#?}", scenario.faults));
    }
    violations
}

/// Runs `count` seeds from 0. The environment variables `CONTROL_SEEDS` and `CONTROL_FIRST` override the count and the
/// first seed.
fn run_seeds(count: u64, size: u32, tolerance: usize, loss: DiskLoss) {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("CONTROL_FIRST").unwrap_or(0);
    for seed in first..first + number("CONTROL_SEEDS").unwrap_or(count) {
        let violations = run_scenario(seed, size, tolerance, loss);
        assert!(violations.is_empty(), "{}", violations.join("\n"));
    }
}

#[googletest::test]
fn three_replicas_keep_committed_entries_with_wiped_disks() {
    run_seeds(120, 3, 1, DiskLoss::Wiped);
}

#[googletest::test]
fn five_replicas_keep_committed_entries_with_wiped_disks() {
    run_seeds(60, 5, 2, DiskLoss::Wiped);
}

#[googletest::test]
fn three_replicas_keep_committed_entries_with_restored_disk() {
    run_seeds(60, 3, 1, DiskLoss::RestoredFromCopy);
}

#[googletest::test]
fn five_replicas_keep_committed_entries_with_restored_disks() {
    run_seeds(30, 5, 2, DiskLoss::RestoredFromCopy);
}
