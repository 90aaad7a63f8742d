//! The few file operations that a journal needs, so that tests can fail each of them.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// Files of one data folder.
pub trait Disk {
    /// Reads a whole file; `None` if there is none.
    ///
    /// # Errors
    ///
    /// As the file system has them.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Puts `bytes` in place of a file, synced, so that a crash leaves the old or the new content.
    ///
    /// # Errors
    ///
    /// As the file system has them; the old content stays.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Writes `bytes` at `offset` of a file, cuts it there, and syncs it.
    ///
    /// # Errors
    ///
    /// As the file system has them; the content from `offset` on is then undefined.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;
}

/// A folder of the file system, locked against a second process.
#[derive(Debug)]
pub struct DataDir {
    path: PathBuf,
    _lock: File,
    log: Option<(Box<str>, File)>,
}

impl DataDir {
    /// Opens a folder, which is made if there is none.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if another process has opened it; otherwise as the file system has them.
    pub fn open(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        let lock = File::create(path.join("lock"))?;
        lock.try_lock().map_err(|error| match error {
            TryLockError::WouldBlock => io::Error::new(
                io::ErrorKind::WouldBlock,
                format!("{} is in use by another process", path.display()),
            ),
            TryLockError::Error(error) => error,
        })?;
        Ok(Self { path: path.into(), _lock: lock, log: None })
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.log.as_ref().is_none_or(|(open, _)| **open != *name) {
            let path = self.path.join(name);
            let is_new = !path.exists();
            let options = OpenOptions::new().write(true).create(true).truncate(false).open(path)?;
            if is_new {
                self.sync_folder()?;
            }
            self.log = Some((name.into(), options));
        }
        match &mut self.log {
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
        self.sync_folder()?;
        if self.log.as_ref().is_some_and(|(open, _)| **open == *name) {
            self.log = None;
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
