//! Atomic replacement of files under concurrent writes.
use balancer_lab::atomic_file::replace;
use std::path::Path;

const WRITES: usize = 400;

/// Replaces a file repeatedly, and checks each time that it contains a text written to this file.
fn write_and_read(path: &Path, own: &str) -> Result<(), String> {
    for number in 0..WRITES {
        replace(path, &format!("{own} {number}")).map_err(|e| e.to_string())?;
        let found = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
        if !found.starts_with(own) {
            return Err(format!("{} holds {found:?}", path.display()));
        }
    }
    Ok(())
}

/// The configuration and the disk faults of a balancer are files that differ in their extension only, and two threads
/// may replace them at once. Guards against a temporary file name that both share, which mixed their contents.
#[test]
fn concurrent_replacements_with_different_extensions_do_not_mix() {
    let folder = tempfile::tempdir().expect("a folder");
    let (config, fault_file) = (
        folder.path().join("front-1.json"),
        folder.path().join("front-1.drill"),
    );
    std::thread::scope(|scope| {
        let writers = [
            (&config, "{}"),
            (&fault_file, "failing"),
            (&config, "{}"),
            (&fault_file, "failing"),
        ];
        let threads = writers.map(|(path, own)| scope.spawn(move || write_and_read(path, own)));
        for thread in threads {
            assert_eq!(thread.join().expect("no panic"), Ok(()));
        }
    });
    let left = std::fs::read_dir(folder.path())
        .expect("the folder")
        .count();
    assert_eq!(left, 2, "no temporary file is left behind");
}
