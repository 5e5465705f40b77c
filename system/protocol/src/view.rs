//! The agreed membership view of the core (viewstamped replication, Oki and Liskov, 1988) and its chain (chain
//! replication, van Renesse and Schneider, 2004).
use crate::{Location, Member, MemberLocation, ReplicaId, ViewNumber};
use minicbor::{Decode, Encode};

/// Number of earlier chains that a view remembers.
const MAX_HISTORY: usize = 24;

/// The chain of one view.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ChainRecord {
    /// Number of the view.
    #[n(0)]
    pub number: ViewNumber,
    /// The replicas from head to tail.
    #[n(1)]
    pub chain: Vec<ReplicaId>,
}

/// One membership view. Views are agreed one after the other, each by a majority of the voters of the one before.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct View {
    /// Number of the view; zero is the state before the first one was agreed.
    #[n(0)]
    pub number: ViewNumber,
    /// The members of whom a majority agrees on the next view.
    #[n(1)]
    pub voters: Vec<Member>,
    /// The replicas from head to tail.
    #[n(2)]
    pub chain: Vec<ReplicaId>,
    /// The chains of the latest views before this one, oldest first.
    #[n(3)]
    pub history: Vec<ChainRecord>,
    /// Locations of the voters and the members of the chain, as far as they are known.
    #[n(4)]
    #[cbor(default)]
    pub locations: Vec<MemberLocation>,
}

impl View {
    /// The state before the first view: the voters are known, no chain is.
    pub fn initial(voters: Vec<Member>) -> View {
        View {
            number: ViewNumber::default(),
            voters,
            chain: Vec::new(),
            history: Vec::new(),
            locations: Vec::new(),
        }
    }

    /// The view that follows this one.
    pub fn next(&self, voters: Vec<Member>, chain: Vec<ReplicaId>) -> View {
        let mut history = self.history.clone();
        history.push(ChainRecord {
            number: self.number,
            chain: self.chain.clone(),
        });
        let excess = history.len().saturating_sub(MAX_HISTORY);
        history.drain(..excess);
        View {
            number: self.number.next(),
            voters,
            chain,
            history,
            locations: Vec::new(),
        }
    }

    /// Location of a member; unknown when the view does not have it.
    pub fn location(&self, member: &Member) -> Location {
        let known = self.locations.iter().find(|known| known.member == *member);
        known.map(|known| known.location).unwrap_or_default()
    }

    /// Number of voters that are a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The head, which orders all writes; `None` before the first view.
    pub fn head(&self) -> Option<ReplicaId> {
        self.chain.first().copied()
    }

    /// The tail, at which writes are committed and reads are served; `None` before the first view.
    pub fn tail(&self) -> Option<ReplicaId> {
        self.chain.last().copied()
    }

    /// Position of a replica in the chain, from zero at the head.
    pub fn position(&self, replica: &ReplicaId) -> Option<usize> {
        self.chain.iter().position(|other| other == replica)
    }

    /// The replica of a member in the chain; `None`: it has none there.
    pub fn in_chain(&self, member: &Member) -> Option<ReplicaId> {
        let of_member = |replica: &&ReplicaId| replica.member == *member;
        self.chain.iter().find(of_member).copied()
    }

    /// Whether a member votes, or is in the chain.
    pub fn has_member(&self, member: &Member) -> bool {
        self.voters.contains(member) || self.in_chain(member).is_some()
    }

    /// Whether a disk that was complete in view `synced` still has all that was committed since: a view commits
    /// only what is on the disks of its entire chain, so a disk that was in every chain since has missed nothing.
    pub fn complete_since(&self, synced: ViewNumber, member: &Member) -> bool {
        let in_chain = |chain: &[ReplicaId]| chain.iter().any(|replica| replica.member == *member);
        let in_view = |number: ViewNumber| match number == self.number {
            true => in_chain(&self.chain),
            false => self
                .history
                .iter()
                .any(|record| record.number == number && in_chain(&record.chain)),
        };
        synced <= self.number && (synced.0 + 1..=self.number.0).map(ViewNumber).all(in_view)
    }
}
