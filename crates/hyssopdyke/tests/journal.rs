//! Tests of the journal with failing disks, torn records and damaged bytes.

#![allow(clippy::unwrap_used)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use hyssopdyke::process::{Disk, Journal, JournalError};
use hyssopdyke_wire::ledger::{Batch, Command, Entry, Snapshot, Vote, command::Body};
use hyssopdyke_wire::resource::Resource;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;

/// In-memory files that simulate a crash once `budget` bytes were written: the operation in
/// progress writes only a part, and every later one fails.
#[derive(Debug, Clone)]
struct Memory {
    files: Rc<RefCell<BTreeMap<String, Vec<u8>>>>,
    budget: Rc<RefCell<usize>>,
}

impl Memory {
    fn new(budget: usize) -> Self {
        Self { files: Rc::default(), budget: Rc::new(RefCell::new(budget)) }
    }

    /// Returns the same files after a restart, without a limit.
    fn restarted(&self) -> Self {
        Self { files: Rc::clone(&self.files), budget: Rc::new(RefCell::new(usize::MAX)) }
    }

    /// Takes up to `wanted` bytes from the budget and returns their number.
    fn spend(&self, wanted: usize) -> usize {
        let mut budget = self.budget.borrow_mut();
        let spent = wanted.min(*budget);
        *budget -= spent;
        spent
    }
}

impl Disk for Memory {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.borrow().get(name).cloned())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if self.spend(bytes.len() + 1) <= bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.files.borrow_mut().insert(name.into(), bytes.into());
        Ok(())
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let written = self.spend(bytes.len());
        let mut files = self.files.borrow_mut();
        let file = files.entry(name.into()).or_default();
        file.truncate(offset as usize);
        file.extend(&bytes[..written]);
        if written == bytes.len() { Ok(()) } else { Err(io::ErrorKind::StorageFull.into()) }
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, command: Some(Command { body: Some(Body::Barrier(true)) }) }
}

fn entries(from: u64, to: u64, term: u64) -> Vec<Entry> {
    (from..=to).map(|index| entry(index, term)).collect()
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot { index, term, revision: index, ..Snapshot::default() }
}

/// Runs a fixed sequence of operations until one fails, and returns the acknowledged entries.
fn work(disk: Memory) -> Vec<Entry> {
    let mut acknowledged = Vec::new();
    let Ok(mut journal) = Journal::open(disk) else { return acknowledged };
    let vote = Vote { term: 1, candidate: "a".into(), identity: 1 };
    if journal.store_vote(vote).is_err() {
        return acknowledged;
    }
    for batch in 0..4 {
        let (first, last) = (batch * 3 + 1, batch * 3 + 3);
        let batch = entries(first, last, 1);
        if journal.store_entries(first - 1, batch.clone()).is_err() {
            return acknowledged;
        }
        acknowledged.extend(batch);
        if last == 9 && journal.store_snapshot(snapshot(5, 1)).is_err() {
            return acknowledged;
        }
    }
    acknowledged
}

#[test]
fn open_after_failure_at_any_byte() {
    let unlimited = Memory::new(usize::MAX);
    assert_eq!(work(unlimited.clone()).len(), 12);
    let needed: usize = usize::MAX - *unlimited.budget.borrow();
    for budget in 0..=needed {
        let disk = Memory::new(budget);
        let acknowledged = work(disk.clone());
        let journal = Journal::open(disk.restarted()).unwrap();
        for entry in &acknowledged {
            let is_kept = journal.entry(entry.index) == Some(entry);
            let is_in_snapshot = entry.index <= journal.snapshot().index;
            assert!(is_kept || is_in_snapshot, "entry {} lost after {budget} bytes", entry.index);
        }
    }
}

#[test]
fn store_after_failure() {
    let mut journal = Journal::open(Memory::new(10)).unwrap();
    let error = journal.store_entries(0, entries(1, 1, 1)).unwrap_err();
    assert!(matches!(error, JournalError::Io { file: "log", .. }));
    assert!(matches!(journal.store_entries(0, entries(1, 1, 1)), Err(JournalError::Failed)));
    assert_eq!(journal.last_index(), 0, "an entry that was not synced was counted");
}

