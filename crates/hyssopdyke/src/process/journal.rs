//! The durable log of a control VM, with its snapshot and its vote.
//!
//! A record consists of the length of its content, the CRC-32 of the length, the CRC-32 of the
//! content (each four bytes, little-endian), the content, and a one-byte end mark. The log contains
//! one record per batch of entries that was synced together. It is append-only, so that a crash can
//! only tear the last batch, which was not acknowledged yet. A batch names the entry that it
//! follows and replaces all later entries. The snapshot and the vote are one record each.
//!
//! A record that is truncated or lacks its end mark was never synced; it is removed. Any other
//! record with a wrong checksum was damaged later. The journal then does not open, since an
//! acknowledged entry may be lost.

use std::io;

use hyssopdyke_wire::ledger::{Batch, Entry, Snapshot, Vote};
use hyssopdyke_wire::range::{self, Check};
use prost::Message;

use super::Disk;

const LOG: &str = "log";
const SNAPSHOT: &str = "snapshot";
const VOTE: &str = "vote";

/// Size of a record's length and checksums, which precede its content.
const HEADER_BYTES: usize = 12;

/// Byte after a record's content. It is not zero, since a file that was extended but not written
/// contains zeros.
const END_MARK: u8 = 0xff;

/// Errors of a journal.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// A file operation failed.
    #[error("{file}: {source}")]
    Io {
        /// The file in the data directory.
        file: &'static str,
        /// The file system's error.
        source: io::Error,
    },
    /// A record was damaged after it was synced.
    #[error("{file}: damaged record at byte offset {offset}")]
    Damaged {
        /// The file in the data directory.
        file: &'static str,
        /// Byte offset of the record.
        offset: u64,
    },
    /// A number of a record is out of its range.
    #[error("{file}: record at byte offset {offset}: {source}")]
    Range {
        /// The file in the data directory.
        file: &'static str,
        /// Byte offset of the record.
        offset: u64,
        /// The number.
        source: range::Error,
    },
    /// The entries of the log are not contiguous with each other and the snapshot.
    #[error("log: expected entry {expected}, found entry {found}")]
    Sequence {
        /// Index of the entry that was found.
        found: u64,
        /// Index that follows the snapshot or the previous entry.
        expected: u64,
    },
    /// An earlier write has failed, so that the content of the log is unknown until a repair.
    #[error("an earlier write to the journal failed, and it was not repaired yet")]
    Failed,
}

/// An open journal.
#[derive(Debug)]
pub struct Journal<D> {
    disk: D,
    snapshot: Snapshot,
    vote: Vote,
    entries: Vec<Entry>,
    /// Size of the complete records in the log.
    log_bytes: u64,
    truncated_bytes: u64,
    is_failed: bool,
}

impl<D: Disk> Journal<D> {
    /// Opens the journal on a disk and truncates records that were never synced.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if a file cannot be read or was damaged.
    pub fn open(mut disk: D) -> Result<Self, Error> {
        let snapshot: Snapshot = read_single(&mut disk, SNAPSHOT)?.unwrap_or_default();
        let vote: Vote = read_single(&mut disk, VOTE)?.unwrap_or_default();
        let bytes = disk.read(LOG).map_err(|source| Error::Io { file: LOG, source })?;
        let bytes = bytes.unwrap_or_default();
        let mut journal = Self {
            disk,
            snapshot,
            vote,
            entries: Vec::new(),
            log_bytes: 0,
            truncated_bytes: 0,
            is_failed: false,
        };
        journal.load(&bytes)?;
        Ok(journal)
    }

    /// Returns the number of bytes that were truncated when the journal was opened.
    #[must_use]
    pub const fn truncated_bytes(&self) -> u64 {
        self.truncated_bytes
    }

    /// Returns the size of the log in bytes since it was last rewritten.
    #[must_use]
    pub const fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Returns whether a write has failed. The journal then accepts no writes until it is
    /// [repaired](Self::repair).
    #[must_use]
    pub const fn is_failed(&self) -> bool {
        self.is_failed
    }

