//! Access to the stored files, and temporary folders for tests.
use std::path::{Path, PathBuf};

pub(crate) const STORED: &str = include_str!("../golden/data_folder.hex");

pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub(crate) fn bytes(hex: &str) -> Vec<u8> {
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    hex.as_bytes().chunks(2).map(byte).collect()
}

/// The names of the stored files and their content as hexadecimal digits.
pub(crate) fn stored() -> Vec<(&'static str, &'static str)> {
    STORED
        .lines()
        .filter_map(|line| line.split_once(": "))
        .collect()
}

/// Creates an empty folder; `name` must be unique to the test.
pub(crate) fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("data-folder-{name}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Creates a folder with a copy of the stored files.
pub(crate) fn stored_folder(name: &str) -> PathBuf {
    let folder = empty_folder(name);
    for (file, hex) in stored() {
        std::fs::write(folder.join(file), bytes(hex)).unwrap();
    }
    folder
}
