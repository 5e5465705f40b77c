//! The constants of the agreement on a version, and its rules by name. No state.
//!
//! Times are in milliseconds. What each constant is for, and what it costs, is in `docs/upgrades.md`.

/// A higher version is taken up when all live members have read it for this long.
pub const PATIENCE: u64 = 5_000;
/// The same for a tier that starts together and has agreed on nothing yet, and in which nobody was met who reads less.
pub const PATIENCE_FIRST: u64 = 500;
/// Patience doubles with each step down soon after a step up, to this at most.
pub const PATIENCE_MOST: u64 = 60_000;
/// A step down this long after the last step up or later is an event by itself: patience is [`PATIENCE`] again.
pub const CALM: u64 = 120_000;
/// A copy that comes so much too late to a step up was paused.
pub const OVERSLEPT: u64 = 1_000;
/// What looks wrong, though nothing proves it, is believed when the same copy says it so many times in a row.
pub const ROW: u8 = 3;
/// An agreement whose number is further ahead than this looks wrong.
pub const JUMP: u64 = 1 << 16;

/// What keeps the promise. A test leaves one out at a time, to show that the model checker misses none of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// Not what this copy reads alone decides, but what all live members read.
    AllMembers,
    /// A live member that has announced nothing holds the version at the lowest.
    Silent,
    /// A copy that starts anew and reads less is believed.
    Narrower,
    /// What a copy announced before its last start is over, however late it comes.
    Incarnations,
    /// A step down makes a new agreement, too.
    RaiseOnDown,
    /// A new agreement is numbered above all that were heard of, not above those of its own making.
    AboveHeard,
    /// Of two agreements the larger number holds.
    Largest,
    /// What is heard of an agreement is checked against what this copy knows of its members.
    OwnKnowledge,
    /// The version is the agreement's; it changes with it and not before.
    Together,
    /// An agreement of which others tell is taken up.
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
        Rules { without: Some(rule) }
    }

    /// Whether a rule holds.
    pub fn hold(self, rule: Rule) -> bool {
        self.without != Some(rule)
    }
}
