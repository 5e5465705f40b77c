//! The constants and rules of the version agreement. Stateless.
//!
//! Times are in milliseconds. `docs/upgrades.md` describes the purpose and the cost of each constant.

/// How long all live members must have supported a higher version before a step up to it.
pub const STEP_UP_DELAY: u64 = 5_000;
/// The step-up delay in a tier whose members start together, while there is no agreement yet and no member that
/// supports less is known.
pub const FIRST_STEP_UP_DELAY: u64 = 500;
/// The limit of the step-up delay, which doubles with each step down soon after a step up.
pub const MAX_STEP_UP_DELAY: u64 = 60_000;
/// A step down at least this long after the last step up resets the delay to [`STEP_UP_DELAY`].
pub const STABLE_AFTER: u64 = 120_000;
/// A replica whose step-up timer fires this late was paused.
pub const MAX_TIMER_LATENESS: u64 = 1_000;
/// The number of consecutive announcements by the same replica after which an implausible value is accepted.
pub const REPEATS_TO_BELIEVE: u8 = 3;
/// An epoch whose counter is further ahead than this is implausible.
pub const MAX_EPOCH_JUMP: u64 = 1 << 16;

/// A rule that the guarantee depends on. A test disables each of them to verify that the model checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// The version is limited by the versions that all live members support, not only by this replica's own.
    AllMembers,
    /// A live member that has announced nothing limits the version to the lowest.
    UnannouncedIsLowest,
    /// An announcement by a restarted replica that supports less is accepted.
    Narrower,
    /// Announcements of earlier incarnations are obsolete, however late they arrive.
    Incarnations,
    /// A step down also makes a new agreement.
    RaiseOnDown,
    /// The epoch of a new agreement is above all known epochs, including received ones.
    AboveKnown,
    /// Of two agreements, the one with the larger epoch wins.
    Largest,
    /// An adopted agreement is checked against the versions of the members that this replica knows.
    OwnKnowledge,
    /// The version is that of the agreement, and changes only together with it.
    Together,
    /// Agreements that others announce are adopted.
    Adopt,
    /// Payloads written in another epoch are not processed.
    OwnAgreement,
}

/// The rules in force: all of them, except in tests that disable one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Rules {
    without: Option<Rule>,
}

impl Rules {
    /// All rules except one, for model checks that show the effect of that rule.
    pub fn without(rule: Rule) -> Rules {
        Rules {
            without: Some(rule),
        }
    }

    /// Whether a rule is in force.
    pub fn holds(self, rule: Rule) -> bool {
        self.without != Some(rule)
    }
}
