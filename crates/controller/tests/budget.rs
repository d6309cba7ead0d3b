//! Token buckets: rate, reserve and the adaptive rate of a shared budget.

use controller::request_budget::Bucket;
use model::Moment;

#[test]
fn bucket_keeps_its_rate_and_its_reserve() {
    let mut bucket = Bucket::new(10.0, 5.0);
    let taken = (0..20).filter(|_| bucket.take(Moment(0), 1.0, 0.0)).count();
    assert_eq!(taken, 5);
    assert!(!bucket.take(Moment(50), 1.0, 0.0));
    assert!(!bucket.take(Moment(100), 1.0, 2.0), "the reserve stays");
    assert!(bucket.take(Moment(100), 1.0, 0.0));
    bucket.drain(Moment(200));
    assert!(!bucket.take(Moment(200), 1.0, 0.0));
}

#[test]
fn shared_bucket_shrinks_to_its_even_share_and_grows_again() {
    let mut bucket = Bucket::shared(10.0, 100.0);
    for _ in 0..10 {
        bucket.drain(Moment(0));
    }
    let before = bucket.level(Moment(0));
    assert!((bucket.level(Moment(1_000)) - before - 10.0).abs() < 0.01);
    bucket.drain(Moment(60_000));
    let later = bucket.level(Moment(120_000));
    assert!(later >= 100.0, "{later}");
    assert!(bucket.take(Moment(120_000), 100.0, 0.0));
    assert!(bucket.level(Moment(121_000)) > 15.0);
}
