//! Saturation and rounding of durations and timestamps.

use model::{duration_from_secs, DurationExt, Timestamp};
use std::time::Duration;

#[test]
fn seconds_round_up_to_milliseconds() {
    assert_eq!(duration_from_secs(1.0001), Duration::from_millis(1_001));
    assert_eq!(duration_from_secs(0.0), Duration::ZERO);
    assert_eq!(duration_from_secs(-1.0), Duration::ZERO);
    assert_eq!(duration_from_secs(f64::NAN), Duration::ZERO);
    assert_eq!(duration_from_secs(f64::INFINITY), Duration::ZERO);
    assert_eq!(
        duration_from_secs(1e300),
        Duration::from_millis(1_000_000_000_000_000)
    );
}

#[test]
fn durations_saturate() {
    let longest = Duration::from_millis(u64::MAX);
    assert_eq!(Duration::MAX.whole_millis(), u64::MAX);
    assert_eq!(longest.saturating_times(2), longest);
    assert_eq!(
        Duration::from_millis(3).saturating_times(4),
        Duration::from_millis(12)
    );
    assert_eq!(Duration::MAX.with_clock_drift(), Duration::MAX);
    assert_eq!(
        Duration::from_secs(10).with_clock_drift(),
        Duration::from_millis(10_260)
    );
}

#[test]
fn timestamps_saturate() {
    let (earlier, later) = (Timestamp::from_millis(5), Timestamp::from_millis(9));
    assert_eq!(later - earlier, Duration::from_millis(4));
    assert_eq!(earlier - later, Duration::ZERO);
    assert_eq!(earlier.duration_since(later), Duration::ZERO);
    let last = Timestamp::from_millis(u64::MAX);
    assert_eq!(last + Duration::from_secs(1), last);
    assert_eq!(Timestamp::ZERO + Duration::MAX, last);
}
