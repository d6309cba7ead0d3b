//! Tests of placement log commits across a change of leader.

use controller::placement_log::{LogCommit, PlacementLog};
use model::{JobId, PartitionId, Version};
use scheduler::{ChunkKey, TaskChunk};
use serde_json::Value;
use wire::state::Write;

/// The key and value of the only page that a commit writes.
fn written_page(commit: &LogCommit) -> (String, Value) {
    match &commit.txn.writes[..] {
        [Write::Put { key, value, .. }] => (key.clone(), value.clone()),
        other => panic!("expected one written page: {other:?}"),
    }
}

/// A former leader whose commit met a conflict reads the page back, to find out whether the commit was
/// applied, and may do so before it learns of its successor. The successor continues from the commit
/// numbers in the log, so its commit may write the same page with the same number.
#[test]
fn successors_commit_with_same_number_does_not_confirm_own_commit() {
    let key = ChunkKey {
        job: JobId(7),
        chunk: 0,
    };
    let changes = || vec![(key, TaskChunk::default())];
    let log = || PlacementLog::load(PartitionId(1), &[], 4_096, 6);
    let (own, _) = log().prepare_commit(Version(10), changes());
    let (successors, _) = log().prepare_commit(Version(12), changes());
    let (verification_key, id) = log()
        .verification_page(&own)
        .expect("the commit writes a page");
    let (own_key, own_page) = written_page(&own);
    let (successors_key, successors_page) = written_page(&successors);
    assert_eq!(own_key, verification_key);
    assert_eq!(successors_key, verification_key, "different pages");
    assert_eq!(
        own_page["round"], successors_page["round"],
        "different commit numbers"
    );
    assert!(PlacementLog::is_page_of_commit(&own_page, id));
    assert!(!PlacementLog::is_page_of_commit(&successors_page, id));
}