#[test]
fn open_torn_end() {
    let disk = Memory::new(usize::MAX);
    let mut journal = Journal::open(disk.clone()).unwrap();
    for index in 1..=2 {
        journal.store_entries(index - 1, entries(index, index, 1)).unwrap();
    }
    let before = disk.files.borrow()["log"].len();
    journal.store_entries(2, entries(3, 3, 1)).unwrap();
    let whole = disk.files.borrow()["log"].clone();
    let record = whole.len() - before;
    for cut in 1..record {
        let torn = disk.restarted();
        torn.files.borrow_mut().insert("log".into(), whole[..whole.len() - cut].into());
        let journal = Journal::open(torn).unwrap();
        assert_eq!(journal.last_index(), 2, "{cut} bytes missing");
        assert_eq!(journal.truncated_bytes(), (record - cut) as u64);
    }
    let mut extended = whole.clone();
    extended.extend([0; 64]);
    disk.files.borrow_mut().insert("log".into(), extended);
    let journal = Journal::open(disk).unwrap();
    assert_eq!((journal.last_index(), journal.truncated_bytes()), (3, 64));
}

#[test]
fn open_flipped_bit() {
    let disk = Memory::new(usize::MAX);
    let mut journal = Journal::open(disk.clone()).unwrap();
    journal.store_vote(Vote { term: 3, candidate: "a".into(), identity: 1 }).unwrap();
    journal.store_entries(0, entries(1, 3, 1)).unwrap();
    journal.store_snapshot(snapshot(1, 1)).unwrap();
    for file in ["log", "vote", "snapshot"] {
        let whole = disk.files.borrow()[file].clone();
        for bit in 0..whole.len() * 8 {
            let mut damaged = whole.clone();
            damaged[bit / 8] ^= 1 << (bit % 8);
            disk.files.borrow_mut().insert(file.into(), damaged);
            let error = Journal::open(disk.restarted()).err();
            let is_rejected =
                matches!(&error, Some(JournalError::Damaged { file: f, .. }) if *f == file);
            assert!(is_rejected, "{file}, bit {bit}: {error:?}");
        }
        disk.files.borrow_mut().insert(file.into(), whole);
    }
}

#[test]
fn store_replaces_conflict() {
    let disk = Memory::new(usize::MAX);
    let mut journal = Journal::open(disk.clone()).unwrap();
    journal.store_entries(0, entries(1, 5, 1)).unwrap();
    journal.store_entries(2, entries(3, 3, 2)).unwrap();
    let reopened = Journal::open(disk).unwrap();
    let terms: Vec<_> = reopened.entries().iter().map(|entry| (entry.index, entry.term)).collect();
    assert_eq!(terms, [(1, 1), (2, 1), (3, 2)]);
}

#[test]
fn open_torn_batch() {
    // A power loss has torn a batch: the file has its full length, but not all bytes were written.
    let disk = Memory::new(usize::MAX);
    let mut journal = Journal::open(disk.clone()).unwrap();
    journal.store_entries(0, entries(1, 2, 1)).unwrap();
    let synced = disk.files.borrow()["log"].len();
    journal.store_entries(2, entries(3, 6, 1)).unwrap();
    let whole = disk.files.borrow()["log"].clone();
    for written in synced..whole.len() {
        let mut torn = whole[..written].to_vec();
        torn.resize(whole.len(), 0);
        disk.files.borrow_mut().insert("log".into(), torn);
        let journal = Journal::open(disk.restarted()).unwrap();
        assert_eq!(journal.last_index(), 2, "{written} bytes written");
    }
}

#[test]
fn open_torn_conflict() {
    // A batch that replaces entries is torn. The entries that it would replace were acknowledged
    // and must be kept.
    let disk = Memory::new(usize::MAX);
    let mut journal = Journal::open(disk.clone()).unwrap();
    journal.store_entries(0, entries(1, 4, 1)).unwrap();
    let before = disk.files.borrow()["log"].len();
    journal.store_entries(2, entries(3, 3, 2)).unwrap();
    let whole = disk.files.borrow()["log"].clone();
    for written in before..whole.len() {
        disk.files.borrow_mut().insert("log".into(), whole[..written].to_vec());
        let journal = Journal::open(disk.restarted()).unwrap();
        let terms: Vec<_> = journal.entries().iter().map(|entry| entry.term).collect();
        assert_eq!(terms, [1, 1, 1, 1], "{written} bytes written");
    }
}

