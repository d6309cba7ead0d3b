//! The order, the backoff and the release of queued entries.

use model::DurationExt;
use model::Timestamp;
use scheduling_queue::{QueueConfig, QueueEvent, QueueKind, SchedulingQueue};
use std::time::Duration;

fn new_queue() -> SchedulingQueue<u32, u32> {
    SchedulingQueue::new(QueueConfig {
        initial_backoff: Duration::from_secs(1),
        max_backoff: Duration::from_secs(10),
        unschedulable_timeout: Duration::from_secs(10),
    })
}

#[test]
fn lowest_rank_is_popped_first_also_after_rerank() {
    let mut queue = new_queue();
    queue.add(1, 30);
    queue.add(2, 10);
    queue.add(3, 20);
    queue.rerank(1, 5);
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, [1, 2, 3]);
}

#[test]
fn failed_entry_is_unschedulable_until_move_request() {
    let mut queue = new_queue();
    queue.add(1, 0);
    queue.pop();
    queue.record_failure(1, Timestamp::from_millis(0));
    assert_eq!(queue.location(1), Some((QueueKind::Unschedulable, 1)));
    queue.move_all(Timestamp::from_millis(400));
    assert_eq!(
        queue.location(1),
        Some((QueueKind::Backoff, 1)),
        "the backoff has not ended"
    );
    queue.flush(Timestamp::from_millis(999));
    assert!(!queue.has_active());
    queue.flush(Timestamp::from_millis(1000));
    assert_eq!(queue.pop(), Some(1));
}

#[test]
fn entry_backs_off_if_move_request_came_during_its_cycle() {
    let mut queue = new_queue();
    queue.add(1, 0);
    queue.pop();
    queue.move_all(Timestamp::from_millis(0));
    queue.record_failure(1, Timestamp::from_millis(0));
    assert_eq!(queue.location(1), Some((QueueKind::Backoff, 1)));
    // A move request during an earlier cycle has no effect on this one.
    queue.add(2, 0);
    queue.pop();
    queue.record_failure(2, Timestamp::from_millis(1));
    assert_eq!(queue.location(2), Some((QueueKind::Unschedulable, 1)));
}

#[test]
fn backoff_doubles_up_to_limit_and_unschedulable_entry_is_released_after_timeout() {
    let mut queue = new_queue();
    let backoffs_ms: Vec<u64> = (1..=6)
        .map(|failures| queue.backoff_after(failures).whole_millis())
        .collect();
    assert_eq!(backoffs_ms, [1000, 2000, 4000, 8000, 10_000, 10_000]);
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
fn entry_is_removed_from_any_queue() {
    let mut queue = new_queue();
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
    assert_eq!(queue.pending().map(|(_, count)| count), [0, 0, 0]);
    queue.flush(Timestamp::from_millis(100_000));
    assert_eq!(queue.pop(), None);
}
