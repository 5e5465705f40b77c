//! The state folder of a balancer, and faults that damage it while the balancer is down.
use crate::experiment::Damage;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// All files below a folder, sorted by path.
fn files(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let mut all = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            all.extend(files(&path)?);
        } else {
            all.push(path);
        }
    }
    all.sort();
    Ok(all)
}

/// Copies a folder recursively; replaces the destination.
pub fn copy(from: &Path, to: &Path) -> io::Result<()> {
    if to.exists() {
        fs::remove_dir_all(to)?;
    }
    fs::create_dir_all(to)?;
    for file in files(from)? {
        let Ok(below) = file.strip_prefix(from) else {
            continue;
        };
        let target = to.join(below);
        if let Some(parent) = target.parent() {
            fs::create_dir_all(parent)?;
        }
        match fs::copy(&file, &target) {
            Ok(_) => {}
            // The running balancer has replaced or removed the file in the meantime.
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Damages a folder; `old` is an earlier copy of it. `draw` returns a random number below its argument, the position of
/// the bit to flip.
pub fn damage(
    folder: &Path,
    how: Damage,
    old: &Path,
    mut draw: impl FnMut(u64) -> u64,
) -> io::Result<()> {
    match how {
        Damage::Emptied => {
            fs::remove_dir_all(folder)?;
            fs::create_dir_all(folder)
        }
        Damage::Old => copy(old, folder),
        Damage::Truncated => {
            for file in files(folder)? {
                let length = fs::metadata(&file)?.len();
                fs::OpenOptions::new()
                    .write(true)
                    .open(&file)?
                    .set_len(length / 2)?;
            }
            Ok(())
        }
        Damage::Flipped => {
            for file in files(folder)? {
                let mut bytes = fs::read(&file)?;
                if bytes.is_empty() {
                    continue;
                }
                let bit = draw(bytes.len() as u64 * 8);
                bytes[(bit / 8) as usize] ^= 1 << (bit % 8);
                fs::write(&file, bytes)?;
            }
            Ok(())
        }
    }
}
