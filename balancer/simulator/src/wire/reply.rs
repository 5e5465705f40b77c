//! Encodes replies to the simulator.
use balancer_core::{Action, Millis, RequestId, UpstreamId};

/// Size in bytes of the header of a frame to the simulator.
const HEADER_SIZE: usize = 12;
/// Size of a record in bytes.
const RECORD_SIZE: usize = 24;

/// Action codes of the records of a reply.
mod code {
    pub(super) const FAIL: u8 = 1;
    pub(super) const CLOSE_IDLE: u8 = 2;
    pub(super) const REFUSE: u8 = 3;
    pub(super) const SUBSCRIBE: u8 = 5;
    pub(super) const LOG: u8 = 6;
    pub(super) const SEND: u8 = 7;
    pub(super) const INSTANCE: u8 = 8;
    pub(super) const SET_TIMER: u8 = 10;
    pub(super) const CANCEL: u8 = 12;
}

/// A reply being encoded.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Appends a zeroed record with an action code.
    fn add_record(&mut self, code: u8) -> &mut [u8] {
        let start = self.records.len();
        self.records.resize(start + RECORD_SIZE, 0);
        self.records[start] = code;
        self.count += 1;
        &mut self.records[start..]
    }

    /// Sets the instance that the following actions belong to.
    pub fn set_instance(&mut self, instance: u16) {
        self.add_record(code::INSTANCE)[1..3].copy_from_slice(&instance.to_be_bytes());
    }

    /// Adds one action.
    pub fn add(&mut self, action: &Action) {
        match action {
            // `write_by` is not encoded: the simulator writes requests without delay.
            Action::Send {
                request,
                upstream,
                timeout,
                ..
            } => self.add_send(*request, *upstream, *timeout),
            Action::Cancel { request, attempt } => self.add_cancel(*request, *attempt),
            Action::Refuse {
                request,
                retry_after,
                ..
            } => self.add_refuse(*request, *retry_after),
            Action::Fail { request } => {
                self.add_record(code::FAIL)[1..5].copy_from_slice(&request.0.to_be_bytes());
            }
            Action::CloseIdle(upstream) => {
                let record = self.add_record(code::CLOSE_IDLE);
                record[1..7].copy_from_slice(&upstream.0.to_be_bytes()[2..]);
            }
            Action::Subscribe => self.add_record(code::SUBSCRIBE)[1] = 1,
            Action::SetTimer { after, token } => {
                let record = self.add_record(code::SET_TIMER);
                record[1..9].copy_from_slice(&after.to_be_bytes());
                record[9..13].copy_from_slice(&token.to_be_bytes());
            }
            Action::Log(text) => self.add_log(text),
        }
    }

    fn add_send(&mut self, request: RequestId, upstream: UpstreamId, timeout: Millis) {
        let record = self.add_record(code::SEND);
        record[1..5].copy_from_slice(&request.0.to_be_bytes());
        record[5..11].copy_from_slice(&upstream.0.to_be_bytes()[2..]);
        record[11..19].copy_from_slice(&timeout.to_be_bytes());
    }

    fn add_cancel(&mut self, request: RequestId, attempt: u32) {
        let record = self.add_record(code::CANCEL);
        record[1..5].copy_from_slice(&request.0.to_be_bytes());
        record[5..7].copy_from_slice(&(attempt as u16).to_be_bytes());
    }

    fn add_refuse(&mut self, request: RequestId, retry_after: Millis) {
        let record = self.add_record(code::REFUSE);
        record[1..5].copy_from_slice(&request.0.to_be_bytes());
        record[5..13].copy_from_slice(&retry_after.to_be_bytes());
    }

    fn add_log(&mut self, text: &str) {
        let offset = self.tail.len() as u32;
        let length = text.len() as u32;
        self.tail.extend_from_slice(text.as_bytes());
        let record = self.add_record(code::LOG);
        record[1..5].copy_from_slice(&offset.to_be_bytes());
        record[5..9].copy_from_slice(&length.to_be_bytes());
    }

    /// Returns the encoded frame and clears the reply.
    pub fn finish(&mut self, number: u32) -> Vec<u8> {
        let size = HEADER_SIZE + self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(size);
        frame.extend_from_slice(&(size as u32).to_be_bytes());
        frame.extend_from_slice(&self.count.to_be_bytes());
        frame.extend_from_slice(&number.to_be_bytes());
        frame.append(&mut self.records);
        frame.append(&mut self.tail);
        self.count = 0;
        frame
    }
}
