//! Order, backoff and release of queued entries.

use model::{Moment, Span};
use scheduling_queue::{QueueConfig, QueueEvent, QueueKind, SchedulingQueue};

fn queue() -> SchedulingQueue<u32, u32> {
    SchedulingQueue::new(QueueConfig {
        initial_backoff: Span(1_000),
        max_backoff: Span(10_000),
        leftover: Span(10_000),
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
    queue.failed(1, Moment(0));
    assert_eq!(queue.whereabouts(1), Some((QueueKind::Unschedulable, 1)));
    queue.move_all(Moment(400));
    assert_eq!(queue.whereabouts(1), Some((QueueKind::Backoff, 1)), "its backoff still runs");
    queue.flush(Moment(999));
    assert!(!queue.has_active());
    queue.flush(Moment(1000));
    assert_eq!(queue.pop(), Some(1));
}

#[test]
fn move_request_during_the_cycle_leads_to_backoff() {
    let mut queue = queue();
    queue.add(1, 0);
    queue.pop();
    queue.move_all(Moment(0));
    queue.failed(1, Moment(0));
    assert_eq!(queue.whereabouts(1), Some((QueueKind::Backoff, 1)));
    // The request of an earlier cycle does not count.
    queue.add(2, 0);
    queue.pop();
    queue.failed(2, Moment(1));
    assert_eq!(queue.whereabouts(2), Some((QueueKind::Unschedulable, 1)));
}

#[test]
fn backoff_doubles_up_to_the_limit_and_leftovers_are_flushed() {
    let mut queue = queue();
    let spans: Vec<u64> = (1..=6).map(|n| queue.backoff_after(n).0).collect();
    assert_eq!(spans, [1000, 2000, 4000, 8000, 10_000, 10_000]);
    queue.add(1, 0);
    queue.pop();
    queue.failed(1, Moment(0));
    assert_eq!(queue.next_flush(), Some(Moment(10_000)));
    queue.flush(Moment(9_999));
    assert!(!queue.has_active());
    queue.flush(Moment(10_000));
    assert!(queue.has_active());
    assert_eq!(queue.incoming()[&(QueueKind::Active, QueueEvent::Leftover)], 1);
}

#[test]
fn removal_covers_every_queue() {
    let mut queue = queue();
    for key in 0..4 {
        queue.add(key, key);
    }
    queue.pop();
    queue.failed(0, Moment(0));
    queue.add_failed(9, 0, 2, Moment(0));
    for key in [0, 1, 2, 3, 9] {
        queue.remove(key);
        assert!(!queue.contains(key));
    }
    assert_eq!(queue.pending().map(|(_, n)| n), [0, 0, 0]);
    queue.flush(Moment(100_000));
    assert_eq!(queue.pop(), None);
}
