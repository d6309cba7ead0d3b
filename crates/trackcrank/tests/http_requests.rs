//! Requests as they come over HTTP: what is malformed is answered as the protocol says, is counted and
//! never reaches the node's state.

use controller::{Controller, Event};
use model::{Settings, Timestamp};
use poem::http::{Method, StatusCode};
use poem::{Endpoint, IntoEndpoint, Request};
use serde_json::{json, Value};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tokio::sync::mpsc;
use trackcrank::inbound::{Inbound, Shared};
use trackcrank::metrics::Metrics;
use trackcrank::server;

const SETTINGS: &str = "member = \"n0\"\nzone = \"a\"\nserve_on = \"10.0.0.1:80\"\n\
    mesh_addr = \"10.0.0.1:81\"\n[endpoints]\ncloud = \"10.1.0.1:1\"\nstate = \"10.1.0.2:1\"\n\
    [[settings.teams]]\nname = \"vision\"\ncpus = 64.0\ncpus_max = 128.0\n\
    [settings.workers]\nreport_s = 5.0\nlease_s = 60.0\ngang_wait_s = 45.0\ngang_peer_s = 8.0\n\
    cancel_s = 130.0\n[settings.state]\nrps = 100.0\nwrite_rps = 100.0\nvalue_kb = 8.0\n\
    txn_ops = 8\n[settings.cloud]\nrps = 10.0\nlist_lag_s = 8.0\n";

/// Feeds what the server hands on to a node that has not read the state service yet.
async fn run_node(mut requests: mpsc::Receiver<Inbound>) {
    let mut node = Controller::new(Settings::parse(SETTINGS).expect("settings"), 1 << 20);
    while let Some(request) = requests.recv().await {
        let (event, user, report, admin) = match request {
            Inbound::User(request, answer) => {
                (Event::User { ticket: 1, request }, Some(answer), None, None)
            }
            Inbound::Heartbeat(report, answer) => (
                Event::Heartbeat { ticket: 1, report },
                None,
                Some(answer),
                None,
            ),
            Inbound::Admin(request, answer) => (
                Event::Admin { ticket: 1, request },
                None,
                None,
                Some(answer),
            ),
        };
        let (mut user, mut report, mut admin) = (user, report, admin);
        for effect in node.handle(Timestamp::from_millis(10), event) {
            match effect {
                controller::Effect::User { reply, .. } => {
                    user.take().map(|answer| answer.send(reply));
                }
                controller::Effect::Heartbeat { reply, .. } => {
                    report.take().map(|answer| answer.send(reply));
                }
                controller::Effect::Admin { reply, .. } => {
                    admin.take().map(|answer| answer.send(reply));
                }
                _ => {}
            }
        }
    }
}

/// A server before a node that has just started.
struct Site {
    shared: Shared,
}

impl Site {
    fn new() -> Self {
        let (inbound, requests) = mpsc::channel(64);
        tokio::spawn(run_node(requests));
        let metrics = Arc::new(Metrics::new().expect("metrics"));
        let shared = Shared {
            inbound,
            healthy: Arc::new(AtomicBool::new(true)),
            metrics,
        };
        Site { shared }
    }

    async fn send(&self, method: Method, path: &str, body: Vec<u8>) -> (StatusCode, String) {
        let uri = path.parse().expect("a path");
        let request = Request::builder().method(method).uri(uri).body(body);
        let endpoint = server::routes(self.shared.clone()).into_endpoint();
        let response = endpoint.get_response(request).await;
        let status = response.status();
        let text = response.into_body().into_string().await.expect("a text");
        (status, text)
    }

    async fn post(&self, path: &str, body: impl Into<Vec<u8>>) -> StatusCode {
        self.send(Method::POST, path, body.into()).await.0
    }

    /// How many messages of a kind the metrics page shows as rejected.
    async fn rejected(&self, source: &str, reason: &str) -> u64 {
        let (_, page) = self.send(Method::GET, "/metrics", Vec::new()).await;
        let labels = format!("{{reason=\"{reason}\",source=\"{source}\"}} ");
        let name = format!("trackcrank_rejected_messages_total{labels}");
        let line = page.lines().find_map(|line| line.strip_prefix(&name));
        line.map_or(0, |count| count.parse().expect("a count"))
    }
}

