//! The membership view of the core (viewstamped replication, Oki and Liskov, 1988) and its replication chain (chain
//! replication, van Renesse and Schneider, 2004).
use crate::{Location, Member, MemberLocation, ReplicaId, ViewNumber};
use minicbor::{Decode, Encode};

/// Number of earlier chains recorded in a view.
const MAX_HISTORY: usize = 24;

/// The chain of one view.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ChainRecord {
    /// Number of the view.
    #[n(0)]
    pub number: ViewNumber,
    /// The replicas, from head to tail.
    #[n(1)]
    pub chain: Vec<ReplicaId>,
}

/// A membership view. Views are decided one after the other, each by a majority of the voters of the previous view.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct View {
    /// Number of the view; zero is the state before the first one was decided.
    #[n(0)]
    pub number: ViewNumber,
    /// The members that vote on the next view.
    #[n(1)]
    pub voters: Vec<Member>,
    /// The replicas, from head to tail.
    #[n(2)]
    pub chain: Vec<ReplicaId>,
    /// The chains of the most recent earlier views, oldest first.
    #[n(3)]
    pub history: Vec<ChainRecord>,
    /// Known locations of the voters and the members of the chain.
    #[n(4)]
    #[cbor(default)]
    pub locations: Vec<MemberLocation>,
}

impl View {
    /// The state before the first view, with voters but without a chain.
    pub fn initial(voters: Vec<Member>) -> View {
        View {
            number: ViewNumber::default(),
            voters,
            chain: Vec::new(),
            history: Vec::new(),
            locations: Vec::new(),
        }
    }

    /// The next view, with this view's chain added to its history.
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

    /// Location of a member; the unknown location if the view does not record one.
    pub fn location(&self, member: &Member) -> Location {
        let known = self.locations.iter().find(|known| known.member == *member);
        known.map(|known| known.location).unwrap_or_default()
    }

    /// Number of voters required for a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The head of the chain, which orders all writes; `None` before the first view.
    pub fn head(&self) -> Option<ReplicaId> {
        self.chain.first().copied()
    }

    /// The tail of the chain, which commits writes and serves reads; `None` before the first view.
    pub fn tail(&self) -> Option<ReplicaId> {
        self.chain.last().copied()
    }

    /// Position of a replica in the chain; zero is the head.
    pub fn position(&self, replica: &ReplicaId) -> Option<usize> {
        self.chain.iter().position(|other| other == replica)
    }

    /// The replica of a member in the chain; `None` if the member is not in it.
    pub fn in_chain(&self, member: &Member) -> Option<ReplicaId> {
        let of_member = |replica: &&ReplicaId| replica.member == *member;
        self.chain.iter().find(of_member).copied()
    }

    /// Whether a member is a voter or in the chain.
    pub fn has_member(&self, member: &Member) -> bool {
        self.voters.contains(member) || self.in_chain(member).is_some()
    }

    /// Whether the member's disk, complete in view `synced`, still holds all entries committed since. A view commits
    /// only entries that are durable on its entire chain, so a disk in every chain since `synced` has all of them.
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
