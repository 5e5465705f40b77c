//! Reads the platform's list, for all coordinators.
use crate::{
    coordinator::Coordinator,
    outputs::{Output, PlatformReply},
    under_way::Reader,
};
use magpiegap_control::Output as ControlOutput;
use magpiegap_protocol::{FencingToken, Millis, PeerMessage, PlatformList};

/// A call that was not answered for this long is given up.
const CALL_PATIENCE_MS: Millis = 1500;
/// Time until the platform is asked again after a refusal or silence.
const RETRY_MS: Millis = 250;
/// An unchanged list is told to the others this often.
const REPEAT_EVERY_MS: Millis = 1000;

impl Coordinator {
    pub(crate) fn follow_reader(&mut self, token: Option<FencingToken>) {
        if self.reader.as_ref().map(|reader| reader.token) == token {
            return;
        }
        self.reader = token.map(|token| Reader {
            token,
            sequence: 0,
            next_at: self.now,
            open: None,
            collected: Vec::new(),
            told_at: 0,
        });
    }

    /// Asks for the next page when that is due.
    pub(crate) fn read_platform(&mut self) {
        let may_act = self.may_act();
        let now = self.now;
        let Some(reader) = self.reader.as_mut() else {
            return;
        };
        if reader
            .open
            .is_some_and(|(_, since)| now >= since + CALL_PATIENCE_MS)
        {
            reader.open = None;
        }
        if may_act && reader.open.is_none() && now >= reader.next_at {
            reader.collected.clear();
            self.ask_platform(None);
        }
    }

    fn ask_platform(&mut self, page: Option<String>) {
        self.next_sequence += 1;
        let call = self.next_sequence;
        if let Some(reader) = self.reader.as_mut() {
            reader.open = Some((call, self.now));
            self.out.push(Output::ListWorkers { call, page });
        }
    }

    /// The platform has answered, or has not in time.
    pub fn handle_platform_reply(&mut self, now: Millis, call: u64, reply: PlatformReply) {
        self.now = now;
        let every = self.settings.list_every_ms;
        let Some(reader) = self.reader.as_mut() else {
            return;
        };
        if reader.open.is_none_or(|(open, _)| open != call) {
            return;
        }
        reader.open = None;
        match reply {
            PlatformReply::Page { workers, next } => {
                reader.collected.extend(workers);
                match next {
                    Some(page) => self.ask_platform(Some(page)),
                    None => {
                        reader.next_at = now + every;
                        self.list_is_whole();
                    }
                }
            }
            PlatformReply::Limited | PlatformReply::Failed => reader.next_at = now + RETRY_MS,
        }
    }

    fn list_is_whole(&mut self) {
        let now = self.now;
        let Some(reader) = self.reader.as_mut() else {
            return;
        };
        let workers = std::mem::take(&mut reader.collected);
        let changed = self
            .platform
            .as_ref()
            .is_none_or(|list| list.workers != workers);
        if !changed && now < reader.told_at + REPEAT_EVERY_MS {
            return;
        }
        reader.told_at = now;
        reader.sequence += 1;
        let list = PlatformList {
            token: reader.token,
            sequence: reader.sequence,
            workers,
        };
        let own = self.replica.own();
        for replica in self.replica.view().chain.clone() {
            if replica != own {
                let message = PeerMessage::Platform(list.clone());
                let to = replica.member.address;
                self.out
                    .push(Output::Control(ControlOutput::Send { to, message }));
            }
        }
        self.take_list(list);
    }

    /// Takes up a list, unless a newer one is known.
    pub(crate) fn take_list(&mut self, list: PlatformList) {
        let known = self
            .platform
            .as_ref()
            .map_or((FencingToken::default(), 0), |known| {
                (known.token, known.sequence)
            });
        if (list.token, list.sequence) <= known {
            return;
        }
        let changed = self
            .platform
            .as_ref()
            .is_none_or(|known| known.workers != list.workers);
        if changed {
            for scheduler in self.schedulers.values_mut() {
                scheduler.list(self.now, &self.machine.state, &list.workers);
            }
        }
        self.platform = Some(list);
    }
}
