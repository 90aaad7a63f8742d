//! Tests of a control VM whose disk rejects writes for a while.

use std::path::PathBuf;

use hyssopdyke_wire::ledger::Append;
use hyssopdyke_wire::{Key, Purpose};

use super::*;
use crate::settings::sample;

/// Interval between messages of the leader: shorter than that between attempts to repair the disk.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(20);

/// Number of messages within which the disk must be repaired: many times the interval of the attempts.
const MAX_MESSAGES: u32 = 500;

/// Returns an empty folder of a test.
pub(super) fn folder(test: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{test}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

pub(super) async fn open(folder: &std::path::Path) -> (Handle, Consensus) {
    let address = ([127, 0, 0, 1], 0).into();
    let common = sample::common("vm-0");
    let (events, _writer) = Events::open("control", &common);
    let metrics = Metrics::open("control", &common, &events).await.unwrap();
    let journal = Journal::open(DataDir::open(folder).unwrap()).unwrap();
    let (_, seeds) = watch::channel(Vec::new());
    let discovery = Discovery { seeds, port: 1, target_voters: None };
    let connections = Connections::new(Key::derive(sample::PASSPHRASE, Purpose::Session));
    let local = Local { name: "vm-0".into(), identity: 1, address };
    Consensus::open(local, journal, discovery, connections, metrics, events)
}

#[tokio::test(flavor = "multi_thread")]
async fn disk_full_while_leader_sends() {
    // The disks of control VMs were full for some seconds, one after the other. Each VM stayed without
    // its disk as long as the leader went on to send entries, until the next disk was full.
    let folder = folder("disk_full_while_leader_sends");
    let (handle, consensus) = open(&folder).await;
    // A folder in its place lets the vote's new file fail, and so the journal.
    let obstacle = folder.join("vote.new");
    std::fs::create_dir(&obstacle).unwrap();
    let running = tokio::spawn(consensus.run());
    let send = async || {
        let entry = Entry { index: 1, term: 1, command: None };
        let append = Append { term: 1, entries: vec![entry], ..Append::default() };
        let (from, address) = ("vm-1".to_owned(), String::new());
        let message = Message { from, address, body: Some(Body::Append(append)) };
        handle.inbox.send(Request::Message(message)).await.unwrap();
        tokio::time::sleep(MESSAGE_INTERVAL).await;
    };
    send().await;
    assert!(!folder.join("vote").exists());
    std::fs::remove_dir(&obstacle).unwrap();
    let mut messages = 0;
    while !folder.join("log").exists() {
        messages += 1;
        assert!(messages < MAX_MESSAGES, "the disk has room again and is not used");
        send().await;
    }
    send().await;
    drop(handle);
    running.await.unwrap().unwrap();
    let journal = Journal::open(DataDir::open(&folder).unwrap()).unwrap();
    assert_eq!((journal.vote().term, journal.last_index()), (1, 1));
    std::fs::remove_dir_all(&folder).unwrap();
}
