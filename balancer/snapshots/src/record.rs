//! The codec of one record: a payload with its owner, its deployment, the time at which it was written, and a checksum
//! over all of that. Knows neither the database nor what payloads mean.
use serde::{Deserialize, Serialize};

/// The format of records that this version writes. Older ones that it still reads would be named here.
pub const FORMAT: u16 = 1;
/// The length of the longest payload, in bytes: state is small, and what is larger is not ours.
pub const MAX_PAYLOAD_LEN: usize = 4 << 20;

/// The kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The number of starts of the balancer.
    Starts,
    /// The last valid list of upstreams.
    Upstreams,
    /// What the decisions have learned.
    Learned,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 3] = [Kind::Starts, Kind::Upstreams, Kind::Learned];

    /// The name: its key in the database, and its text in tables.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Starts => "starts",
            Kind::Upstreams => "upstreams",
            Kind::Learned => "learned",
        }
    }
}

/// The owner of the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The balancer's name.
    pub name: String,
    /// A fingerprint of the settings under which its state makes sense.
    pub settings: u32,
}

/// A decoded record.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// JSON that only its owner can interpret.
    pub payload: String,
    /// The time at which it was written: Unix time in milliseconds, by the clock of then.
    pub written_ms: f64,
    /// The fingerprint of the settings of then.
    pub settings: u32,
}

/// The reason why bytes are no record of this owner.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// They are incomplete, or not what was written.
    #[error("broken: {0}")]
    Malformed(String),
    /// They were written by a later version, in a format that this one does not support.
    #[error("of form {0}; this version reads {FORMAT}")]
    UnsupportedFormat(u16),
    /// They belong to another balancer.
    #[error("of another balancer, {0:?}")]
    ForeignOwner(String),
}

/// The stored form of a record, in JSON, behind a checksum of four bytes.
#[derive(Serialize, Deserialize)]
struct Stored {
    format: u16,
    kind: Kind,
    owner: String,
    settings: u32,
    written_ms: f64,
    payload: String,
}

impl Record {
    /// Encodes the bytes to store.
    pub fn encode(&self, kind: Kind, owner: &str) -> Vec<u8> {
        let stored = Stored {
            format: FORMAT,
            kind,
            owner: owner.into(),
            settings: self.settings,
            written_ms: self.written_ms,
            payload: self.payload.clone(),
        };
        // Text and finite numbers only: there is nothing in it that JSON can't hold.
        let body = serde_json::to_vec(&stored).unwrap_or_default();
        let mut bytes = crc32fast::hash(&body).to_be_bytes().to_vec();
        bytes.extend(body);
        bytes
    }

    /// Decodes a record and its owner from bytes that were stored under this kind; of any owner where none is given.
    ///
    /// # Errors
    ///
    /// When the bytes are no record of this format, kind and owner.
    pub fn decode(
        bytes: &[u8],
        kind: Kind,
        owner: Option<&str>,
    ) -> Result<(Record, String), RecordError> {
        let broken = |what: &str| Err(RecordError::Malformed(what.into()));
        let Some((checksum, body)) = bytes.split_first_chunk::<4>() else {
            return broken("shorter than its checksum");
        };
        if body.len() > 2 * MAX_PAYLOAD_LEN {
            return broken("too long");
        }
        if crc32fast::hash(body).to_be_bytes() != *checksum {
            return broken("the checksum does not fit");
        }
        check_format(body)?;
        let stored: Stored =
            serde_json::from_slice(body).map_err(|e| RecordError::Malformed(e.to_string()))?;
        if stored.kind != kind {
            return broken("it is kept under another kind");
        }
        if owner.is_some_and(|owner| owner != stored.owner) {
            return Err(RecordError::ForeignOwner(stored.owner));
        }
        let record = Record {
            payload: stored.payload,
            written_ms: stored.written_ms,
            settings: stored.settings,
        };
        Ok((record, stored.owner))
    }
}

/// Checks the format alone: a later one need not have the fields of this one.
fn check_format(body: &[u8]) -> Result<(), RecordError> {
    #[derive(Deserialize)]
    struct FormatOnly {
        format: u16,
    }
    match serde_json::from_slice::<FormatOnly>(body) {
        Ok(FormatOnly { format: FORMAT }) => Ok(()),
        Ok(FormatOnly { format }) => Err(RecordError::UnsupportedFormat(format)),
        Err(e) => Err(RecordError::Malformed(e.to_string())),
    }
}
