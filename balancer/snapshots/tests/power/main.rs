//! Snapshots on disks that lose power, are full or contain corrupt data.
mod arbitrary_bytes;
mod disk;
mod files;
mod power_loss;
mod puts;
