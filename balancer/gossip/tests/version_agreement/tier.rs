//! A tier of replicas on simulated time, with loss of datagrams.
use balancer_gossip::versions::VersionNegotiation;
use balancer_gossip::{Member, Millis, VersionRange};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

pub(crate) const OLD: VersionRange = VersionRange { min: 1, max: 1 };

pub(crate) const NEW: VersionRange = VersionRange { min: 1, max: 2 };

/// The interval at which each replica sends a datagram to each other one.
pub(crate) const SEND_INTERVAL: Millis = 100.0;

/// The time after the last accepted datagram at which a replica is considered failed.
pub(crate) const FAILURE_TIMEOUT: Millis = 2_000.0;

/// The contents of a datagram's header.
pub(crate) struct Header {
    pub(crate) incarnation: u64,
    pub(crate) supported_versions: VersionRange,
    pub(crate) epoch: u64,
    pub(crate) version: u8,
}

/// A replica with a simplified membership: the time of the last accepted datagram from each other replica.
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

    pub(crate) fn receive(&mut self, now: Millis, from: usize, header: &Header) {
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
            .map(|notification| notification.0)
            .collect()
    }
}

pub(crate) struct Tier {
    pub(crate) replicas: Vec<Replica>,
    pub(crate) now: Millis,
    /// The share of datagrams that are lost, in percent.
    pub(crate) loss_percent: u32,
    /// Datagrams between replicas below this index and the others are lost.
    pub(crate) partition: Option<usize>,
    pub(crate) rng: Pcg32,
}

impl Tier {
    pub(crate) fn start(versions: &[VersionRange]) -> Tier {
        let replica = |&supported_versions: &VersionRange| Replica {
            negotiation: VersionNegotiation::new(supported_versions),
            supported_versions,
            incarnation: 1,
            last_received: vec![-FAILURE_TIMEOUT; versions.len()],
            is_running: true,
        };
        let replicas = versions.iter().map(replica).collect();
        Tier {
            replicas,
            now: 0.0,
            loss_percent: 10,
            partition: None,
            rng: Pcg32::seed_from_u64(7),
        }
    }

    pub(crate) fn stop(&mut self, replica: usize) {
        self.replicas[replica].is_running = false;
    }

    /// Replaces a replica by a new process without state, under the next incarnation.
    pub(crate) fn restart(&mut self, replica: usize, supported_versions: VersionRange) {
        let restarted = &mut self.replicas[replica];
        restarted.negotiation = VersionNegotiation::new(supported_versions);
        (
            restarted.supported_versions,
            restarted.incarnation,
            restarted.is_running,
        ) = (supported_versions, restarted.incarnation + 1, true);
        restarted.last_received.fill(-FAILURE_TIMEOUT);
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
                let partitioned = self
                    .partition
                    .is_some_and(|partition| (from < partition) != (to < partition));
                let lost = self.rng.next_u32() % 100 < self.loss_percent;
                if from != to
                    && self.replicas[from].is_running
                    && self.replicas[to].is_running
                    && !partitioned
                    && !lost
                {
                    let header = self.replicas[from].header();
                    self.replicas[to].receive(self.now, from, &header);
                }
            }
        }
    }

    /// The distinct versions in use by the running replicas.
    pub(crate) fn versions_in_use(&self) -> Vec<u8> {
        let running = self.replicas.iter().filter(|replica| replica.is_running);
        let mut versions: Vec<u8> = running
            .map(|replica| replica.negotiation.version())
            .collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }
}
