//! The files of a store, and the file system operations that it requires.
//!
//! The `format` module defines the content of the files. Tests replace [`FolderDirectory`] by a simulated disk.
use crate::generation::Parity;
use std::{
    fs::{File, OpenOptions},
    io::{self, Read, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

/// One of the four files of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FileName {
    /// The snapshot of the even or odd generations.
    Slot(Parity),
    /// The log of the even or odd generations.
    Log(Parity),
}

impl FileName {
    /// All files.
    pub const ALL: [FileName; 4] = [
        FileName::Slot(Parity::Even),
        FileName::Slot(Parity::Odd),
        FileName::Log(Parity::Even),
        FileName::Log(Parity::Odd),
    ];

    /// Name of the file in the folder.
    pub fn as_str(self) -> &'static str {
        match self {
            FileName::Slot(Parity::Even) => "slot-0",
            FileName::Slot(Parity::Odd) => "slot-1",
            FileName::Log(Parity::Even) => "log-0",
            FileName::Log(Parity::Odd) => "log-1",
        }
    }
}

/// File system operations used by a store.
pub trait Directory {
    /// Reads a complete file; `None` if it does not exist.
    ///
    /// # Errors
    /// When the file can't be read.
    fn read(&mut self, file: FileName) -> io::Result<Option<Vec<u8>>>;

    /// Replaces the content of a file, creating it if necessary. The content becomes durable with [`Self::sync`].
    ///
    /// # Errors
    /// When the file can't be created or written.
    fn overwrite(&mut self, file: FileName, bytes: &[u8]) -> io::Result<()>;

    /// Writes at an offset of an existing file.
    ///
    /// # Errors
    /// When the file can't be written.
    fn write_at(&mut self, file: FileName, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to a length in bytes.
    ///
    /// # Errors
    /// When the file can't be truncated.
    fn truncate(&mut self, file: FileName, length: u64) -> io::Result<()>;

    /// Makes the content and the directory entry of a file durable.
    ///
    /// # Errors
    /// When the file or its directory entry can't be synced.
    fn sync(&mut self, file: FileName) -> io::Result<()>;
}

/// The files of a store in a folder of the local file system.
pub struct FolderDirectory {
    folder: PathBuf,
    open_files: Vec<(FileName, File)>,
    /// Files whose directory entries are durable.
    synced_names: Vec<FileName>,
}

impl FolderDirectory {
    /// Uses a folder, creating it if necessary.
    ///
    /// # Errors
    /// When the folder can't be created.
    pub fn new(folder: &Path) -> io::Result<FolderDirectory> {
        std::fs::create_dir_all(folder)?;
        Ok(FolderDirectory {
            folder: folder.to_owned(),
            open_files: Vec::new(),
            synced_names: Vec::new(),
        })
    }

    fn path(&self, name: FileName) -> PathBuf {
        self.folder.join(name.as_str())
    }

    /// Returns an open file, which is opened or created on first use.
    fn file(&mut self, name: FileName) -> io::Result<&mut File> {
        let known = self.open_files.iter().position(|(other, _)| *other == name);
        let position = match known {
            Some(position) => position,
            None => {
                let file = OpenOptions::new()
                    .read(true)
                    .write(true)
                    .create(true)
                    .truncate(false)
                    .open(self.path(name))?;
                self.open_files.push((name, file));
                self.open_files.len() - 1
            }
        };
        Ok(&mut self.open_files[position].1)
    }
}

impl Directory for FolderDirectory {
    fn read(&mut self, name: FileName) -> io::Result<Option<Vec<u8>>> {
        let mut file = match File::open(self.path(name)) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    }

    fn overwrite(&mut self, name: FileName, bytes: &[u8]) -> io::Result<()> {
        let file = self.file(name)?;
        file.set_len(0)?;
        file.seek(SeekFrom::Start(0))?;
        file.write_all(bytes)
    }

    fn write_at(&mut self, name: FileName, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let file = self.file(name)?;
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)
    }

    fn truncate(&mut self, name: FileName, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: FileName) -> io::Result<()> {
        self.file(name)?.sync_data()?;
        if !self.synced_names.contains(&name) {
            File::open(&self.folder)?.sync_all()?;
            self.synced_names.push(name);
        }
        Ok(())
    }
}
