//! The durable log of a control VM, with its snapshot and its vote.
//!
//! A record is the length of its content, the CRC-32 of the length, the CRC-32 of the content,
//! each four bytes and little-endian, the content, and one byte that marks the end. The log holds
//! a record for each batch of entries that was synced together and is only ever appended to, so
//! that a crash can tear nothing but the batch that was not acknowledged yet: a batch names the
//! entry that it follows, and takes the place of all that followed that entry before. The
//! snapshot and the vote are one record each.
//!
//! A record that the file ends within, or that lacks its end mark, was never synced and is cut
//! off. Any other record whose checksums are wrong was damaged later: the journal does not open,
//! since an acknowledged entry may be lost.

use std::io;

use hyssopdyke_wire::ledger::{Batch, Entry, Snapshot, Vote};
use prost::Message;

use super::Disk;

const LOG: &str = "log";
const SNAPSHOT: &str = "snapshot";
const VOTE: &str = "vote";

/// Bytes of the length and the checksums before a record's content.
const HEADER_BYTES: usize = 12;

/// Byte after a record's content. A file that was extended but not written holds zeros.
const END_MARK: u8 = 0xff;

/// Why a journal cannot be used.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// A file operation failed.
    #[error("{file}: {source}")]
    Io {
        /// The file in the data folder.
        file: &'static str,
        /// What the file system said.
        source: io::Error,
    },
    /// A record was damaged after it was synced.
    #[error("{file}: damaged record at byte {offset}")]
    Damaged {
        /// The file in the data folder.
        file: &'static str,
        /// Start of the record.
        offset: u64,
    },
    /// The log does not follow its snapshot.
    #[error("log: entry {found} where {expected} was expected")]
    Sequence {
        /// Index of the entry.
        found: u64,
        /// Index that follows the snapshot or the entry before.
        expected: u64,
    },
    /// A write has failed before; the content of the log is not known.
    #[error("the journal has failed before")]
    Failed,
}

/// An open journal.
#[derive(Debug)]
pub struct Journal<D> {
    disk: D,
    snapshot: Snapshot,
    vote: Vote,
    entries: Vec<Entry>,
    /// Bytes of the log that hold whole records.
    log_bytes: u64,
    truncated_bytes: u64,
    is_failed: bool,
}

impl<D: Disk> Journal<D> {
    /// Opens the journal on a disk, cutting off what was never synced.
    ///
    /// # Errors
    ///
    /// An [`Error`] if a file cannot be read or was damaged.
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

    /// Bytes that were cut off when the journal was opened.
    #[must_use]
    pub const fn truncated_bytes(&self) -> u64 {
        self.truncated_bytes
    }

    /// Bytes of the log since it was last rewritten.
    #[must_use]
    pub const fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Whether a write has failed, so that the journal takes nothing more until it is repaired.
    #[must_use]
    pub const fn is_failed(&self) -> bool {
        self.is_failed
    }

    /// The last vote.
    #[must_use]
    pub const fn vote(&self) -> &Vote {
        &self.vote
    }

    /// The last snapshot.
    #[must_use]
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Index of the last entry.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Term of an entry, or of the snapshot's last entry.
    #[must_use]
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// An entry that is not part of the snapshot.
    #[must_use]
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(position as usize)
    }

    /// Entries that follow the snapshot.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Stores a vote.
    ///
    /// # Errors
    ///
    /// [`Error::Io`]; the former vote stays.
    pub fn store_vote(&mut self, vote: Vote) -> Result<(), Error> {
        self.check()?;
        self.replace(VOTE, &record(&vote))?;
        self.vote = vote;
        Ok(())
    }

    /// Stores entries after `previous`, in place of those that were there.
    ///
    /// # Errors
    ///
    /// [`Error::Io`]; the journal takes nothing more, since the log's end is not known.
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

    /// Writes all anew after a failure, whereupon the journal takes more.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] while the disk fails still.
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
    /// [`Error::Io`]; the former snapshot stays, or the new one with a log that starts earlier.
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

    /// Puts the entries that follow the snapshot in place of the log.
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
                Decoded::Whole(batch, length) => {
                    self.take_in(batch)?;
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

    /// Follows a batch of the log.
    ///
    /// A crash between a new snapshot and its shorter log leaves entries of both.
    fn take_in(&mut self, batch: Batch) -> Result<(), Error> {
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
    Whole(M, usize),
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
        // A torn header is followed by nothing that was written.
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
            Decoded::Whole(message, HEADER_BYTES + length + 1)
        }
        _ => Decoded::Damaged,
    }
}

fn read_single<M: Message + Default, D: Disk>(
    disk: &mut D,
    file: &'static str,
) -> Result<Option<M>, Error> {
    let bytes = disk.read(file).map_err(|source| Error::Io { file, source })?;
    let Some(bytes) = bytes else {
        return Ok(None);
    };
    match decode(&bytes) {
        Decoded::Whole(message, length) if length == bytes.len() => Ok(Some(message)),
        _ => Err(Error::Damaged { file, offset: 0 }),
    }
}
