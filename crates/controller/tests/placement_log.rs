//! Commits of the placement log across changes of leader.

use controller::placement_log::{LogCommit, PlacementLog};
use model::{JobId, PartitionId, Version};
use scheduler::{ChunkKey, TaskChunk};
use serde_json::Value;
use wire::state::Write;

/// The key and value of the only page that a commit writes.
fn written_page(commit: &LogCommit) -> (String, Value) {
    match &commit.txn.writes[..] {
        [Write::Put { put, value, .. }] => (put.clone(), value.clone()),
        other => panic!("one page: {other:?}"),
    }
}

/// A former leader whose commit met a conflict reads the page back, and may do so before it learns of
/// its successor. The successor counts on from what is written, so its commit has the same number on
/// the same page.
#[test]
fn commit_of_successor_with_same_number_does_not_prove_own_commit() {
    let key = ChunkKey {
        job: JobId(7),
        chunk: 0,
    };
    let changes = || vec![(key, TaskChunk::default())];
    let log = || PlacementLog::load(PartitionId(1), &[], 4_096, 6);
    let (own, _) = log().prepare_commit(Version(10), changes());
    let (successors, _) = log().prepare_commit(Version(12), changes());
    let (proof_key, id) = log().verification_page(&own).expect("it writes a page");
    let (own_key, own_page) = written_page(&own);
    let (successors_key, successors_page) = written_page(&successors);
    assert_eq!(own_key, proof_key);
    assert_eq!(successors_key, proof_key, "the same page");
    assert_eq!(
        own_page["round"], successors_page["round"],
        "the same number"
    );
    assert!(PlacementLog::is_page_of_commit(&own_page, id));
    assert!(!PlacementLog::is_page_of_commit(&successors_page, id));
}
