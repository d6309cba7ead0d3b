//! The cache of jobs' archived terminal states and progress.

use controller::job_status_cache::{JobStatusCache, TaskCounts};
use model::{JobId, JobState};

#[test]
fn recording_an_archived_state_removes_the_progress() {
    let mut cache = JobStatusCache::default();
    let counts = TaskCounts {
        done: 2,
        running: 1,
    };
    cache.record_progress(JobId(1), counts);
    cache.record_progress(JobId(2), counts);
    assert_eq!(cache.progress(JobId(1)), Some(counts));
    assert_eq!(cache.archived_state(JobId(1)), None);
    cache.record_archived_state(JobId(1), JobState::Done);
    assert_eq!(cache.progress(JobId(1)), None);
    assert_eq!(cache.archived_state(JobId(1)), Some(JobState::Done));
    cache.forget_progress(JobId(2));
    assert_eq!(cache.progress(JobId(2)), None);
}

#[test]
fn full_cache_evicts_a_tenth_and_keeps_the_newest() {
    let mut cache = JobStatusCache::default();
    for id in 0..=100_000 {
        cache.record_archived_state(JobId(id), JobState::Done);
    }
    let kept_ids = (0..=100_000).filter(|id| cache.archived_state(JobId(*id)).is_some());
    assert_eq!(kept_ids.count(), 90_001);
    assert_eq!(cache.archived_state(JobId(100_000)), Some(JobState::Done));
}
