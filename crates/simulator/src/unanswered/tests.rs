use super::*;

/// Replies about another job do not count: requests about job `a` are answered, those about `b` are not.
#[test]
fn job_without_answer_for_75_s_is_reported_lost() {
    let mut unanswered = UnansweredJobs::default();
    for now in (0..80_000).step_by(5_000) {
        for id in ["a", "b"] {
            unanswered.record_request(id, now);
        }
        unanswered.record_answer("a");
        let expected: &[&str] = if now == 75_000 { &["b"] } else { &[] };
        assert_eq!(unanswered.take_overdue(now), expected, "{now}");
    }
}