#[test]
fn repair_after_full_disk() {
    let disk = Memory::new(usize::MAX);
    let mut journal = Journal::open(disk.clone()).unwrap();
    journal.store_entries(0, entries(1, 2, 1)).unwrap();
    *disk.budget.borrow_mut() = 3;
    journal.store_entries(2, entries(3, 3, 1)).unwrap_err();
    assert!(journal.is_failed());
    journal.repair().unwrap_err();
    *disk.budget.borrow_mut() = usize::MAX;
    journal.repair().unwrap();
    journal.store_entries(2, entries(3, 3, 2)).unwrap();
    let reopened = Journal::open(disk.restarted()).unwrap();
    let terms: Vec<_> = reopened.entries().iter().map(|entry| entry.term).collect();
    assert_eq!(terms, [1, 1, 2]);
}

#[test]
fn store_gap() {
    let mut journal = Journal::open(Memory::new(usize::MAX)).unwrap();
    let error = journal.store_entries(4, entries(5, 5, 1)).unwrap_err();
    assert!(matches!(error, JournalError::Sequence { found: 5, expected: 1 }));
}

#[test]
fn snapshot_keeps_rest() {
    let disk = Memory::new(usize::MAX);
    let mut journal = Journal::open(disk.clone()).unwrap();
    journal.store_entries(0, entries(1, 6, 1)).unwrap();
    journal.store_snapshot(snapshot(4, 1)).unwrap();
    let reopened = Journal::open(disk).unwrap();
    assert_eq!((reopened.last_index(), reopened.entries().len()), (6, 2));
    assert_eq!((reopened.term(4), reopened.term(3)), (Some(1), None));
}

/// Writes a record as the journal does.
fn write_record(disk: &Memory, file: &str, message: &impl Message) {
    let body = message.encode_to_vec();
    let length = (body.len() as u32).to_le_bytes();
    let mut bytes = length.to_vec();
    bytes.extend(crc32fast::hash(&length).to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes.push(0xff);
    disk.files.borrow_mut().entry(file.into()).or_default().extend(bytes);
}

#[test]
fn open_out_of_range() {
    // Whole records with numbers that nobody can have counted: the next index or term overflowed.
    let open = |file: &str, write: &dyn Fn(&Memory)| {
        let disk = Memory::new(usize::MAX);
        write(&disk);
        let error = Journal::open(disk).unwrap_err().to_string();
        assert!(error.starts_with(&format!("{file}: record at byte offset 0: ")), "{error}");
        error
    };
    let error = open("vote", &|disk| {
        write_record(disk, "vote", &Vote { term: u64::MAX, ..Vote::default() });
    });
    assert!(
        error.ends_with("vote.term: expected at most 9007199254740992, found 18446744073709551615")
    );
    open("snapshot", &|disk| write_record(disk, "snapshot", &snapshot(u64::MAX, 1)));
    let after = Snapshot {
        resources: vec![Resource { revision: 8, ..Resource::default() }],
        ..snapshot(7, 1)
    };
    open("snapshot", &|disk| write_record(disk, "snapshot", &after));
    let batch = Batch { previous: u64::MAX, entries: entries(1, 2, 1) };
    open("log", &|disk| write_record(disk, "log", &batch));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Files with any content, whole records among them, open as a journal that goes on, or give a
    /// typed error.
    #[test]
    fn open_any_files(
        bytes in prop::collection::vec(any::<u8>(), 0..120),
        numbers in prop::collection::vec((any::<u64>(), 0..6_u64, 0..6_u64), 0..4),
        snapshot_index in prop_oneof![0..5_u64, any::<u64>()],
        is_torn in any::<bool>(),
    ) {
        let disk = Memory::new(usize::MAX);
        write_record(&disk, "snapshot", &snapshot(snapshot_index, 1));
        for (any, previous, count) in numbers {
            let previous = if any % 8 == 0 { any } else { previous };
            let first = previous.wrapping_add(1);
            let last = previous.saturating_add(count);
            write_record(&disk, "log", &Batch { previous, entries: entries(first, last.min(first.saturating_add(5)), 1) });
        }
        if is_torn {
            disk.files.borrow_mut().entry("log".into()).or_default().extend(&bytes);
        }
        let Ok(mut journal) = Journal::open(disk.clone()) else { return Ok(()) };
        let last = journal.last_index();
        journal.store_entries(last, entries(last + 1, last + 2, 2)).unwrap();
        let reopened = Journal::open(disk).unwrap();
        prop_assert_eq!(reopened.last_index(), last + 2);
        prop_assert_eq!(reopened.term(last + 2), Some(2));
    }
}
