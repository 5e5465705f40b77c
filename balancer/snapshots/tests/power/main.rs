//! Snapshots on disks that lose power, fill up or hold other bytes than were written.
mod arbitrary_bytes;
mod disk;
mod files;
mod power_loss;
mod puts;
