//! The files of a store, as real ones in a folder or as stand-ins in tests.
use std::{
    fs::{File, OpenOptions},
    io::{self, Read, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

/// The four files of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FileName {
    /// The snapshot of an even (`false`) or odd (`true`) generation.
    Slot(bool),
    /// The log of an even (`false`) or odd (`true`) generation.
    Log(bool),
}

impl FileName {
    /// All files.
    pub const ALL: [FileName; 4] = [
        FileName::Slot(false),
        FileName::Slot(true),
        FileName::Log(false),
        FileName::Log(true),
    ];

    /// The file's name in the folder.
    pub fn text(self) -> &'static str {
        match self {
            FileName::Slot(false) => "slot-0",
            FileName::Slot(true) => "slot-1",
            FileName::Log(false) => "log-0",
            FileName::Log(true) => "log-1",
        }
    }
}

/// What a store needs of a file system.
pub trait Directory {
    /// A file's bytes; `None` where there is no such file.
    ///
    /// # Errors
    /// When the file can't be read.
    fn read(&mut self, file: FileName) -> io::Result<Option<Vec<u8>>>;

    /// Makes a file hold these bytes and nothing else. Neither the bytes nor the name need last yet.
    ///
    /// # Errors
    /// When the file can't be made or written.
    fn overwrite(&mut self, file: FileName, bytes: &[u8]) -> io::Result<()>;

    /// Writes into a file that is there.
    ///
    /// # Errors
    /// When the file can't be written.
    fn write_at(&mut self, file: FileName, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file.
    ///
    /// # Errors
    /// When the file can't be cut.
    fn truncate(&mut self, file: FileName, length: u64) -> io::Result<()>;

    /// Makes a file's bytes last, and its name.
    ///
    /// # Errors
    /// When the disk does not confirm it.
    fn sync(&mut self, file: FileName) -> io::Result<()>;
}

/// Real files in a folder.
pub struct FolderDirectory {
    folder: PathBuf,
    open: Vec<(FileName, File)>,
    named: Vec<FileName>,
}

impl FolderDirectory {
    /// The files in a folder, which is made if it isn't there.
    ///
    /// # Errors
    /// When the folder can't be made.
    pub fn new(folder: &Path) -> io::Result<FolderDirectory> {
        std::fs::create_dir_all(folder)?;
        Ok(FolderDirectory {
            folder: folder.to_owned(),
            open: Vec::new(),
            named: Vec::new(),
        })
    }

    fn file(&mut self, name: FileName) -> io::Result<&mut File> {
        let position = match self.open.iter().position(|(other, _)| *other == name) {
            Some(position) => position,
            None => {
                let path = self.folder.join(name.text());
                let file = OpenOptions::new()
                    .read(true)
                    .write(true)
                    .create(true)
                    .truncate(false)
                    .open(path)?;
                self.open.push((name, file));
                self.open.len() - 1
            }
        };
        Ok(&mut self.open[position].1)
    }
}

impl Directory for FolderDirectory {
    fn read(&mut self, name: FileName) -> io::Result<Option<Vec<u8>>> {
        let mut file = match File::open(self.folder.join(name.text())) {
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
        if !self.named.contains(&name) {
            File::open(&self.folder)?.sync_all()?;
            self.named.push(name);
        }
        Ok(())
    }
}
