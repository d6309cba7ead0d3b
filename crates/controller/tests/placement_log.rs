//! Tests of placement log commits across a change of leader.

use controller::placement_log::{LogCommit, PlacementLog};
use model::{JobId, PartitionId, Version};
use scheduler::{ChunkKey, PlacedTask, TaskChunk};
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

/// Limit of the state service on a transaction, in bytes.
const MAX_TXN_BYTES: usize = 64 * 1024;

/// A chunk whose tasks are all placed.
fn full_chunk(job: u64) -> (ChunkKey, TaskChunk) {
    let placed = (0..64).map(|offset| PlacedTask {
        offset,
        attempt: u64::from(u32::MAX),
        machine: format!("host-{offset:06}"),
    });
    let key = ChunkKey {
        job: JobId(job),
        chunk: 0,
    };
    let chunk = TaskChunk {
        placed: placed.collect(),
        ..TaskChunk::default()
    };
    (key, chunk)
}

/// Commits full chunks until all are durable or a commit carries none; returns the sizes of the transactions in bytes,
/// and the number of chunks that are not durable.
fn commit_full_chunks(value_bytes: usize) -> (Vec<usize>, usize) {
    let mut log = PlacementLog::load(PartitionId(0), &[], value_bytes, 24);
    let mut changes: Vec<_> = (0..200).map(full_chunk).collect();
    let mut sizes = Vec::new();
    for revision in 10.. {
        let (commit, left_out) = log.prepare_commit(Version(1), changes.clone());
        sizes.push(serde_json::to_vec(&commit.txn).expect("JSON").len());
        log.confirm_commit(&commit, revision);
        if left_out.is_empty() || left_out.len() == changes.len() {
            return (sizes, left_out.len());
        }
        changes.retain(|(key, _)| left_out.contains(key));
    }
    unreachable!("each commit carries a chunk")
}

/// Guards against commits that the state service never accepts since all their pages together exceed its limit on a
/// transaction. The rest of the changes follows in the next commits.
#[test]
fn commits_fit_into_a_transaction_whatever_the_size_of_a_value() {
    for value_bytes in [1_024, 4_096, 8_192, 32_768, 65_536, 1 << 20] {
        let (sizes, _) = commit_full_chunks(value_bytes);
        let largest = sizes.into_iter().max().unwrap_or_default();
        assert!(
            largest <= MAX_TXN_BYTES,
            "{largest} bytes with values of {value_bytes}"
        );
    }
}

/// Guards against commits without any change, written again and again, when all pages of a commit have less room than
/// the next change needs but are not nearly full.
#[test]
fn all_changes_are_committed_whatever_the_size_of_a_value() {
    for value_bytes in [1_024, 4_096, 8_192, 32_768, 65_536, 1 << 20] {
        let (_, left_out) = commit_full_chunks(value_bytes);
        assert_eq!(left_out, 0, "chunks with values of {value_bytes}");
    }
}
