//! Golden test of the metrics page: dashboards depend on its names, labels and buckets.

#[path = "../../wire/tests/golden/mod.rs"]
mod golden;

use controller::rejections::{MessageFault, MessageSource};
use golden::Entry;
use serde_json::{json, Value};
use std::fs;
use trackcrank::metrics::Metrics;

/// The view of a controller's metrics that the golden test of the admin API has stored, with refused requests
/// added.
fn metrics_view() -> Value {
    let file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../simulator/tests/data/admin_views.txt"
    );
    let text = fs::read_to_string(file).expect("the stored views of the admin API");
    let body = text
        .lines()
        .find_map(|line| line.strip_prefix("metrics 200 "))
        .expect("the stored metrics view");
    let mut view: Value = serde_json::from_str(body).expect("JSON");
    view["refusals"] = json!({ "busy": 1, "report": 2 });
    view
}

const SOURCES: [MessageSource; 6] = [
    MessageSource::User,
    MessageSource::Worker,
    MessageSource::Peer,
    MessageSource::State,
    MessageSource::Cloud,
    MessageSource::Operator,
];

const FAULTS: [MessageFault; 6] = [
    MessageFault::Malformed,
    MessageFault::TooLarge,
    MessageFault::Version,
    MessageFault::UnknownSender,
    MessageFault::Misrouted,
    MessageFault::Stale,
];

fn rendered_page() -> String {
    let metrics = Metrics::new().expect("metrics");
    for source in SOURCES {
        for fault in FAULTS {
            metrics.rejected_messages().add(source, fault);
        }
    }
    metrics.observe_start_latency(1_500);
    metrics.render(&metrics_view()).expect("a page")
}

#[test]
fn metrics_page_equals_the_golden_file() {
    let page = rendered_page();
    let lines: Vec<Entry> = page.lines().map(|line| Entry::text("line", line)).collect();
    golden::check("metrics.txt", &lines);
}
