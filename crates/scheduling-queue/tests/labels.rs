//! The labels of queues and events in metrics and in the admin API do not change.

use scheduling_queue::{QueueEvent, QueueKind};

#[test]
fn queues_keep_their_labels_and_names() {
    let queues = [
        (QueueKind::Active, "active", "Active"),
        (QueueKind::Backoff, "backoff", "Backoff"),
        (QueueKind::Unschedulable, "unschedulable", "Unschedulable"),
    ];
    for (queue, label, name) in queues {
        assert_eq!(queue.as_str(), label);
        assert_eq!(queue.to_string(), name);
    }
}

#[test]
fn queue_events_keep_their_labels() {
    let events = [
        (QueueEvent::Add, "add"),
        (QueueEvent::Failure, "failure"),
        (QueueEvent::Move, "move"),
        (QueueEvent::BackoffComplete, "backoffcomplete"),
        (QueueEvent::Leftover, "leftover"),
    ];
    for (event, label) in events {
        assert_eq!(event.as_str(), label);
    }
}