    /// Returns the last vote.
    #[must_use]
    pub const fn vote(&self) -> &Vote {
        &self.vote
    }

    /// Returns the last snapshot.
    #[must_use]
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the index of the last entry.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Returns the term of an entry, or of the snapshot's last entry.
    #[must_use]
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns an entry that follows the snapshot.
    #[must_use]
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(position as usize)
    }

    /// Returns the entries that follow the snapshot.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Stores a vote.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if a write fails; the former vote stays. Returns [`Error::Failed`] if
    /// an earlier write has failed.
    pub fn store_vote(&mut self, vote: Vote) -> Result<(), Error> {
        self.check()?;
        self.replace(VOTE, &record(&vote))?;
        self.vote = vote;
        Ok(())
    }

    /// Stores entries after `previous`, replacing all entries that followed it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if a write fails; the journal then accepts no more writes, since the
    /// end of the log is not known. Returns [`Error::Failed`] if an earlier write has failed, and
    /// [`Error::Sequence`] if `previous` precedes the snapshot or is past the last entry.
    pub fn store_entries(&mut self, previous: u64, entries: Vec<Entry>) -> Result<(), Error> {
        self.check()?;
        let keep = previous.checked_sub(self.snapshot.index).map(|keep| keep as usize);
        let Some(keep) = keep.filter(|keep| *keep <= self.entries.len()) else {
            return Err(Error::Sequence { found: previous + 1, expected: self.last_index() + 1 });
        };
        let batch = Batch { previous, entries };
        let bytes = record(&batch);
        if let Err(source) = self.disk.write(LOG, self.log_bytes, &bytes) {
            self.is_failed = true;
            return Err(Error::Io { file: LOG, source });
        }
        self.log_bytes += bytes.len() as u64;
        self.entries.truncate(keep);
        self.entries.extend(batch.entries);
        Ok(())
    }

    /// Rewrites the vote and the log after a failure, so that the journal accepts writes again.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if a write still fails.
    pub fn repair(&mut self) -> Result<(), Error> {
        self.replace(VOTE, &record(&self.vote.clone()))?;
        self.rewrite_log()?;
        self.is_failed = false;
        Ok(())
    }

    /// Stores a snapshot and drops the entries that it covers.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Io`] if a write fails. The former snapshot stays, or the new snapshot is
    /// stored with a log that starts earlier. Returns [`Error::Failed`] if an earlier write has
    /// failed.
    pub fn store_snapshot(&mut self, snapshot: Snapshot) -> Result<(), Error> {
        self.check()?;
        let rest: Vec<Entry> = match self.term(snapshot.index) {
            Some(term) if term == snapshot.term => {
                let position = snapshot.index.saturating_sub(self.snapshot.index) as usize;
                self.entries.get(position..).unwrap_or_default().to_vec()
            }
            _ => Vec::new(),
        };
        self.replace(SNAPSHOT, &record(&snapshot))?;
        self.snapshot = snapshot;
        self.entries = rest;
        self.rewrite_log()
    }

    /// Replaces the log with the entries that follow the snapshot.
    fn rewrite_log(&mut self) -> Result<(), Error> {
        let bytes = if self.entries.is_empty() {
            Vec::new()
        } else {
            let (previous, entries) = (self.snapshot.index, self.entries.clone());
            record(&Batch { previous, entries })
        };
        self.replace(LOG, &bytes)?;
        self.log_bytes = bytes.len() as u64;
        Ok(())
    }

    fn replace(&mut self, file: &'static str, bytes: &[u8]) -> Result<(), Error> {
        self.disk.replace(file, bytes).map_err(|source| {
            self.is_failed = true;
            Error::Io { file, source }
        })
    }

    const fn check(&self) -> Result<(), Error> {
        if self.is_failed { Err(Error::Failed) } else { Ok(()) }
    }

    fn load(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let mut offset = 0;
        while offset < bytes.len() {
            match decode(&bytes[offset..]) {
                Decoded::Complete(batch, length) => {
                    check(LOG, offset as u64, &batch)?;
                    self.apply(batch)?;
                    offset += length;
                }
                Decoded::Torn => {
                    self.truncated_bytes = (bytes.len() - offset) as u64;
                    break;
                }
                Decoded::Damaged => {
                    return Err(Error::Damaged { file: LOG, offset: offset as u64 });
                }
            }
        }
        self.log_bytes = offset as u64;
        if self.truncated_bytes > 0 {
            self.rewrite_log()?;
        }
        Ok(())
    }

    /// Applies a batch of the log.
    ///
    /// After a crash between writing a snapshot and rewriting the log, the log also contains
    /// entries that the snapshot covers; they are skipped.
    fn apply(&mut self, batch: Batch) -> Result<(), Error> {
        let keep = batch.previous.saturating_sub(self.snapshot.index) as usize;
        if keep > self.entries.len() {
            let expected = self.last_index() + 1;
            return Err(Error::Sequence { found: batch.previous + 1, expected });
        }
        self.entries.truncate(keep);
        for entry in batch.entries.into_iter().filter(|entry| entry.index > self.snapshot.index) {
            let expected = self.snapshot.index + self.entries.len() as u64 + 1;
            if entry.index != expected {
                return Err(Error::Sequence { found: entry.index, expected });
            }
            self.entries.push(entry);
        }
        Ok(())
    }
}

