//! Order, backoff and release of queued entries.

use model::DurationExt;
use model::Timestamp;
use scheduling_queue::{QueueConfig, QueueEvent, QueueKind, SchedulingQueue};
use std::time::Duration;

fn queue() -> SchedulingQueue<u32, u32> {
    SchedulingQueue::new(QueueConfig {
        initial_backoff: Duration::from_secs(1),
        max_backoff: Duration::from_secs(10),
        unschedulable_timeout: Duration::from_secs(10),
    })
}

#[test]
fn lowest_rank_is_popped_first_and_reranking_counts() {
    let mut queue = queue();
    queue.add(1, 30);
    queue.add(2, 10);
    queue.add(3, 20);
    queue.rerank(1, 5);
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, [1, 2, 3]);
}

#[test]
fn failed_entry_is_unschedulable_until_a_move_request() {
    let mut queue = queue();
    queue.add(1, 0);
    queue.pop();
    queue.record_failure(1, Timestamp::from_millis(0));
    assert_eq!(queue.location(1), Some((QueueKind::Unschedulable, 1)));
    queue.move_all(Timestamp::from_millis(400));
    assert_eq!(
        queue.location(1),
        Some((QueueKind::Backoff, 1)),
        "its backoff still runs"
    );
    queue.flush(Timestamp::from_millis(999));
    assert!(!queue.has_active());
    queue.flush(Timestamp::from_millis(1000));
    assert_eq!(queue.pop(), Some(1));
}

#[test]
fn move_request_during_the_cycle_leads_to_backoff() {
    let mut queue = queue();
    queue.add(1, 0);
    queue.pop();
    queue.move_all(Timestamp::from_millis(0));
    queue.record_failure(1, Timestamp::from_millis(0));
    assert_eq!(queue.location(1), Some((QueueKind::Backoff, 1)));
    // The request of an earlier cycle does not count.
    queue.add(2, 0);
    queue.pop();
    queue.record_failure(2, Timestamp::from_millis(1));
    assert_eq!(queue.location(2), Some((QueueKind::Unschedulable, 1)));
}

#[test]
fn backoff_doubles_up_to_the_limit_and_leftovers_are_flushed() {
    let mut queue = queue();
    let spans: Vec<u64> = (1..=6)
        .map(|n| queue.backoff_after(n).whole_millis())
        .collect();
    assert_eq!(spans, [1000, 2000, 4000, 8000, 10_000, 10_000]);
    queue.add(1, 0);
    queue.pop();
    queue.record_failure(1, Timestamp::from_millis(0));
    assert_eq!(queue.next_flush_at(), Some(Timestamp::from_millis(10_000)));
    queue.flush(Timestamp::from_millis(9_999));
    assert!(!queue.has_active());
    queue.flush(Timestamp::from_millis(10_000));
    assert!(queue.has_active());
    assert_eq!(
        queue.incoming()[&(QueueKind::Active, QueueEvent::Leftover)],
        1
    );
}

#[test]
fn removal_covers_every_queue() {
    let mut queue = queue();
    for key in 0..4 {
        queue.add(key, key);
    }
    queue.pop();
    queue.record_failure(0, Timestamp::from_millis(0));
    queue.add_with_backoff(9, 0, 2, Timestamp::from_millis(0));
    for key in [0, 1, 2, 3, 9] {
        queue.remove(key);
        assert!(!queue.contains(key));
    }
    assert_eq!(queue.pending().map(|(_, n)| n), [0, 0, 0]);
    queue.flush(Timestamp::from_millis(100_000));
    assert_eq!(queue.pop(), None);
}
