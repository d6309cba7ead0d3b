//! Tests of the full reads and watches that keep the state cache up to date.

use controller::state_sync::{FullReadStep, StateSync, SyncCall, WatchStep};
use model::{Revision, Timestamp};
use std::time::Duration;
use wire::state::{Changes, Item, ListPage, StateReply, StateRequest};

const WATCH_WAIT: Duration = Duration::from_millis(300);

fn page(keys: &[&str], more: bool, revision: u64) -> StateReply {
    let items = keys
        .iter()
        .map(|key| Item {
            key: (*key).into(),
            value: serde_json::Value::Null,
            version: 1,
            lease: None,
        })
        .collect();
    StateReply::List(ListPage {
        items,
        has_more: more,
        revision,
    })
}

fn listed_after(request: &StateRequest) -> &str {
    match request {
        StateRequest::List { after, .. } => after,
        other => panic!("not a list request: {other:?}"),
    }
}

fn synced() -> StateSync {
    let mut sync = StateSync::default();
    sync.begin_read(Revision(0), WATCH_WAIT);
    let step = sync.handle_full_read_page(page(&["s/p/0"], false, 4));
    assert!(matches!(step, FullReadStep::Complete(_)), "{step:?}");
    sync
}

#[test]
fn full_read_collects_all_pages_and_has_the_revision_of_the_first() {
    let mut sync = StateSync::default();
    let first = sync
        .begin_read(Revision(0), WATCH_WAIT)
        .expect("a read is due");
    assert_eq!(first.call, SyncCall::FullReadPage);
    assert_eq!(listed_after(&first.request), "");
    assert_eq!(sync.begin_read(Revision(0), WATCH_WAIT), None);
    let step = sync.handle_full_read_page(page(&["s/b/a", "s/p/0"], true, 4));
    let FullReadStep::NextPage(next) = step else {
        panic!("{step:?}");
    };
    assert_eq!(listed_after(&next.request), "s/p/0");
    assert!(!sync.is_synced());
    let step = sync.handle_full_read_page(page(&["s/p/1"], false, 9));
    let FullReadStep::Complete(read) = step else {
        panic!("{step:?}");
    };
    assert!(sync.is_synced());
    assert_eq!(read.items.len(), 3);
    assert_eq!(read.revision(), 4);
}

#[test]
fn full_read_restarts_after_a_failure_or_a_page_out_of_order() {
    let mut sync = StateSync::default();
    sync.begin_read(Revision(0), WATCH_WAIT);
    sync.handle_full_read_page(page(&["s/p/0"], true, 4));
    let step = sync.handle_full_read_page(page(&["s/b/a"], false, 5));
    assert!(matches!(step, FullReadStep::Malformed(_)), "{step:?}");
    let step = sync.handle_full_read_page(StateReply::Unknown);
    let FullReadStep::Failed(restart) = step else {
        panic!("{step:?}");
    };
    assert_eq!(listed_after(&restart.request), "");
    let step = sync.handle_full_read_page(page(&["s/b/a"], false, 6));
    let FullReadStep::Complete(read) = step else {
        panic!("{step:?}");
    };
    assert_eq!(
        read.items.len(),
        1,
        "items of the failed reads must be dropped"
    );
    assert_eq!(read.revision(), 6);
}

#[test]
fn watches_follow_a_full_read_until_compaction_requires_another() {
    let mut sync = synced();
    let watch = sync
        .begin_read(Revision(4), WATCH_WAIT)
        .expect("a read is due");
    assert_eq!(watch.call, SyncCall::Watch);
    assert_eq!(sync.begin_read(Revision(4), WATCH_WAIT), None);
    assert_eq!(
        sync.handle_watch_reply(&StateReply::Unknown),
        WatchStep::Failed
    );
    assert_eq!(sync.begin_read(Revision(4), WATCH_WAIT), None);
    let reply = StateReply::Changes(Changes {
        events: Vec::new(),
        revision: 4,
    });
    assert!(matches!(
        sync.handle_watch_reply(&reply),
        WatchStep::Changed(_)
    ));
    assert!(sync.begin_read(Revision(4), WATCH_WAIT).is_some());
    assert_eq!(
        sync.handle_watch_reply(&StateReply::Compacted),
        WatchStep::Compacted
    );
    assert!(!sync.is_synced());
    let read = sync
        .begin_read(Revision(4), WATCH_WAIT)
        .expect("a read is due");
    assert_eq!(read.call, SyncCall::FullReadPage);
}

#[test]
fn age_of_the_last_read_counts_from_the_latest_sending_time() {
    let mut sync = synced();
    let age = Duration::from_millis(100);
    assert!(!sync.has_recent_read(Timestamp::from_millis(10), age));
    sync.record_read(Timestamp::from_millis(50));
    sync.record_read(Timestamp::from_millis(20));
    assert_eq!(sync.last_read_at(), Some(Timestamp::from_millis(50)));
    assert_eq!(sync.previous_read_at(), Some(Timestamp::from_millis(50)));
    assert!(sync.has_recent_read(Timestamp::from_millis(150), age));
    assert!(!sync.has_recent_read(Timestamp::from_millis(151), age));
}
