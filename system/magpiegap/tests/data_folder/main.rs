//! Compatibility of the on-disk format: a stored data folder that every later build must read to the same values.
//!
//! The stored bytes must not change. During a rolling upgrade a coordinator opens the folder that the previous build has
//! written, and a rollback opens it with the previous build again. The files are in `golden/data_folder.hex`, one line per
//! file, as `file: bytes`. If the format has to change, add a second stored folder and keep reading this one.
mod commands;
mod content;
mod files;
mod reading;
