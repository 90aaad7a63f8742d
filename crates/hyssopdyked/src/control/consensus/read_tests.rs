//! Tests of what a confirmed read may see.

use hyssopdyke_wire::ledger::{Command, Declare, Snapshot, Voter, command};

use super::disk_tests::{folder, open};
use super::*;

/// After a restart of all control VMs, a read of the manifest was answered from a state without it:
/// its commit was known, but not applied yet.
#[tokio::test(flavor = "multi_thread")]
async fn confirm_before_apply() {
    let folder = folder("confirm_before_apply");
    let (_, mut consensus) = open(&folder).await;
    let voter = Voter { name: "vm-0".into(), identity: 1, address: "127.0.0.1:1".into() };
    let configuration = Some(Configuration { voters: vec![voter] });
    let snapshot = Snapshot { configuration, ..Snapshot::default() };
    consensus.journal.store_snapshot(snapshot).unwrap();
    let declare = Declare { version: 7, ..Declare::default() };
    let command = Some(Command { body: Some(command::Body::Declare(declare)) });
    consensus.journal.store_entries(0, vec![Entry { index: 1, term: 0, command }]).unwrap();
    drop(consensus);

    let (handle, mut consensus) = open(&folder).await;
    consensus.handle_deadline().unwrap();
    let (reply, mut answer) = oneshot::channel();
    consensus.confirm_leadership(reply);
    consensus.persist_proposals().unwrap();
    consensus.broadcast();
    consensus.advance_commit();
    assert!(consensus.commit_index > consensus.applied_index);
    assert!(answer.try_recv().is_err(), "a read was confirmed before the commit was applied");
    consensus.apply().await.unwrap();
    assert_eq!(answer.try_recv(), Ok(Ok(())));
    assert_eq!(handle.registry().await.declaration().map(|(version, _)| version), Some(7));
    std::fs::remove_dir_all(&folder).unwrap();
}