enum Decoded<M> {
    /// The message and the size of its record in bytes.
    Complete(M, usize),
    Torn,
    Damaged,
}

fn record<M: Message>(message: &M) -> Vec<u8> {
    let body = message.encode_to_vec();
    let length = (body.len() as u32).to_le_bytes();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len() + 1);
    bytes.extend(length);
    bytes.extend(crc32fast::hash(&length).to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes.push(END_MARK);
    bytes
}

fn decode<M: Message + Default>(bytes: &[u8]) -> Decoded<M> {
    let (words, _) = bytes.as_chunks::<4>();
    let [length, length_checksum, body_checksum, ..] = words else {
        return Decoded::Torn;
    };
    if crc32fast::hash(length) != u32::from_le_bytes(*length_checksum) {
        // After a torn header, the rest of the file was never written and is zero.
        let is_unwritten = bytes.iter().skip(HEADER_BYTES).all(|byte| *byte == 0);
        return if is_unwritten { Decoded::Torn } else { Decoded::Damaged };
    }
    let length = u32::from_le_bytes(*length) as usize;
    let Some((body, [mark, ..])) = bytes[HEADER_BYTES..].split_at_checked(length) else {
        return Decoded::Torn;
    };
    let is_last = bytes.len() == HEADER_BYTES + length + 1;
    if *mark != END_MARK {
        return if *mark == 0 && is_last { Decoded::Torn } else { Decoded::Damaged };
    }
    match M::decode(body) {
        Ok(message) if crc32fast::hash(body) == u32::from_le_bytes(*body_checksum) => {
            Decoded::Complete(message, HEADER_BYTES + length + 1)
        }
        _ => Decoded::Damaged,
    }
}

fn check(file: &'static str, offset: u64, message: &impl Check) -> Result<(), Error> {
    message.check().map_err(|source| Error::Range { file, offset, source })
}

fn read_single<M: Message + Default + Check, D: Disk>(
    disk: &mut D,
    file: &'static str,
) -> Result<Option<M>, Error> {
    let bytes = disk.read(file).map_err(|source| Error::Io { file, source })?;
    let Some(bytes) = bytes else {
        return Ok(None);
    };
    match decode(&bytes) {
        Decoded::Complete(message, length) if length == bytes.len() => {
            check(file, 0, &message)?;
            Ok(Some(message))
        }
        _ => Err(Error::Damaged { file, offset: 0 }),
    }
}
