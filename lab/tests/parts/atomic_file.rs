//! Files that are replaced while others write beside them.
use balancer_lab::atomic_file::replace;
use std::path::Path;

const WRITES: usize = 400;

/// Replaces a file again and again, and looks each time that it holds one of its own texts.
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

/// The configuration and the disk's faults of one balancer differ by their ending only, and two threads of the lab may
/// write them at once; once each of them wrote into the other's file on the way.
#[test]
fn files_that_differ_by_their_ending_are_replaced_at_once_without_a_mix() {
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
    assert_eq!(left, 2, "nothing under way is left behind");
}
