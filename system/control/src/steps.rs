//! The ways into a replica: messages, the passing of time, and the disk's word.
use crate::{
    replica::{After, Replica},
    state_transfer::Chunk,
    StateMachine,
};
use magpiegap_protocol::{Heartbeat, LogIndex, Millis, PeerMessage, ReplicaId, WallMillis};

/// Records after which a checkpoint is due, in bytes.
const CHECKPOINT_BYTES: usize = 4 << 20;

/// A replica sends about so many heartbeats a second at most, over all that it tells them to.
const MOST_HEARTBEATS_PER_S: u64 = 90;
/// At least so many heartbeats fit into the time after which a replica is taken for gone.
const LEAST_HEARTBEATS_PER_SUSPICION: Millis = 3;

impl Replica {
    /// Does what is due. To be called every few hundredths of a second.
    pub fn tick(&mut self, now: Millis, own_wall: WallMillis, machine: &mut dyn StateMachine) {
        if !self.started {
            self.flush_chain(now, machine);
            return;
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.heartbeat_interval(now);
            self.send_heartbeats(now, own_wall);
            self.note_committed(now);
            self.membership.forget(now);
            self.drop_outgoing(now);
        }
        self.check_view(now);
        self.ask_if_needed(now);
        if self.bytes_since_checkpoint > CHECKPOINT_BYTES && self.tickets.is_empty() {
            self.checkpoint(now, machine);
        }
        self.flush_chain(now, machine);
    }

    /// Takes a message from another replica.
    pub fn handle_messages(
        &mut self,
        now: Millis,
        wall: WallMillis,
        from: ReplicaId,
        message: PeerMessage,
        machine: &mut dyn StateMachine,
    ) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.heartbeat(from, &heartbeat, now),
            PeerMessage::Prepare { number, ballot } => self.prepare(from, number, ballot, now),
            PeerMessage::Promise(promise) => self.promised(from, promise, now),
            PeerMessage::Reject { number, promised } => self.rejected(number, promised, now),
            PeerMessage::Accept { ballot, view } => self.accept_view(from, ballot, &view, now),
            PeerMessage::Accepted { number, ballot } => {
                self.accepted(from, number, ballot, now, machine)
            }
            PeerMessage::Decided(view) => self.decided(&view, now, machine),
            message => self.receive_in_chain(now, wall, from, message, machine),
        }
    }

    /// Takes a message that counts only in the view in which it was sent.
    fn receive_in_chain(
        &mut self,
        now: Millis,
        wall: WallMillis,
        from: ReplicaId,
        message: PeerMessage,
        machine: &mut dyn StateMachine,
    ) {
        let current = self.view().number;
        let from_source = self.source() == Some(from);
        match message {
            PeerMessage::Append {
                view,
                after,
                entries,
                durable,
            } if view == current && from_source => {
                self.append(after, entries, durable, now);
            }
            PeerMessage::Committed { view, index } if view == current => {
                self.learn_committed(index)
            }
            PeerMessage::Synchronize { view, last } if view == current => {
                self.give_missing(from, last, now, machine)
            }
            PeerMessage::MissingEntries {
                view,
                after,
                entries,
                more,
            } if view == current && from_source => {
                self.take_missing(after, entries, more, now, machine);
            }
            PeerMessage::SnapshotOffer {
                view,
                position,
                chunks,
            } if view == current && from_source => {
                self.take_offer(position, chunks, now, machine);
            }
            PeerMessage::RequestSnapshotChunk {
                view,
                position,
                number,
            } if view == current => {
                self.give_part(from, position, number, now, machine);
            }
            PeerMessage::SnapshotChunk {
                view,
                position,
                number,
                checksum,
                bytes,
            } if view == current && from_source => {
                self.take_part(
                    from,
                    &Chunk {
                        position,
                        number,
                        checksum,
                        bytes,
                    },
                    now,
                    machine,
                );
            }
            PeerMessage::Propose {
                view,
                proposal,
                role_token,
                command,
            } if view == current && self.is_head() => {
                self.write(wall, proposal, role_token, command);
            }
            // Of another view, or not for this layer.
            _ => {}
        }
    }

    /// Ends a step: hands on what has come up.
    pub fn flush(&mut self, now: Millis, machine: &mut dyn StateMachine) {
        self.flush_chain(now, machine);
    }

    /// Disk work up to this ticket is done.
    pub fn handle_persisted(&mut self, ticket: u64, now: Millis, machine: &mut dyn StateMachine) {
        while self
            .tickets
            .front()
            .is_some_and(|front| front.number <= ticket)
        {
            let Some(done) = self.tickets.pop_front() else {
                break;
            };
            self.judge_disk(done.issued_at, now);
            for after in done.after {
                match after {
                    After::Send(to, message) => self.send(to, message),
                    After::EntriesDurable(index) => {
                        self.chain.own_durable = self.chain.own_durable.max(LogIndex(index));
                    }
                    After::Started => self.started = true,
                }
            }
        }
        self.flush_chain(now, machine);
    }

    fn heartbeat(&mut self, from: ReplicaId, heartbeat: &Heartbeat, now: Millis) {
        if self.membership.hear(from, heartbeat, now) {
            // It waits to be told that it is heard.
            self.next_heartbeat = now;
        }
        self.note_contact(from, heartbeat);
        let current = self.view();
        if heartbeat.view < current.number {
            let decided = PeerMessage::Decided(current.clone());
            self.send(from.member.address, decided);
        } else if heartbeat.view == current.number && current.tail() == Some(from) {
            self.learn_committed(heartbeat.committed);
        }
    }

    /// Takes note of the echo of an own heartbeat, when its sender has not gone on from the view that it knows.
    fn note_contact(&mut self, from: ReplicaId, heartbeat: &Heartbeat) {
        let own = self.settings.own;
        let echo = heartbeat
            .heard
            .iter()
            .find(|report| report.replica == own)
            .map_or(0, |report| report.echo);
        if echo > 0 && !heartbeat.sealed {
            self.contact.confirm(from.member, heartbeat.view, echo);
        }
    }

    /// Time until the next heartbeats: with many to tell them to longer, so that they don't take up the processors of a
    /// large core, and short enough that several fit into the time after which a replica is taken for gone.
    fn heartbeat_interval(&self, now: Millis) -> Millis {
        let told = self.membership.monitors(now).len() as u64;
        let spread = told * 1000 / MOST_HEARTBEATS_PER_S;
        spread
            .min(self.settings.suspect_ms / LEAST_HEARTBEATS_PER_SUSPICION)
            .max(self.settings.heartbeat_ms)
    }

    fn send_heartbeats(&mut self, now: Millis, own_wall: WallMillis) {
        let heartbeat = Heartbeat {
            sent_at: now,
            sealed: self.agreement.sealed(),
            view: self.view().number,
            serving: self.serving(),
            unfit: self.unfit(now),
            location: self.settings.location,
            heard: self.membership.reports(now),
            wall_ms: own_wall,
            committed: self.chain.committed,
            complete: self.is_complete(),
        };
        for address in self.membership.monitors(now) {
            self.send(address, PeerMessage::Heartbeat(heartbeat.clone()));
        }
    }
}
