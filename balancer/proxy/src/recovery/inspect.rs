//! Describes a state folder for operators. Owns no state.
use balancer_snapshots::store::{self, StoreError};
use balancer_snapshots::{unix_ms, Record};
use std::path::{Path, PathBuf};

/// Number of characters shown of a record.
const PREVIEW_LEN: usize = 100;

/// Why a folder cannot be inspected.
#[derive(Debug, thiserror::Error)]
#[error("{}: {cause}", dir.display())]
pub(crate) struct InspectError {
    dir: PathBuf,
    #[source]
    cause: StoreError,
}

/// The contents of a folder.
pub(crate) struct Inspection {
    /// One line per kind of record.
    pub text: String,
    /// Whether all records are usable.
    pub is_usable: bool,
}

/// Inspects a folder without changing anything in it.
///
/// # Errors
/// Fails if the folder cannot be read.
pub(crate) fn inspect(dir: &Path) -> Result<Inspection, InspectError> {
    let records = store::inspect(dir).map_err(|cause| InspectError {
        dir: dir.into(),
        cause,
    })?;
    let mut inspection = Inspection {
        text: String::new(),
        is_usable: true,
    };
    for record in records {
        let kind = record.kind.name();
        let line = match record.found {
            None => "none".into(),
            Some(Ok((record, owner))) => describe(&record, &owner),
            Some(Err(error)) => {
                inspection.is_usable = false;
                error.to_string()
            }
        };
        inspection.text.push_str(&format!("{kind:<10} {line}\n"));
    }
    Ok(inspection)
}

fn describe(record: &Record, owner: &str) -> String {
    let age_s = (unix_ms() - record.written_ms) / 1000.0;
    let (size, settings) = (record.payload.len(), record.settings);
    let preview: String = record.payload.chars().take(PREVIEW_LEN).collect();
    format!(
        "of {owner}, written {age_s:.1} s ago, settings {settings:08x}, {size} bytes: {preview}"
    )
}
