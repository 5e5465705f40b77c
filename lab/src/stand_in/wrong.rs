//! How a stand-in chooses, and what it does that it must not.
use clap::ValueEnum;

/// How a pass-through chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Choice {
    /// Any of the active ones.
    Random,
    /// Each in turn.
    RoundRobin,
}

/// What one does that it must not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Wrong {
    /// Closes the connection of every tenth request after it has sent it on.
    Loses,
    /// Says nothing to every tenth request.
    Holds,
    /// Answers every tenth request by itself.
    Invents,
    /// Sends what failed or was served once more, whatever its class.
    Repeats,
    /// Refuses every tenth request after it has run.
    Refuses,
    /// Sends every request to two upstreams at once.
    Doubles,
    /// Tries ever again.
    Insists,
    /// Sends every tenth request once more after it has answered.
    Lingers,
    /// Ignores that an upstream drains.
    Deaf,
    /// Sends everything to whoever started last.
    Crowds,
    /// Sends on requests under ids of its own.
    Forges,
    /// Takes ever more memory.
    Swells,
    /// Takes ever more descriptors.
    Hoards,
    /// Ends after some requests.
    Dies,
    /// Never reports that it is ready.
    Idles,
    /// Sends its peers more than a datagram may hold.
    Shouts,
    /// Writes figures of twice what it took.
    Boasts,
    /// Writes the same number of its start each time.
    Stutters,
    /// Writes that it acts on sums of a minute ago.
    Remembers,
    /// Refuses the first tenant that it has seen, once it has seen another.
    Favours,
    /// Speaks with its peers as it should, and reads version 1 alone. Nothing wrong by itself: others may be, beside
    /// it.
    SpeaksOld,
    /// Speaks with its peers, reads versions 1 and 2, and sends 2 whoever is there.
    Misspeaks,
    /// Reads versions 1 and 2, and sends 1 for ever.
    Clings,
    /// Tells of a number of the agreement that goes back.
    Rewinds,
    /// Sends its peers what is no datagram.
    Mumbles,
}
