//! Model check of the version agreement's implementation, with three replicas of two builds: the old one supports
//! version 1, the new one versions 1 and 2.
//!
//! Any of a replica's latest headers may reach any other replica at any time, repeatedly, or never, which models delay,
//! loss, duplication and reordering. A replica considers another one up after it has accepted a datagram from it or a
//! third replica has reported it, and may consider it failed at any time, also wrongly. Clocks are independent: the
//! step-up delay may expire at any time. Replicas restart with either build and without state, under a higher
//! incarnation.
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
    /// The highest received incarnation of each other replica, and the versions that it supports.
    announced: [Option<(u64, VersionRange)>; REPLICAS],
    /// The latest headers sent, the newest last.
    sent: Vec<Header>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SystemState {
    replicas: Vec<Replica>,
    starts: u8,
    /// Whether a replica returned to an earlier agreement.
    regressed: bool,
    /// Whether a replica accepted a datagram that it interprets differently than its sender.
    misread: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Deliver {
        from: usize,
        index: usize,
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
    /// The maximum number of restarts that are explored.
    starts: u8,
    /// The maximum number of agreements that are explored.
    agreements: u64,
    /// The maximum number of different headers of each replica in transit, including the latest.
    max_headers: usize,
}

impl Replica {
    fn start(
        rules: Rules,
        incarnation: u64,
        supported_versions: VersionRange,
        sent: Vec<Header>,
    ) -> Replica {
        let agreement = Agreement::new(rules, supported_versions);
        let (up, announced) = ([false; REPLICAS], [None; REPLICAS]);
        Replica {
            agreement,
            incarnation,
            supported_versions,
            up,
            announced,
            sent,
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

    fn record_header(&mut self, max_headers: usize) {
        let header = self.header();
        if self.sent.last() != Some(&header) {
            self.sent.push(header);
        }
        if self.sent.len() > max_headers {
            self.sent.remove(0);
        }
    }

    /// Handles a datagram as `Peers` does; returns whether it was misread.
    fn receive(&mut self, now: u64, from: usize, header: Header) -> bool {
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
        self.set_up(now, from, true);
        // Above the lowest version, the meaning of a datagram depends on its version and its agreement.
        version > self.supported_versions.max || version > 1 && epoch != self.agreement.epoch()
    }

    fn set_up(&mut self, now: u64, of: usize, up: bool) {
        self.up[of] = up;
        let members: Vec<Member> = (0..REPLICAS)
            .filter(|&i| self.up[i])
            .map(|i| Member(i as u16))
            .collect();
        self.agreement.handle_members(now, &members);
    }
}

impl SystemState {
    /// The time after which all replicas agree on the highest version that all support, if all run and every datagram
    /// arrives from now on; `None` if they do not agree.
    fn time_to_agree(&self) -> Option<u64> {
        let (mut replicas, mut now) = (self.replicas.clone(), 0);
        for _ in 0..8 {
            for (from, to) in pairs().chain(pairs()).chain(pairs()) {
                let header = replicas[from].header();
                replicas[to].receive(now, from, header);
                replicas[to].set_up(now, from, true);
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
    type State = SystemState;
    type Action = Event;

    fn init_states(&self) -> Vec<SystemState> {
        let state = |builds: [VersionRange; REPLICAS]| {
            let mut replicas = builds
                .map(|supported_versions| {
                    Replica::start(self.rules, 1, supported_versions, Vec::new())
                })
                .to_vec();
            replicas
                .iter_mut()
                .for_each(|replica| replica.record_header(self.max_headers));
            SystemState {
                replicas,
                starts: 0,
                regressed: false,
                misread: false,
            }
        };
        vec![state([NEW, NEW, NEW]), state([NEW, NEW, OLD])]
    }

    fn actions(&self, state: &SystemState, events: &mut Vec<Event>) {
        for (replica, replica_state) in state.replicas.iter().enumerate() {
            if replica_state.agreement.next_timeout().is_some() {
                events.push(Event::StepUpDelay(replica));
            }
            if state.starts < self.starts {
                events.extend([OLD, NEW].map(|supported_versions| Event::Start {
                    replica,
                    supported_versions,
                }));
            }
        }
        for (from, to) in pairs() {
            let headers = state.replicas[from].sent.len();
            events.extend((0..headers).map(|index| Event::Deliver { from, index, to }));
            let up = state.replicas[to].up[from];
            events.push(if up {
                Event::Failed { of: from, to }
            } else {
                Event::Gossip { of: from, to }
            });
        }
    }

    fn next_state(&self, before: &SystemState, event: Event) -> Option<SystemState> {
        let mut state = before.clone();
        match event {
            Event::Deliver { from, index, to } => {
                let header = before.replicas[from].sent[index];
                state.misread |= state.replicas[to].receive(0, from, header);
            }
            Event::Gossip { of, to } => state.replicas[to].set_up(0, of, true),
            Event::Failed { of, to } => state.replicas[to].set_up(0, of, false),
            Event::StepUpDelay(replica) => {
                let agreement = &mut state.replicas[replica].agreement;
                let deadline = agreement.next_timeout()?;
                agreement.on_timeout(deadline);
                agreement.shift(deadline);
            }
            Event::Start {
                replica,
                supported_versions,
            } => {
                state.starts += 1;
                let Replica {
                    incarnation, sent, ..
                } = state.replicas[replica].clone();
                state.replicas[replica] =
                    Replica::start(self.rules, incarnation + 1, supported_versions, sent);
            }
        }
        for (replica, was) in state.replicas.iter_mut().zip(&before.replicas) {
            replica.record_header(self.max_headers);
            let is_same_process = replica.incarnation == was.incarnation;
            state.regressed |= is_same_process && replica.agreement.epoch() < was.agreement.epoch();
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Tier>> {
        vec![
            Property::always(
                "uses only versions announced by live members",
                |_, state: &SystemState| {
                    state.replicas.iter().all(|replica| {
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
            Property::always(
                "equal epochs have equal versions",
                |_, state: &SystemState| {
                    pairs().all(|(a, b)| {
                        let (a, b) = (&state.replicas[a].agreement, &state.replicas[b].agreement);
                        a.epoch() != b.epoch() || a.version() == b.version()
                    })
                },
            ),
            Property::always("epochs never decrease", |_, state: &SystemState| {
                !state.regressed
            }),
            Property::always("no datagram is misread", |_, state: &SystemState| {
                !state.misread
            }),
            Property::always(
                "replicas agree once datagrams arrive",
                |_, state: &SystemState| {
                    state
                        .time_to_agree()
                        .is_some_and(|after| after <= MAX_STEP_UP_DELAY)
                },
            ),
            Property::sometimes(
                "the maximum number of agreements is reached",
                |tier: &Tier, state: &SystemState| {
                    state
                        .replicas
                        .iter()
                        .all(|replica| replica.agreement.epoch() >> 8 == tier.agreements)
                },
            ),
        ]
    }

    fn within_boundary(&self, state: &SystemState) -> bool {
        state
            .replicas
            .iter()
            .all(|replica| replica.agreement.epoch() >> 8 <= self.agreements)
    }
}

/// Checks all reachable states, up to a depth if one is given; returns the number of distinct states.
fn explore(tier: Tier, max_depth: Option<usize>) -> usize {
    let failure = stateright::HasDiscoveries::AnyFailures;
    let checker = tier.checker().finish_when(failure);
    let checker = max_depth
        .into_iter()
        .fold(checker, |checker, depth| checker.target_max_depth(depth));
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
fn guarantee_holds_within_eight_steps() {
    let tier = Tier {
        rules: Rules::default(),
        starts: 2,
        agreements: 2,
        max_headers: 3,
    };
    assert!(explore(tier, Some(8)) > 500_000);
}

#[test]
fn guarantee_holds_in_all_states_without_restarts() {
    let tier = Tier {
        rules: Rules::default(),
        starts: 0,
        agreements: 2,
        max_headers: 2,
    };
    assert!(explore(tier, None) > 200_000);
}

/// Takes minutes; `docs/upgrades.md` has the result.
#[test]
#[ignore]
fn guarantee_holds_in_all_states_with_one_restart() {
    let tier = Tier {
        rules: Rules::default(),
        starts: 1,
        agreements: 2,
        max_headers: 1,
    };
    assert!(explore(tier, None) > 2_000_000);
}

#[test]
fn model_check_detects_each_disabled_rule() {
    use Rule::*;
    for (rule, violated) in [
        (AllMembers, "uses only versions announced by live members"),
        (
            UnannouncedIsLowest,
            "uses only versions announced by live members",
        ),
        (Narrower, "uses only versions announced by live members"),
        (Incarnations, "uses only versions announced by live members"),
        (RaiseOnDown, "epochs never decrease"),
        (AboveKnown, "epochs never decrease"),
        (Largest, "epochs never decrease"),
        (OwnKnowledge, "equal epochs have equal versions"),
        (Together, "equal epochs have equal versions"),
        (Adopt, "replicas agree once datagrams arrive"),
        (OwnAgreement, "no datagram is misread"),
    ] {
        let tier = Tier {
            rules: Rules::without(rule),
            starts: 2,
            agreements: 2,
            max_headers: 3,
        };
        let found = stateright::HasDiscoveries::AllOf([violated].into());
        let checker = tier
            .checker()
            .target_max_depth(8)
            .finish_when(found)
            .spawn_bfs()
            .join();
        assert!(
            checker.discovery(violated).is_some(),
            "{violated:?} holds without {rule:?}"
        );
    }
}
