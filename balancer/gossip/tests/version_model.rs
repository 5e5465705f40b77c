//! The agreement that runs, explored by a model checker: three replicas of two builds, of which one reads version 1 and
//! one both.
//!
//! Any of the headers that a replica has written last may come to any other at any time, again and again, or never:
//! that is delay, loss, repetition and reordering. A replica takes another for live when it has acted on a datagram of
//! it or when a third reports it, and for gone at any time, wrongly too. Each clock runs as fast as it likes: the
//! step-up delay ends whenever. Copies start anew in either build with nothing remembered but a larger incarnation.
use balancer_gossip::versions::agreement::Agreement;
use balancer_gossip::versions::rules::{Rule, Rules, MAX_STEP_UP_DELAY};
use balancer_gossip::{Member, VersionRange};
use stateright::{Checker, Model, Property};

const REPLICAS: usize = 3;
const OLD: VersionRange = VersionRange { min: 1, max: 1 };
const NEW: VersionRange = VersionRange { min: 1, max: 2 };

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Header {
    incarnation: u64,
    supported_versions: VersionRange,
    epoch: u64,
    version: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Replica {
    agreement: Agreement,
    incarnation: u64,
    supported_versions: VersionRange,
    up: [bool; REPLICAS],
    /// The latest start of each of the others that it has received, and what that reads.
    announced: [Option<(u64, VersionRange)>; REPLICAS],
    /// What it has written, the latest last.
    written: Vec<Header>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    replicas: Vec<Replica>,
    starts: u8,
    /// A replica went back to an earlier agreement, or acted on what it misreads.
    went_back: bool,
    misread: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    Deliver {
        from: usize,
        which: usize,
        to: usize,
    },
    /// A third replica reports that one is up.
    Gossip {
        of: usize,
        to: usize,
    },
    Failed {
        of: usize,
        to: usize,
    },
    StepUpDelay(usize),
    Start {
        replica: usize,
        supported_versions: VersionRange,
    },
}

struct Tier {
    rules: Rules,
    /// How many starts after the first, and how many agreements, are explored.
    starts: u8,
    agreements: u64,
    /// How many different headers of each replica may still be under way, the last one included.
    max_headers: usize,
}

impl Replica {
    fn start(
        rules: Rules,
        incarnation: u64,
        supported_versions: VersionRange,
        written: Vec<Header>,
    ) -> Replica {
        let agreement = Agreement::new(rules, supported_versions);
        let (up, announced) = ([false; REPLICAS], [None; REPLICAS]);
        Replica {
            agreement,
            incarnation,
            supported_versions,
            up,
            announced,
            written,
        }
    }

    fn header(&self) -> Header {
        let (epoch, version) = (self.agreement.epoch(), self.agreement.version());
        Header {
            incarnation: self.incarnation,
            supported_versions: self.supported_versions,
            epoch,
            version,
        }
    }

    fn write(&mut self, max_headers: usize) {
        let header = self.header();
        if self.written.last() != Some(&header) {
            self.written.push(header);
        }
        if self.written.len() > max_headers {
            self.written.remove(0);
        }
    }

    /// Takes a datagram as the complete state machine does; true if it was misread.
    fn take(&mut self, now: u64, from: usize, header: Header) -> bool {
        let Header {
            incarnation,
            supported_versions,
            epoch,
            version,
        } = header;
        self.agreement.handle_announcement(
            now,
            Member(from as u16),
            incarnation,
            supported_versions,
            epoch,
        );
        if self.announced[from].is_none_or(|before| before.0 < incarnation) {
            self.announced[from] = Some((incarnation, supported_versions));
        }
        if !self.agreement.accepts(version, epoch) {
            return false;
        }
        self.set(now, from, true);
        // Above the lowest, what counts is the version's and the agreement's.
        version > self.supported_versions.max || version > 1 && epoch != self.agreement.epoch()
    }

    fn set(&mut self, now: u64, of: usize, up: bool) {
        self.up[of] = up;
        let members: Vec<Member> = (0..REPLICAS)
            .filter(|&i| self.up[i])
            .map(|i| Member(i as u16))
            .collect();
        self.agreement.handle_members(now, &members);
    }
}

impl World {
    /// With everybody running and every datagram arriving from now on: after how long all have agreed on the highest
    /// version that all read, if they do.
    fn time_to_agree(&self) -> Option<u64> {
        let (mut replicas, mut now) = (self.replicas.clone(), 0);
        for _ in 0..8 {
            for (from, to) in pairs().chain(pairs()).chain(pairs()) {
                let header = replicas[from].header();
                replicas[to].take(now, from, header);
                replicas[to].set(now, from, true);
            }
            let Some(deadline) = replicas
                .iter()
                .filter_map(|replica| replica.agreement.next_timeout())
                .min()
            else {
                break;
            };
            now = deadline;
            replicas
                .iter_mut()
                .for_each(|replica| replica.agreement.on_timeout(now));
        }
        let version = replicas
            .iter()
            .map(|replica| replica.supported_versions.max)
            .min();
        let agreed = replicas.iter().all(|replica| {
            replica.agreement.epoch() == replicas[0].agreement.epoch()
                && Some(replica.agreement.version()) == version
        });
        agreed.then_some(now)
    }
}

fn pairs() -> impl Iterator<Item = (usize, usize)> {
    (0..REPLICAS * REPLICAS)
        .map(|i| (i / REPLICAS, i % REPLICAS))
        .filter(|(a, b)| a != b)
}

impl Model for Tier {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let world = |builds: [VersionRange; REPLICAS]| {
            let mut replicas = builds
                .map(|supported_versions| {
                    Replica::start(self.rules, 1, supported_versions, Vec::new())
                })
                .to_vec();
            replicas
                .iter_mut()
                .for_each(|replica| replica.write(self.max_headers));
            World {
                replicas,
                starts: 0,
                went_back: false,
                misread: false,
            }
        };
        vec![world([NEW, NEW, NEW]), world([NEW, NEW, OLD])]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        for (replica, state) in world.replicas.iter().enumerate() {
            if state.agreement.next_timeout().is_some() {
                acts.push(Act::StepUpDelay(replica));
            }
            if world.starts < self.starts {
                acts.extend([OLD, NEW].map(|supported_versions| Act::Start {
                    replica,
                    supported_versions,
                }));
            }
        }
        for (from, to) in pairs() {
            let ways = world.replicas[from].written.len();
            acts.extend((0..ways).map(|which| Act::Deliver { from, which, to }));
            let up = world.replicas[to].up[from];
            acts.push(if up {
                Act::Failed { of: from, to }
            } else {
                Act::Gossip { of: from, to }
            });
        }
    }

    fn next_state(&self, before: &World, act: Act) -> Option<World> {
        let mut world = before.clone();
        match act {
            Act::Deliver { from, which, to } => {
                let header = before.replicas[from].written[which];
                world.misread |= world.replicas[to].take(0, from, header);
            }
            Act::Gossip { of, to } => world.replicas[to].set(0, of, true),
            Act::Failed { of, to } => world.replicas[to].set(0, of, false),
            Act::StepUpDelay(replica) => {
                let agreement = &mut world.replicas[replica].agreement;
                let deadline = agreement.next_timeout()?;
                agreement.on_timeout(deadline);
                agreement.shift(deadline);
            }
            Act::Start {
                replica,
                supported_versions,
            } => {
                world.starts += 1;
                let Replica {
                    incarnation,
                    written,
                    ..
                } = world.replicas[replica].clone();
                world.replicas[replica] =
                    Replica::start(self.rules, incarnation + 1, supported_versions, written);
            }
        }
        for (replica, was) in world.replicas.iter_mut().zip(&before.replicas) {
            replica.write(self.max_headers);
            let runs_on = replica.incarnation == was.incarnation;
            world.went_back |= runs_on && replica.agreement.epoch() < was.agreement.epoch();
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Tier>> {
        vec![
            Property::always(
                "speaks only what live members have announced",
                |_, world: &World| {
                    world.replicas.iter().all(|replica| {
                        let version = replica.agreement.version();
                        (0..REPLICAS).filter(|&i| replica.up[i]).all(|i| {
                            version == 1
                                || replica.announced[i].is_some_and(|(_, supported_versions)| {
                                    version <= supported_versions.max
                                })
                        })
                    })
                },
            ),
            Property::always("one agreement, one version", |_, world: &World| {
                pairs().all(|(a, b)| {
                    let (a, b) = (&world.replicas[a].agreement, &world.replicas[b].agreement);
                    a.epoch() != b.epoch() || a.version() == b.version()
                })
            }),
            Property::always("no agreement goes back", |_, world: &World| {
                !world.went_back
            }),
            Property::always("nothing is misread", |_, world: &World| !world.misread),
            Property::always("agrees when datagrams arrive", |_, world: &World| {
                world
                    .time_to_agree()
                    .is_some_and(|after| after <= MAX_STEP_UP_DELAY)
            }),
            Property::sometimes(
                "comes to as many agreements",
                |tier: &Tier, world: &World| {
                    world
                        .replicas
                        .iter()
                        .all(|replica| replica.agreement.epoch() >> 8 == tier.agreements)
                },
            ),
        ]
    }

    fn within_boundary(&self, world: &World) -> bool {
        world
            .replicas
            .iter()
            .all(|replica| replica.agreement.epoch() >> 8 <= self.agreements)
    }
}

/// Explores all that can be reached, in so many steps where they are bounded; says how many states that are.
fn explore(tier: Tier, steps: Option<usize>) -> usize {
    let failure = stateright::HasDiscoveries::AnyFailures;
    let checker = tier.checker().finish_when(failure);
    let checker = steps
        .into_iter()
        .fold(checker, |checker, steps| checker.target_max_depth(steps));
    let checker = checker.spawn_bfs().join();
    println!(
        "{} states, {} distinct, {} deep",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
    checker.unique_state_count()
}

#[test]
fn every_state_within_eight_steps_keeps_the_guarantee() {
    let tier = Tier {
        rules: Rules::default(),
        starts: 2,
        agreements: 2,
        max_headers: 3,
    };
    assert!(explore(tier, Some(8)) > 500_000);
}

#[test]
fn every_state_without_a_restart_keeps_the_guarantee() {
    let tier = Tier {
        rules: Rules::default(),
        starts: 0,
        agreements: 2,
        max_headers: 2,
    };
    assert!(explore(tier, None) > 200_000);
}

/// Minutes long; what it came to is in `docs/upgrades.md`.
#[test]
#[ignore]
fn every_state_with_one_restart_keeps_the_guarantee() {
    let tier = Tier {
        rules: Rules::default(),
        starts: 1,
        agreements: 2,
        max_headers: 1,
    };
    assert!(explore(tier, None) > 2_000_000);
}

#[test]
fn each_rule_left_out_is_caught() {
    use Rule::*;
    for (rule, breaks) in [
        (AllMembers, "speaks only what live members have announced"),
        (
            UnannouncedIsLowest,
            "speaks only what live members have announced",
        ),
        (Narrower, "speaks only what live members have announced"),
        (Incarnations, "speaks only what live members have announced"),
        (RaiseOnDown, "no agreement goes back"),
        (AboveKnown, "no agreement goes back"),
        (Largest, "no agreement goes back"),
        (OwnKnowledge, "one agreement, one version"),
        (Together, "one agreement, one version"),
        (Adopt, "agrees when datagrams arrive"),
        (OwnAgreement, "nothing is misread"),
    ] {
        let tier = Tier {
            rules: Rules::without(rule),
            starts: 2,
            agreements: 2,
            max_headers: 3,
        };
        let found = stateright::HasDiscoveries::AllOf([breaks].into());
        let checker = tier
            .checker()
            .target_max_depth(8)
            .finish_when(found)
            .spawn_bfs()
            .join();
        assert!(
            checker.discovery(breaks).is_some(),
            "{rule:?} may be left out, and {breaks:?} holds"
        );
    }
}
