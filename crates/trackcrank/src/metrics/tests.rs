use super::*;

#[test]
fn page_contains_queues_unplaced_tasks_and_start_latencies() {
    let metrics = Metrics::new().expect("metrics");
    metrics.observe_start_latency(1_500);
    metrics.add_unplaced_tasks(scheduler::MachineRejection::NotSpare, 4);
    let view = serde_json::json!({
        "pending": { "active": 3 },
        "incoming": [["backoff", "failure", 7]],
    });
    let page = metrics.render(&view).expect("page");
    assert!(
        page.contains("trackcrank_pending_tasks{queue=\"active\"} 3"),
        "{page}"
    );
    assert!(
        page.contains("event=\"failure\",queue=\"backoff\"} 7"),
        "{page}"
    );
    assert!(
        page.contains("trackcrank_unplaced_tasks_total{reason=\"not_spare\"} 4"),
        "{page}"
    );
    assert!(
        page.contains("trackcrank_start_latency_seconds_bucket{le=\"2\"} 1"),
        "{page}"
    );
}
