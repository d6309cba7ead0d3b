//! Tests of token buckets: their rate, their reserve and the adaptive rate of a shared budget.

use controller::request_budget::TokenBucket;
use model::Timestamp;

#[test]
fn bucket_limits_the_rate_and_keeps_the_reserve() {
    let mut bucket = TokenBucket::new(10.0, 5.0);
    let taken = (0..20)
        .filter(|_| bucket.take(Timestamp::from_millis(0), 1.0, 0.0))
        .count();
    assert_eq!(taken, 5);
    assert!(!bucket.take(Timestamp::from_millis(50), 1.0, 0.0));
    assert!(
        !bucket.take(Timestamp::from_millis(100), 1.0, 2.0),
        "the reserve must be kept"
    );
    assert!(bucket.take(Timestamp::from_millis(100), 1.0, 0.0));
    bucket.throttle(Timestamp::from_millis(200));
    assert!(!bucket.take(Timestamp::from_millis(200), 1.0, 0.0));
}

#[test]
fn rate_of_a_shared_bucket_falls_to_its_even_share_and_recovers() {
    let mut bucket = TokenBucket::shared(10.0, 100.0);
    for _ in 0..10 {
        bucket.throttle(Timestamp::from_millis(0));
    }
    let before = bucket.level(Timestamp::from_millis(0));
    assert!((bucket.level(Timestamp::from_millis(1_000)) - before - 10.0).abs() < 0.01);
    bucket.throttle(Timestamp::from_millis(60_000));
    let later = bucket.level(Timestamp::from_millis(120_000));
    assert!(later >= 100.0, "{later}");
    assert!(bucket.take(Timestamp::from_millis(120_000), 100.0, 0.0));
    assert!(bucket.level(Timestamp::from_millis(121_000)) > 15.0);
}

/// Guards against a call that waits for ever, since its amount and its reserve together exceed the capacity.
#[test]
fn full_bucket_grants_any_amount_whatever_the_reserve() {
    for capacity in [0.4, 1.0, 3.0, 24.0] {
        for (amount, reserve) in [(1.0, 6.0), (24.0, 3.0), (100.0, -5.0), (2.0, 0.0)] {
            let mut bucket = TokenBucket::new(capacity, capacity);
            let context = format!("capacity {capacity}, amount {amount}, reserve {reserve}");
            assert!(
                bucket.take(Timestamp::from_millis(0), amount, reserve),
                "{context}"
            );
            // The debt is paid before the next call of the same kind.
            let refilled_at = (amount / capacity * 1_000.0) as u64 + 1;
            assert!(
                bucket.take(Timestamp::from_millis(refilled_at), amount, reserve),
                "{context}"
            );
        }
    }
}