fn job() -> Value {
    json!({"id":"j-000412","lane":"train","crew":"vision","shape":"group","urgency":"high",
        "pieces":16,"vcpus":8.0,"gpus":1.0,"ram_gb":64.0,"bundle":"img-07","pull_gb":6.2,
        "rigs":["g8"],"yard":null,"together":true,"spread":false,"loaners":true,
        "expect_s":240.0,"notch_s":30.0,"stash_s":4.0,"due_s":900.0})
}

fn report() -> Value {
    json!({"host":"host-000231","address":"10.1.0.232:9000","rig":"g8","yard":"a",
        "loaners":true,"shift":1,"tick":88,"baton":41,"warning_s":null,
        "pieces":[{"piece":"j-000412/3","try":2,"status":"running"}]})
}

/// The message with one field changed.
fn with(mut message: Value, field: &str, value: Value) -> String {
    message[field] = value;
    message.to_string()
}

#[tokio::test]
async fn malformed_submissions_are_answered_with_400() {
    let site = Site::new();
    let mut bad = vec![
        String::new(),
        "no JSON".into(),
        "null".into(),
        json!([job()]).to_string(),
        json!("j-000412").to_string(),
        format!("{}{}", job(), job()),
        r#"{"id":"j-000412","id":"j-000413"}"#.into(),
    ];
    for id in [
        "",
        "412",
        "j-412",
        "j-0000412",
        "J-000412",
        "j-000412/1",
        "j-99999999999999999999",
    ] {
        bad.push(with(job(), "id", json!(id)));
    }
    for pieces in [
        json!(0),
        json!(-1),
        json!(4.5),
        json!(100_001),
        json!("16"),
        json!(null),
    ] {
        bad.push(with(job(), "pieces", pieces));
    }
    for field in [
        "vcpus", "gpus", "ram_gb", "pull_gb", "expect_s", "notch_s", "stash_s", "due_s",
    ] {
        for amount in [
            json!(-0.5),
            json!(1e300),
            json!("8"),
            json!([8.0]),
            json!({}),
            json!(true),
        ] {
            bad.push(with(job(), field, amount));
        }
        bad.push(
            with(job(), field, json!(0))
                .replace(&format!("\"{field}\":0"), &format!("\"{field}\":1e400")),
        );
        bad.push(
            with(job(), field, json!(0))
                .replace(&format!("\"{field}\":0"), &format!("\"{field}\":NaN")),
        );
    }
    for field in ["lane", "crew", "bundle"] {
        for name in [json!(""), json!(7), json!(null), json!("x".repeat(201))] {
            bad.push(with(job(), field, name));
        }
    }
    for (field, value) in [
        ("shape", json!("gang")),
        ("urgency", json!("urgent")),
        ("together", json!("true")),
        ("spread", json!(1)),
        ("loaners", json!(null)),
        ("rigs", json!("g8")),
        ("rigs", json!([""])),
        ("yard", json!("")),
    ] {
        bad.push(with(job(), field, value));
    }
    let fields: Vec<String> = job()
        .as_object()
        .expect("an object")
        .keys()
        .cloned()
        .collect();
    for field in fields
        .iter()
        .filter(|f| !["rigs", "yard", "due_s"].contains(&f.as_str()))
    {
        let mut lacking = job();
        lacking.as_object_mut().expect("an object").remove(field);
        bad.push(lacking.to_string());
    }
    for body in &bad {
        assert_eq!(
            site.post("/v1/jobs", body.as_str()).await,
            StatusCode::BAD_REQUEST,
            "{body}"
        );
    }
    assert_eq!(site.rejected("user", "malformed").await, bad.len() as u64);
}

#[tokio::test]
async fn bodies_beyond_64_kib_are_answered_with_400() {
    let site = Site::new();
    let padded = |bytes: usize| {
        let body = with(job(), "note", json!(""));
        let padding = "x".repeat(bytes - body.len());
        with(job(), "note", json!(padding))
    };
    assert_eq!(padded(64 * 1024).len(), 64 * 1024);
    let well_formed = site.post("/v1/jobs", padded(64 * 1024)).await;
    assert_eq!(
        well_formed,
        StatusCode::SERVICE_UNAVAILABLE,
        "within the limit"
    );
    for path in ["/v1/jobs", "/hello"] {
        assert_eq!(
            site.post(path, padded(64 * 1024 + 1)).await,
            StatusCode::BAD_REQUEST
        );
    }
    assert_eq!(site.rejected("user", "too_large").await, 1);
    assert_eq!(site.rejected("worker", "too_large").await, 1);
    assert_eq!(site.rejected("user", "malformed").await, 0);
}

