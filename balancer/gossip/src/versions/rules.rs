//! The constants of the agreement on a version, and its rules by name. No state.
//!
//! Times are in milliseconds. What each constant is for, and what it costs, is in `docs/upgrades.md`.

/// A higher version is taken up when all live members have supported it for this long.
pub const STEP_UP_DELAY: u64 = 5_000;
/// The same for a tier that starts together and has agreed on nothing yet, and in which nobody was met who supports
/// less.
pub const FIRST_STEP_UP_DELAY: u64 = 500;
/// The delay doubles with each step down soon after a step up, to this at most.
pub const MAX_STEP_UP_DELAY: u64 = 60_000;
/// A step down this long after the last step up or later is an event by itself: the delay is [`STEP_UP_DELAY`] again.
pub const STABLE_AFTER: u64 = 120_000;
/// A replica that comes so much too late to a step up was paused.
pub const MAX_TIMER_LATENESS: u64 = 1_000;
/// What looks wrong, though nothing proves it, is believed when the same replica repeats it so many times in a row.
pub const REPEATS_TO_BELIEVE: u8 = 3;
/// An agreement whose number is further ahead than this looks wrong.
pub const MAX_EPOCH_JUMP: u64 = 1 << 16;

/// A rule that the guarantee rests on. A test leaves one out at a time, to show that the model checker misses none of
/// them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// Not what this replica supports decides, but what all live members support.
    AllMembers,
    /// A live member that has announced nothing holds the version at the lowest.
    UnannouncedIsLowest,
    /// A replica that starts anew and supports less is believed.
    Narrower,
    /// What a replica announced before its last start is over, however late it comes.
    Incarnations,
    /// A step down makes a new agreement, too.
    RaiseOnDown,
    /// A new agreement is numbered above all that were received, not above those of its own making.
    AboveKnown,
    /// Of two agreements the larger number holds.
    Largest,
    /// A received agreement is checked against what this replica knows of its members.
    OwnKnowledge,
    /// The version is the agreement's; it changes with it and not before.
    Together,
    /// An agreement that others announce is taken up.
    Adopt,
    /// What was written under another agreement is not acted on.
    OwnAgreement,
}

/// The rules that hold: all of them, except in a test that leaves one out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Rules {
    without: Option<Rule>,
}

impl Rules {
    /// All but one, for a model check that shows what the rule is for.
    pub fn without(rule: Rule) -> Rules {
        Rules {
            without: Some(rule),
        }
    }

    /// Whether a rule holds.
    pub fn holds(self, rule: Rule) -> bool {
        self.without != Some(rule)
    }
}
