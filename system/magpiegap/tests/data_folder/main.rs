//! A stored data folder of a coordinator, which every later build must open and read to the same values.
//!
//! Its bytes must not change: a coordinator that starts with another build finds the folder that the build before has
//! written, and may go back to that build while the machines are brought to another one by one. The files are in
//! `golden/data_folder.hex`, one line for each, as `file: bytes`. A change of names in the code leaves them as they are;
//! should the bytes ever have to be others, another folder goes beside this one, which stays and is still read.
mod commands;
mod content;
mod files;
mod reading;
