//! File operations of the journal, behind a trait so that tests can make each of them fail.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Files of one data directory.
pub trait Disk {
    /// Reads a whole file, or returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns the file system's error.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Replaces a file with `bytes` and syncs it. A crash leaves either the old or the new content.
    ///
    /// # Errors
    ///
    /// Returns the file system's error; the old content stays.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Writes `bytes` at `offset` of a file, truncates the file after them, and syncs it.
    ///
    /// # Errors
    ///
    /// Returns the file system's error; the content from `offset` on is then undefined.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;
}

/// Data directory in the file system, locked against use by a second process.
#[derive(Debug)]
pub struct DataDir {
    path: PathBuf,
    _lock: File,
    /// Name and handle of the file that was last written to.
    open_file: Option<(Box<str>, File)>,
}

impl DataDir {
    /// Opens a directory, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns `WouldBlock` if another process has the directory open, and otherwise the file
    /// system's error.
    pub fn open(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        let lock = File::create(path.join("lock"))?;
        lock.try_lock().map_err(|error| match error {
            TryLockError::WouldBlock => io::Error::new(
                io::ErrorKind::WouldBlock,
                format!("data directory {} is in use by another process", path.display()),
            ),
            TryLockError::Error(error) => error,
        })?;
        Ok(Self { path: path.into(), _lock: lock, open_file: None })
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open_file.as_ref().is_none_or(|(open, _)| **open != *name) {
            let path = self.path.join(name);
            let is_new = !path.exists();
            let file = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
            if is_new {
                self.sync_directory()?;
            }
            self.open_file = Some((name.into(), file));
        }
        match &mut self.open_file {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

impl Disk for DataDir {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let mut bytes = Vec::new();
        match File::open(self.path.join(name)) {
            Ok(mut file) => file.read_to_end(&mut bytes).map(|_| Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = self.path.join(format!("{name}.new"));
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&temporary, self.path.join(name))?;
        self.sync_directory()?;
        if self.open_file.as_ref().is_some_and(|(open, _)| **open == *name) {
            self.open_file = None;
        }
        Ok(())
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let file = self.file(name)?;
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)?;
        file.set_len(offset + bytes.len() as u64)?;
        file.sync_data()
    }
}