/// A node that has not read the records and the machine types yet cannot decide.
#[tokio::test]
async fn well_formed_submissions_are_answered_with_503_by_a_node_that_cannot_decide() {
    let site = Site::new();
    for gpus in [json!(0), json!(0.25), json!(1.0), json!(8)] {
        let body = with(job(), "gpus", gpus);
        let status = site.post("/v1/jobs", body.as_str()).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
    }
    let mut least = job();
    for field in ["rigs", "yard", "due_s"] {
        least.as_object_mut().expect("an object").remove(field);
    }
    let status = site.post("/v1/jobs", least.to_string()).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(site.rejected("user", "malformed").await, 0);
}

#[tokio::test]
async fn ids_that_no_job_can_have_are_not_found() {
    let site = Site::new();
    for id in [
        "412",
        "j-412",
        "j-0000412",
        "J-000412",
        "j-00041x",
        "j-99999999999999999999",
        "%00",
    ] {
        let path = format!("/v1/jobs/{id}");
        let (status, _) = site.send(Method::GET, &path, Vec::new()).await;
        assert_eq!(status, StatusCode::NOT_FOUND, "{path}");
        let status = site.post(&format!("{path}/cancel"), "").await;
        assert_eq!(status, StatusCode::NOT_FOUND, "{path}/cancel");
    }
    assert_eq!(site.rejected("user", "malformed").await, 14);
}

#[tokio::test]
async fn malformed_reports_are_answered_with_400() {
    let site = Site::new();
    let mut bad = vec![String::new(), "[]".into(), json!([report()]).to_string()];
    for (field, value) in [
        ("host", json!(7)),
        ("shift", json!(-1)),
        ("tick", json!(4.5)),
        ("baton", json!("41")),
        ("baton", json!(null)),
        ("loaners", json!("true")),
        ("warning_s", json!("soon")),
        ("pieces", json!({})),
        (
            "pieces",
            json!([{"piece":"j-000412/3","try":2,"status":"asleep"}]),
        ),
        (
            "pieces",
            json!([{"piece":"j-000412/3","try":-2,"status":"running"}]),
        ),
        ("pieces", json!([{"piece":"j-000412/3","status":"running"}])),
    ] {
        bad.push(with(report(), field, value));
    }
    for body in &bad {
        assert_eq!(
            site.post("/hello", body.as_str()).await,
            StatusCode::BAD_REQUEST,
            "{body}"
        );
    }
    assert_eq!(site.rejected("worker", "malformed").await, bad.len() as u64);
    // These parse, and are rejected by the node.
    for (field, value) in [
        ("host", json!("")),
        ("host", json!("x".repeat(256))),
        ("address", json!("10.1.0.232:9000/other?x=")),
        (
            "pieces",
            json!([{"piece":"j-412/3","try":2,"status":"running"}]),
        ),
    ] {
        let body = with(report(), field, value);
        assert_eq!(
            site.post("/hello", body.as_str()).await,
            StatusCode::BAD_REQUEST,
            "{body}"
        );
    }
    let status = site.post("/hello", report().to_string()).await;
    assert_eq!(
        status,
        StatusCode::SERVICE_UNAVAILABLE,
        "a sound report to a node without records"
    );
}

#[tokio::test]
async fn malformed_requests_of_operators_are_answered_with_400() {
    let site = Site::new();
    let bad = [
        "",
        "[1, {}]",
        "{}",
        r#"{"version":-1,"settings":{}}"#,
        r#"{"version":1}"#,
    ];
    for body in bad {
        let (status, _) = site
            .send(Method::PUT, "/admin/v1/settings", body.into())
            .await;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{body}");
    }
    assert_eq!(
        site.rejected("operator", "malformed").await,
        bad.len() as u64
    );
}
