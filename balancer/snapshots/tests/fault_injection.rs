//! Injection of disk faults by a fault file.
use balancer_snapshots::fault_injection::FaultyStorage;
use balancer_snapshots::FaultFile;
use redb::backends::InMemoryBackend;
use redb::StorageBackend;
use std::io;
use std::sync::Arc;

/// A disk whose content the test can read without injected faults.
#[derive(Debug, Clone)]
struct Disk(Arc<InMemoryBackend>);

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }
}

#[test]
fn fault_file_is_applied_and_unknown_faults_fail() {
    let folder = tempfile::TempDir::new().expect("a folder");
    let file = folder.path().join("drill");
    let disk = FaultyStorage::new(InMemoryBackend::new(), Some(FaultFile::new(&file)));
    let set_fault = |text: &str| std::fs::write(&file, text).expect("writes");
    let read = || {
        let mut out = [0; 4];
        disk.read(0, &mut out).map(|()| out)
    };
    disk.set_len(4096).expect("grows");
    disk.write(0, b"well").expect("no fault without a file");
    set_fault("full\n");
    assert_eq!(
        disk.write(0, b"full").map_err(|e| e.kind()),
        Err(io::ErrorKind::StorageFull)
    );
    assert_eq!(read().expect("reads"), *b"well");
    set_fault("failing");
    assert!(read().is_err() && disk.sync_data().is_err() && disk.set_len(8192).is_err());
    set_fault("slow 1ms");
    assert_eq!(read().expect("reads"), *b"well");
    set_fault("lsow 1ms");
    assert!(read().is_err_and(|e| e.to_string().contains("unknown fault \"lsow 1ms\"")));
}

#[test]
fn unsynced_writes_are_readable_but_durable_after_sync() {
    let folder = tempfile::TempDir::new().expect("a folder");
    let file = folder.path().join("drill");
    std::fs::write(&file, "unsynced").expect("writes");
    let underlying = Disk(Arc::new(InMemoryBackend::new()));
    let disk = FaultyStorage::new(underlying.clone(), Some(FaultFile::new(&file)));
    disk.set_len(1 << 16).expect("grows");
    let on_disk = |at: u64| {
        let mut out = vec![0; 1024];
        underlying.read(at, &mut out).expect("reads");
        out
    };
    let data = vec![7; 1024];
    let offsets: Vec<u64> = (0..60).map(|n| n * 1024).collect();
    for &at in &offsets {
        disk.write(at, &data).expect("writes");
        let mut out = vec![0; 1024];
        disk.read(at, &mut out).expect("reads");
        assert_eq!(out, data);
    }
    // The probability that all writes share one outcome is 1 in 3^59.
    let lost = offsets.iter().filter(|&&at| on_disk(at)[0] == 0).count();
    assert!(lost > 0 && lost < 60, "{lost} of 60 lost");
    disk.sync_data().expect("syncs");
    assert!(offsets.iter().all(|&at| on_disk(at) == data));
}
