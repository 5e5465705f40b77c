//! A tier of replicas on injected time, with datagrams that get lost.
use balancer_gossip::versions::VersionNegotiation;
use balancer_gossip::{Member, Millis, VersionRange};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

pub(crate) const OLD: VersionRange = VersionRange { min: 1, max: 1 };

pub(crate) const NEW: VersionRange = VersionRange { min: 1, max: 2 };

/// Each replica writes to each other so often, and is taken for gone after so long a silence.
pub(crate) const SEND_INTERVAL: Millis = 100.0;

pub(crate) const FAILURE_TIMEOUT: Millis = 2_000.0;

/// What a datagram's header says of its sender.
pub(crate) struct Header {
    pub(crate) incarnation: u64,
    pub(crate) supported_versions: VersionRange,
    pub(crate) epoch: u64,
    pub(crate) version: u8,
}

/// A replica, with what stands in for its membership: when it last acted on a datagram of each other.
pub(crate) struct Replica {
    pub(crate) negotiation: VersionNegotiation,
    pub(crate) supported_versions: VersionRange,
    pub(crate) incarnation: u64,
    pub(crate) last_received: Vec<Millis>,
    pub(crate) is_running: bool,
}

impl Replica {
    pub(crate) fn up(&self, now: Millis) -> Vec<Member> {
        let up = self
            .last_received
            .iter()
            .enumerate()
            .filter(|(_, &last_received)| last_received + FAILURE_TIMEOUT > now);
        up.map(|(i, _)| Member(i as u16)).collect()
    }

    pub(crate) fn take(&mut self, now: Millis, from: usize, header: &Header) {
        let Header {
            incarnation,
            supported_versions,
            epoch,
            version,
        } = *header;
        self.negotiation.handle_announcement(
            now,
            Member(from as u16),
            incarnation,
            supported_versions,
            epoch,
        );
        if self.negotiation.accepts(version, epoch) {
            assert!(
                version <= self.supported_versions.max
                    && (version == 1 || epoch == self.negotiation.epoch())
            );
            self.last_received[from] = now;
            self.negotiation.handle_members(now, &self.up(now));
        }
    }

    pub(crate) fn header(&self) -> Header {
        Header {
            incarnation: self.incarnation,
            supported_versions: self.supported_versions,
            epoch: self.negotiation.epoch(),
            version: self.negotiation.version(),
        }
    }

    pub(crate) fn notifications(&mut self) -> Vec<String> {
        std::iter::from_fn(|| self.negotiation.poll_notification())
            .map(|announced| announced.0)
            .collect()
    }
}

pub(crate) struct Tier {
    pub(crate) replicas: Vec<Replica>,
    pub(crate) now: Millis,
    /// Of a hundred datagrams so many are lost.
    pub(crate) lost: u32,
    /// Datagrams between replicas on different sides of this place are lost.
    pub(crate) partition: Option<usize>,
    pub(crate) rng: Pcg32,
}

impl Tier {
    pub(crate) fn start(all: &[VersionRange]) -> Tier {
        let replica = |&supported_versions: &VersionRange| Replica {
            negotiation: VersionNegotiation::new(supported_versions),
            supported_versions,
            incarnation: 1,
            last_received: vec![-FAILURE_TIMEOUT; all.len()],
            is_running: true,
        };
        let replicas = all.iter().map(replica).collect();
        Tier {
            replicas,
            now: 0.0,
            lost: 10,
            partition: None,
            rng: Pcg32::seed_from_u64(7),
        }
    }

    pub(crate) fn stop(&mut self, replica: usize) {
        self.replicas[replica].is_running = false;
    }

    /// A new process with nothing remembered.
    pub(crate) fn restart(&mut self, replica: usize, supported_versions: VersionRange) {
        let it = &mut self.replicas[replica];
        it.negotiation = VersionNegotiation::new(supported_versions);
        (it.supported_versions, it.incarnation, it.is_running) =
            (supported_versions, it.incarnation + 1, true);
        it.last_received.fill(-FAILURE_TIMEOUT);
    }

    pub(crate) fn run(&mut self, span: u64) {
        let end = self.now + span as Millis;
        while self.now < end {
            self.now += SEND_INTERVAL;
            for replica in self
                .replicas
                .iter_mut()
                .filter(|replica| replica.is_running)
            {
                replica
                    .negotiation
                    .handle_members(self.now, &replica.up(self.now));
                if replica
                    .negotiation
                    .next_timeout()
                    .is_some_and(|deadline| deadline <= self.now)
                {
                    replica.negotiation.on_timeout(self.now);
                }
            }
            let replicas = self.replicas.len();
            for (from, to) in (0..replicas * replicas).map(|i| (i / replicas, i % replicas)) {
                let incompatible = self
                    .partition
                    .is_some_and(|partition| (from < partition) != (to < partition));
                let lost = self.rng.next_u32() % 100 < self.lost;
                if from != to
                    && self.replicas[from].is_running
                    && self.replicas[to].is_running
                    && !incompatible
                    && !lost
                {
                    let header = self.replicas[from].header();
                    self.replicas[to].take(self.now, from, &header);
                }
            }
        }
    }

    /// What the running replicas speak, each thing once.
    pub(crate) fn versions_spoken(&self) -> Vec<u8> {
        let running = self.replicas.iter().filter(|replica| replica.is_running);
        let mut all: Vec<u8> = running
            .map(|replica| replica.negotiation.version())
            .collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}
