//! Rounds of the ledger across changes of holder.

use controller::placement_log::PlacementLog;
use model::{JobId, PartitionId, Version};
use scheduler::{ChunkKey, TaskChunk};
use wire::state::Write;

/// A predecessor whose round met a conflict reads the page back, and may do so before it hears of its
/// successor. That one counts on from what is written, so its round has the same number on the same
/// page.
#[test]
fn a_round_of_a_successor_proves_nothing_about_ours() {
    let changes = || {
        vec![(
            ChunkKey {
                job: JobId(7),
                chunk: 0,
            },
            TaskChunk::default(),
        )]
    };
    let ledger = || PlacementLog::load(PartitionId(1), &[], 4_096, 6);
    let (ours, _) = ledger().prepare(Version(10), changes());
    let (theirs, _) = ledger().prepare(Version(12), changes());
    let written = |round: &controller::placement_log::LogCommit| match &round.txn.writes[..] {
        [Write::Put { put, value, .. }] => (put.clone(), value.clone()),
        other => panic!("one page: {other:?}"),
    };
    let (key, id) = ledger().proof(&ours).expect("it writes a page");
    assert_eq!(written(&ours).0, key);
    assert_eq!(written(&theirs).0, key, "the same page");
    assert_eq!(
        written(&ours).1["round"],
        written(&theirs).1["round"],
        "the same number"
    );
    assert!(PlacementLog::proves(&written(&ours).1, id));
    assert!(!PlacementLog::proves(&written(&theirs).1, id));
}
