//! Tests of outgoing calls to the state service: order, budgets and retries.

use controller::request_budget::CallPriority;
use controller::state_client::{Budget, QueuedCall, StateClient};
use model::settings::StateLimits;
use model::{CallId, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use wire::state::{StateRequest, Transaction, Write};

fn client() -> StateClient {
    let limits = StateLimits {
        requests_per_s: 20.0,
        writes_per_s: 10.0,
        max_value_bytes: 1_024,
        max_txn_ops: 8,
    };
    StateClient::new(&limits, 1)
}

fn read(call: u64) -> QueuedCall {
    QueuedCall {
        call: CallId(call),
        request: StateRequest::Get { key: "k".into() },
    }
}

fn write(call: u64, writes: usize) -> QueuedCall {
    let transaction = (0..writes).fold(Transaction::default(), |transaction, index| {
        transaction.write(Write::put(format!("k/{index}"), serde_json::Value::Null))
    });
    QueuedCall {
        call: CallId(call),
        request: StateRequest::Transaction(transaction),
    }
}

fn dispatched_ids(client: &mut StateClient, now: Timestamp) -> Vec<u64> {
    let dispatched = client.dispatch(now);
    dispatched.iter().map(|call| call.call.0).collect()
}

#[test]
fn dispatch_follows_priority_then_queue_order() {
    let mut client = client();
    client.enqueue(CallPriority::Background, read(1));
    client.enqueue(CallPriority::Coordination, read(2));
    client.enqueue(CallPriority::UserRequest, read(3));
    client.enqueue(CallPriority::Coordination, read(4));
    assert_eq!(
        dispatched_ids(&mut client, Timestamp::default()),
        [2, 4, 3, 1]
    );
    assert_eq!(client.next_wakeup(Timestamp::default()), None);
}

#[test]
fn reads_overtake_a_write_that_waits_for_its_budget() {
    let mut client = client();
    let now = Timestamp::default();
    client.handle_throttled(now, Budget::Writes);
    client.enqueue(CallPriority::UserRequest, write(1, 3));
    client.enqueue(CallPriority::UserRequest, read(2));
    client.enqueue(CallPriority::UserRequest, write(3, 1));
    assert_eq!(dispatched_ids(&mut client, now), [2]);
    assert!(client.next_wakeup(now).is_some_and(|at| at > now));
    let later = Timestamp::from_millis(2_000);
    assert_eq!(dispatched_ids(&mut client, later), [1, 3]);
}

#[test]
fn queued_transaction_blocks_further_writes_of_its_priority_and_below() {
    let mut client = client();
    let now = Timestamp::default();
    assert!(client.may_write(now, CallPriority::UserRequest, 1.0));
    client.enqueue(CallPriority::Placement, write(1, 1));
    assert!(client.may_write(now, CallPriority::UserRequest, 1.0));
    assert!(!client.may_write(now, CallPriority::Placement, 1.0));
    assert!(!client.may_write(now, CallPriority::Background, 1.0));
}

#[test]
fn retry_waits_for_its_delay_and_is_then_dispatched_first() {
    let mut client = client();
    let mut rng = SmallRng::seed_from_u64(7);
    let now = Timestamp::default();
    let delay = Duration::from_millis(100);
    client.retry_after(now, delay, &mut rng, CallPriority::UserRequest, read(1));
    client.enqueue(CallPriority::UserRequest, read(2));
    let due_at = client.next_wakeup(now).expect("a call waits");
    assert!(due_at <= Timestamp::from_millis(20), "{due_at:?}");
    assert_eq!(dispatched_ids(&mut client, now), [2]);
    let due_at = client.next_wakeup(now).expect("the retry waits");
    assert!(due_at >= now + delay && due_at < now + delay + Duration::from_millis(40));
    assert!(dispatched_ids(&mut client, Timestamp::from_millis(99)).is_empty());
    client.enqueue(CallPriority::UserRequest, read(3));
    assert_eq!(dispatched_ids(&mut client, due_at), [1, 3]);
}

#[test]
fn completing_a_call_returns_its_sending_time_once() {
    let mut client = client();
    let sent_at = Timestamp::from_millis(5);
    client.enqueue(CallPriority::Coordination, read(1));
    assert_eq!(client.complete(CallId(1)), None);
    client.dispatch(sent_at);
    assert_eq!(client.complete(CallId(1)), Some(sent_at));
    assert_eq!(client.complete(CallId(1)), None);
}

#[test]
fn timeout_of_a_watch_includes_its_waiting_time() {
    let mut client = client();
    client.enqueue(CallPriority::Coordination, read(1));
    client.enqueue(
        CallPriority::Coordination,
        QueuedCall {
            call: CallId(2),
            request: StateRequest::Watch {
                prefix: "s/".into(),
                after: 0,
                wait_ms: 700,
            },
        },
    );
    let dispatched = client.dispatch(Timestamp::default());
    let timeouts: Vec<Duration> = dispatched.iter().map(|call| call.timeout).collect();
    assert_eq!(timeouts[1], timeouts[0] + Duration::from_millis(700));
}

/// Guards against calls that wait for more than a budget ever holds: with any limits, a read and the largest
/// transaction of each priority are sent within the time in which the even share of the rate pays for them.
#[test]
fn every_priority_is_served_whatever_the_limits() {
    let mut rng = SmallRng::seed_from_u64(62);
    for _ in 0..500 {
        let limits = StateLimits {
            requests_per_s: rng.random_range(1.0..400.0),
            writes_per_s: rng.random_range(1.0..100.0),
            max_value_bytes: 1_024,
            max_txn_ops: rng.random_range(2..64),
        };
        let controllers = rng.random_range(1..6);
        let writes = limits.max_txn_writes();
        let slowest_rate = limits.requests_per_s.min(limits.writes_per_s) / controllers as f64;
        let due_at = Timestamp::from_millis(((writes as f64 + 9.0) * 2e3 / slowest_rate) as u64);
        for priority in [
            CallPriority::Coordination,
            CallPriority::UserRequest,
            CallPriority::Placement,
            CallPriority::Background,
        ] {
            let mut client = StateClient::new(&limits, controllers);
            client.handle_throttled(Timestamp::default(), Budget::Requests);
            client.handle_throttled(Timestamp::default(), Budget::Writes);
            let context = format!("{priority:?}, {controllers} controllers, {limits:?}");
            assert!(
                client.may_write(due_at, priority, writes as f64),
                "{context}"
            );
            client.enqueue(priority, write(1, writes));
            assert_eq!(dispatched_ids(&mut client, due_at), [1], "{context}");
        }
    }
}
