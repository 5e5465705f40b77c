//! Whatever goes wrong within what may be lost, no committed entry is lost or replaced by another one.
mod common;

use common::group::Group;
use rand::{rngs::StdRng, Rng, SeedableRng};

/// How long faults come, in milliseconds.
const TURMOIL_MS: u64 = 12_000;
/// Longest time that one fault lasts.
const MAX_FAULT_MS: u64 = 1500;
/// What is on a disk is known to others after a heartbeat; a copy is at least so old.
const MIN_COPY_AGE_MS: u64 = 200;

/// What goes wrong next.
#[derive(Clone, Debug)]
enum Fault {
    /// A process is killed, and its disk has all that it wrote.
    Kill(u32),
    /// A machine loses power.
    PowerLoss(u32),
    /// All machines lose power.
    PowerLossOfAll,
    /// All processes are killed.
    KillOfAll,
    /// A machine freezes.
    Freeze(u32),
    /// Two machines don't hear each other.
    PartitionLink(u32, u32),
    /// A machine hears none of the others.
    Partition(u32),
}

impl Fault {
    fn any(random: &mut StdRng, size: u32) -> Fault {
        let one = random.gen_range(1..=size);
        let other = (one + random.gen_range(0..size - 1)) % size + 1;
        match random.gen_range(0..12) {
            0 | 1 => Fault::Kill(one),
            2 | 3 => Fault::PowerLoss(one),
            4 => Fault::PowerLossOfAll,
            5 => Fault::KillOfAll,
            6 | 7 => Fault::Freeze(one),
            8 | 9 => Fault::PartitionLink(one.min(other), one.max(other)),
            _ => Fault::Partition(one),
        }
    }
}

/// What becomes of a disk that is lost.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DiskLoss {
    /// It is empty.
    Wiped,
    /// An old copy of it takes its place.
    PutBack,
}

/// How much of what is broken is repaired at once.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Repair {
    All,
    /// Each thing with a chance of one half.
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

    /// Lets time pass; the head, whoever holds itself for it, writes an entry every 5 ms.
    fn pass(&mut self, for_ms: u64) {
        for _ in 0..for_ms / 5 {
            self.group.write_everywhere();
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
            Fault::KillOfAll => self
                .group
                .addresses()
                .into_iter()
                .for_each(|at| self.group.kill_replica(at)),
            Fault::Freeze(address) => {
                // One that is frozen already stays so at least as long: its disk does its work in order.
                let frozen_until = self.group.frozen_until.entry(address).or_default();
                *frozen_until = until.max(*frozen_until);
            }
            Fault::PartitionLink(one, other) => {
                self.group.partitioned_links.insert((one, other));
            }
            Fault::Partition(address) => {
                self.group.partitioned.insert(address);
            }
        }
    }

    /// Some of what is broken is repaired.
    fn repair(&mut self, repair: Repair) {
        let all = repair == Repair::All;
        for address in self.group.addresses() {
            if !self.group.runs(address) && (all || self.random.gen_bool(0.5)) {
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

    /// All is repaired; then up to so many disks are lost, while the others lose power. `PutBack`: they come back from
    /// copies that were taken while the machines ran.
    fn lose_disks(&mut self, count: usize, loss: DiskLoss) {
        self.repair(Repair::All);
        self.pass(6000);
        if loss == DiskLoss::PutBack {
            self.copy_disks();
        }
        let mut addresses = self.group.addresses();
        for _ in 0..count {
            let lost = addresses.remove(self.random.gen_range(0..addresses.len()));
            self.faults
                .push(format!("{} the disk of {lost} is lost", self.group.now));
            self.group.stop_replica(lost);
            match loss {
                DiskLoss::Wiped => self.group.wipe(lost),
                DiskLoss::PutBack => self.group.put_back(lost),
            }
        }
        let others_lose_power = self.random.gen_bool(0.5);
        for address in addresses.into_iter().filter(|_| others_lose_power) {
            self.group.stop_replica(address);
        }
        let interval = self.random.gen_range(5..600);
        self.pass(interval);
    }

    /// Copies all disks; after that a while passes, with a kill, a freeze, or nothing.
    fn copy_disks(&mut self) {
        for address in self.group.addresses() {
            self.group.copy_disk(address);
        }
        let size = self.group.addresses().len() as u32;
        let one = self.random.gen_range(1..=size);
        match self.random.gen_range(0..3) {
            0 => self.inject(&Fault::Kill(one)),
            1 => self.inject(&Fault::Freeze(one)),
            _ => {}
        }
        let interval = self.random.gen_range(MIN_COPY_AGE_MS..2500);
        self.pass(interval);
        self.repair(Repair::All);
    }
}

/// Plays one seed; returns what was violated.
fn play(seed: u64, size: u32, tolerance: usize, loss: DiskLoss) -> Vec<String> {
    let mut scenario = Scenario::new(seed, size, tolerance);
    let until = scenario.group.now + TURMOIL_MS;
    while scenario.group.now < until {
        let fault = Fault::any(&mut scenario.random, size);
        scenario.inject(&fault);
        let interval = scenario.random.gen_range(10..800);
        scenario.pass(interval);
        scenario.repair(Repair::Half);
    }
    scenario.lose_disks(tolerance, loss);
    scenario.repair(Repair::All);
    scenario.pass(6000);
    let mut violations = Vec::new();
    let committed = scenario.group.committed();
    scenario.pass(500);
    if scenario.group.committed() <= committed {
        violations.push(format!("nothing more is committed after {committed}"));
    }
    if !scenario.group.contradictions.is_empty() {
        violations.push(format!(
            "entries were replaced: {:?}",
            scenario.group.contradictions
        ));
    }
    if !violations.is_empty() {
        violations.push(format!("seed {seed}: {:#?}", scenario.faults));
    }
    violations
}

/// Plays some seeds; `CONTROL_SEEDS` in the environment asks for more or fewer, `CONTROL_FIRST` for others.
fn play_all(count: u64, size: u32, tolerance: usize, loss: DiskLoss) {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("CONTROL_FIRST").unwrap_or(0);
    for seed in first..first + number("CONTROL_SEEDS").unwrap_or(count) {
        let violations = play(seed, size, tolerance, loss);
        assert!(violations.is_empty(), "{}", violations.join("\n"));
    }
}

#[googletest::test]
fn given_three_replicas_when_faults_strike_then_what_was_committed_stays() {
    play_all(120, 3, 1, DiskLoss::Wiped);
}

#[googletest::test]
fn given_five_replicas_when_faults_strike_then_what_was_committed_stays() {
    play_all(60, 5, 2, DiskLoss::Wiped);
}

#[googletest::test]
fn given_three_replicas_when_a_disk_is_put_back_from_an_old_copy_then_what_was_committed_stays() {
    play_all(60, 3, 1, DiskLoss::PutBack);
}

#[googletest::test]
fn given_five_replicas_when_disks_are_put_back_from_old_copies_then_what_was_committed_stays() {
    play_all(30, 5, 2, DiskLoss::PutBack);
}
