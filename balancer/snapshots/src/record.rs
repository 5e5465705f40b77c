//! One record: a payload with its owner, its deployment, the time it was written, and a checksum over all of that.
use serde::{Deserialize, Serialize};
use std::fmt;

/// The form of records that this version writes. Older ones that it still reads would be named here.
pub const FORMAT: u16 = 1;
/// The largest payload, in bytes: state is small, and what is larger is not ours.
pub const PAYLOAD_MOST: usize = 4 << 20;

/// The kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// How often the balancer has started.
    Starts,
    /// The last good list of upstreams.
    Upstreams,
    /// What the decisions have learned.
    Learned,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 3] = [Kind::Starts, Kind::Upstreams, Kind::Learned];

    /// Its name, in the database and in tables.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Starts => "starts",
            Kind::Upstreams => "upstreams",
            Kind::Learned => "learned",
        }
    }
}

/// Whose state it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The balancer's name.
    pub name: String,
    /// A fingerprint of the settings under which its state makes sense.
    pub settings: u32,
}

/// A record as it is written and read.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// What it holds: JSON that only its owner can read.
    pub payload: String,
    /// When it was written: Unix time, in milliseconds, by the clock of then.
    pub written_ms: f64,
    /// The fingerprint of the settings of then.
    pub settings: u32,
}

/// Why bytes are no record of ours.
#[derive(Clone, Debug, PartialEq)]
pub enum Unfit {
    /// They are not whole, or not what was written.
    Broken(String),
    /// They were written by a version whose form is not known here.
    Format(u16),
    /// They belong to another balancer.
    Owner(String),
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unfit::Broken(what) => write!(f, "broken: {what}"),
            Unfit::Format(format) => write!(f, "of form {format}; this version reads {FORMAT}"),
            Unfit::Owner(name) => write!(f, "of another balancer, {name:?}"),
        }
    }
}

/// How a record is stored in the database: a checksum of four bytes, then this as JSON.
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
    /// The bytes to store.
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

    /// A record from bytes that were stored under this kind, of any owner where none is given.
    pub fn decode(
        bytes: &[u8],
        kind: Kind,
        owner: Option<&str>,
    ) -> Result<(Record, String), Unfit> {
        let broken = |what: &str| Err(Unfit::Broken(what.into()));
        let Some((checksum, body)) = bytes.split_first_chunk::<4>() else {
            return broken("shorter than its checksum");
        };
        if body.len() > 2 * PAYLOAD_MOST {
            return broken("too long");
        }
        if crc32fast::hash(body).to_be_bytes() != *checksum {
            return broken("the checksum does not fit");
        }
        // A later form need not have the fields of this one, so that is looked at by itself first.
        #[derive(Deserialize)]
        struct FormatOnly {
            format: u16,
        }
        match serde_json::from_slice::<FormatOnly>(body) {
            Ok(format_only) if format_only.format != FORMAT => {
                return Err(Unfit::Format(format_only.format))
            }
            Ok(_) => {}
            Err(e) => return Err(Unfit::Broken(e.to_string())),
        }
        let stored: Stored =
            serde_json::from_slice(body).map_err(|e| Unfit::Broken(e.to_string()))?;
        if stored.kind != kind {
            return broken("it is kept under another kind");
        }
        if owner.is_some_and(|owner| owner != stored.owner) {
            return Err(Unfit::Owner(stored.owner));
        }
        let record = Record {
            payload: stored.payload,
            written_ms: stored.written_ms,
            settings: stored.settings,
        };
        Ok((record, stored.owner))
    }
}
