//! Reads the platform's worker list while holding the platform reader role, and distributes it to all coordinators.
use crate::{
    coordinator::Coordinator,
    outputs::{Output, PlatformReply},
    platform_reader::PlatformReader,
};
use magpiegap_control::Output as ControlOutput;
use magpiegap_protocol::{FencingToken, Millis, PeerMessage, WorkerList};

/// Delay before a platform call is retried after a rejection or failure.
const RETRY_DELAY_MS: Millis = 250;

impl Coordinator {
    /// Starts or stops the platform reader according to the fencing token of the role, if it is held here.
    pub(crate) fn update_platform_reader(&mut self, token: Option<FencingToken>) {
        if self.platform_reader.as_ref().map(PlatformReader::token) == token {
            return;
        }
        self.platform_reader = token.map(|token| PlatformReader::new(token, self.now));
    }

    /// Starts reading the worker list if a read is due and this coordinator holds a lease.
    pub(crate) fn read_platform_list(&mut self) {
        let holds_lease = self.holds_lease();
        let now = self.now;
        let Some(reader) = self.platform_reader.as_mut() else {
            return;
        };
        reader.expire_call(now);
        if holds_lease && reader.is_read_due(now) {
            reader.discard_pages();
            self.request_platform_page(None);
        }
    }

    fn request_platform_page(&mut self, page: Option<String>) {
        self.last_sequence += 1;
        let call = self.last_sequence;
        if let Some(reader) = self.platform_reader.as_mut() {
            reader.begin_call(call, self.now);
            self.outputs.push(Output::ListWorkers { call, page });
        }
    }

    /// Handles the platform's reply to a call, or its timeout.
    pub fn handle_platform_reply(&mut self, now: Millis, call: u64, reply: PlatformReply) {
        self.now = now;
        let Some(reader) = self.platform_reader.as_mut() else {
            return;
        };
        if !reader.end_call(call) {
            return;
        }
        match reply {
            PlatformReply::Page { workers, next } => {
                reader.add_page(workers);
                match next {
                    Some(page) => self.request_platform_page(Some(page)),
                    None => {
                        reader.schedule_read(now + self.settings.list_interval_ms);
                        self.publish_platform_list();
                    }
                }
            }
            PlatformReply::RateLimited | PlatformReply::Failed => {
                reader.schedule_read(now + RETRY_DELAY_MS);
            }
        }
    }

    /// Sends a complete worker list to the other coordinators and installs it locally.
    fn publish_platform_list(&mut self) {
        let Some(reader) = self.platform_reader.as_mut() else {
            return;
        };
        let Some(list) = reader.finish_list(self.platform_list.as_ref(), self.now) else {
            return;
        };
        let own = self.replica.own();
        for replica in &self.replica.view().chain {
            if *replica == own {
                continue;
            }
            let message = PeerMessage::WorkerList(list.clone());
            let to = replica.member.address;
            self.outputs
                .push(Output::Control(ControlOutput::Send { to, message }));
        }
        self.install_platform_list(list);
    }

    /// Installs a worker list, unless the known list is as new or newer.
    pub(crate) fn install_platform_list(&mut self, list: WorkerList) {
        let known = self.platform_list.as_ref();
        let version = known.map_or((FencingToken::default(), 0), |known| {
            (known.token, known.sequence)
        });
        if (list.token, list.sequence) <= version {
            return;
        }
        if known.is_none_or(|known| known.workers != list.workers) {
            for scheduler in self.schedulers.values_mut() {
                scheduler.handle_worker_list(self.now, &self.machine.state, &list.workers);
            }
        }
        self.platform_list = Some(list);
    }
}
