//! The metrics page: its names, labels and buckets, which dashboards depend on.

#[path = "../../wire/tests/golden/mod.rs"]
mod golden;

use controller::rejections::{MessageFault, MessageSource};
use golden::Entry;
use serde_json::{json, Value};
use std::fs;
use trackcrank::metrics::Metrics;

/// The node's numbers, as the golden test of the administration API has stored them, with refusals.
fn node_view() -> Value {
    let file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../simulator/tests/data/admin_views.txt"
    );
    let text = fs::read_to_string(file).expect("the stored views");
    let body = text
        .lines()
        .find_map(|line| line.strip_prefix("metrics 200 "))
        .expect("the numbers");
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

fn page() -> String {
    let metrics = Metrics::new().expect("metrics");
    for source in SOURCES {
        for fault in FAULTS {
            metrics.rejected().add(source, fault);
        }
    }
    metrics.observe_wait(1_500);
    metrics.page(&node_view()).expect("a page")
}

#[test]
fn the_page_keeps_its_bytes() {
    let page = page();
    let lines: Vec<Entry> = page.lines().map(|line| Entry::text("line", line)).collect();
    golden::check("metrics.txt", &lines);
}
