//! The agreed membership view of the core.
use crate::{Location, Member, MemberLocation, ReplicaId, ViewNumber};
use minicbor::{Decode, Encode};

/// How many earlier chains a view remembers.
const HISTORY: usize = 24;

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
    /// Counts the views; zero is the state before the first one was agreed.
    #[n(0)]
    pub number: ViewNumber,
    /// Whose majority agrees on the next view.
    #[n(1)]
    pub voters: Vec<Member>,
    /// The replicas from head to tail.
    #[n(2)]
    pub chain: Vec<ReplicaId>,
    /// The chains of the latest views before this one, oldest first.
    #[n(3)]
    pub history: Vec<ChainRecord>,
    /// Where the voters and the members of the chain stand, as far as that is known.
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
        let surplus = history.len().saturating_sub(HISTORY);
        history.drain(..surplus);
        View {
            number: self.number.next(),
            voters,
            chain,
            history,
            locations: Vec::new(),
        }
    }

    /// Where a member stands; unknown when the view does not say.
    pub fn location(&self, member: &Member) -> Location {
        let known = self.locations.iter().find(|known| known.member == *member);
        known.map(|known| known.location).unwrap_or_default()
    }

    /// How many voters are a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Where writes enter.
    pub fn head(&self) -> Option<ReplicaId> {
        self.chain.first().copied()
    }

    /// Where writes are committed and reads are answered.
    pub fn tail(&self) -> Option<ReplicaId> {
        self.chain.last().copied()
    }

    /// The replica's place in the chain, from zero at the head.
    pub fn position(&self, replica: &ReplicaId) -> Option<usize> {
        self.chain.iter().position(|other| other == replica)
    }

    /// Whether a disk that was complete in view `synced` still has all that was committed since: a view commits
    /// only what is on the disks of its whole chain, so a disk that was in every chain since has missed nothing.
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
