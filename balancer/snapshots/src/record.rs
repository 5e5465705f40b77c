//! The codec of records. A record is a payload with its owner, a fingerprint of the settings, the time at which it was
//! written, and a checksum over all of these. Independent of the database and of the meaning of payloads.
use serde::{Deserialize, Serialize};

/// The only record format that is written and read.
pub const FORMAT: u16 = 1;
/// The maximum payload length, in bytes. Valid state is far smaller; a longer record is invalid.
pub const MAX_PAYLOAD_LEN: usize = 4 << 20;

/// The kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The number of starts of the balancer.
    Starts,
    /// The last valid list of upstreams.
    Upstreams,
    /// The learned state of load-balancing decisions.
    Learned,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 3] = [Kind::Starts, Kind::Upstreams, Kind::Learned];

    /// The name, which is the key in the database and is shown in tables.
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
    /// A fingerprint of the settings for which its state is valid.
    pub settings: u32,
}

/// A decoded record.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// JSON text that is opaque to this crate.
    pub payload: String,
    /// The time at which it was written: Unix time in milliseconds by the system clock at that time.
    pub written_ms: f64,
    /// The fingerprint of the settings at that time.
    pub settings: u32,
}

/// The reason why bytes are not a valid record of this owner.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecordError {
    /// The record is incomplete or corrupt.
    #[error("malformed record: {0}")]
    Malformed(String),
    /// The record was written in an unsupported format, by a later version.
    #[error("record format {0} is not supported; this version reads format {FORMAT}")]
    UnsupportedFormat(u16),
    /// The record belongs to another balancer.
    #[error("record belongs to another balancer, {0:?}")]
    ForeignOwner(String),
}

/// The stored form of a record: JSON after a checksum of four bytes.
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
    /// Encodes the record for storage under a kind and an owner.
    pub fn encode(&self, kind: Kind, owner: &str) -> Vec<u8> {
        let stored = Stored {
            format: FORMAT,
            kind,
            owner: owner.into(),
            settings: self.settings,
            written_ms: self.written_ms,
            payload: self.payload.clone(),
        };
        // Serialization can't fail: the fields are text and finite numbers.
        let body = serde_json::to_vec(&stored).unwrap_or_default();
        let mut bytes = crc32fast::hash(&body).to_be_bytes().to_vec();
        bytes.extend(body);
        bytes
    }

    /// Decodes a record and its owner from bytes stored under this kind. Without `owner`, records of any owner are
    /// accepted.
    ///
    /// # Errors
    ///
    /// When the bytes are not a record of this format, kind and owner.
    pub fn decode(
        bytes: &[u8],
        kind: Kind,
        owner: Option<&str>,
    ) -> Result<(Record, String), RecordError> {
        let malformed = |what: &str| Err(RecordError::Malformed(what.into()));
        let Some((checksum, body)) = bytes.split_first_chunk::<4>() else {
            return malformed("shorter than its checksum");
        };
        if body.len() > 2 * MAX_PAYLOAD_LEN {
            return malformed("longer than the maximum");
        }
        if crc32fast::hash(body).to_be_bytes() != *checksum {
            return malformed("checksum mismatch");
        }
        check_format(body)?;
        let stored: Stored =
            serde_json::from_slice(body).map_err(|e| RecordError::Malformed(e.to_string()))?;
        if stored.kind != kind {
            return malformed("stored under another kind");
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

/// Checks the format before anything else is decoded, as other formats may have different fields.
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
