//! HTTP requests to the server: a malformed request gets the response that its protocol defines, is counted,
//! and changes nothing in the controller.

use controller::{Controller, Event};
use model::{Settings, Timestamp};
use poem::http::{Method, StatusCode};
use poem::{Endpoint, IntoEndpoint, Request};
use serde_json::{json, Value};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tokio::sync::mpsc;
use trackcrank::inbound::{InboundRequest, ServerContext};
use trackcrank::metrics::Metrics;
use trackcrank::server;

const SETTINGS: &str = "member = \"n0\"\nzone = \"a\"\nserve_on = \"10.0.0.1:80\"\n\
    mesh_addr = \"10.0.0.1:81\"\n[endpoints]\ncloud = \"10.1.0.1:1\"\nstate = \"10.1.0.2:1\"\n\
    [[settings.teams]]\nname = \"vision\"\ncpus = 64.0\ncpus_max = 128.0\n\
    [settings.workers]\nreport_s = 5.0\nlease_s = 60.0\ngang_wait_s = 45.0\ngang_peer_s = 8.0\n\
    cancel_s = 130.0\n[settings.state]\nrps = 100.0\nwrite_rps = 100.0\nvalue_kb = 8.0\n\
    txn_ops = 8\n[settings.cloud]\nrps = 10.0\nlist_lag_s = 8.0\n";

/// Passes the server's requests to a controller that has not read the state service yet.
async fn run_controller(mut requests: mpsc::Receiver<InboundRequest>) {
    let settings = Settings::parse(SETTINGS).expect("valid settings");
    let mut controller = Controller::new(settings, 1 << 20);
    while let Some(request) = requests.recv().await {
        let (event, mut user, mut worker, mut admin) = match request {
            InboundRequest::User(request, reply_sender) => (
                Event::User { ticket: 1, request },
                Some(reply_sender),
                None,
                None,
            ),
            InboundRequest::Heartbeat(report, reply_sender) => (
                Event::Heartbeat { ticket: 1, report },
                None,
                Some(reply_sender),
                None,
            ),
            InboundRequest::Admin(request, reply_sender) => (
                Event::Admin { ticket: 1, request },
                None,
                None,
                Some(reply_sender),
            ),
        };
        for effect in controller.handle(Timestamp::from_millis(10), event) {
            match effect {
                controller::Effect::User { reply, .. } => {
                    user.take().map(|reply_sender| reply_sender.send(reply));
                }
                controller::Effect::Heartbeat { reply, .. } => {
                    worker.take().map(|reply_sender| reply_sender.send(reply));
                }
                controller::Effect::Admin { reply, .. } => {
                    admin.take().map(|reply_sender| reply_sender.send(reply));
                }
                _ => {}
            }
        }
    }
}

/// The HTTP server of a controller that has just started.
struct TestServer {
    context: ServerContext,
}

impl TestServer {
    fn new() -> Self {
        let (request_sender, requests) = mpsc::channel(64);
        tokio::spawn(run_controller(requests));
        let metrics = Arc::new(Metrics::new().expect("metrics"));
        let context = ServerContext {
            requests: request_sender,
            healthy: Arc::new(AtomicBool::new(true)),
            metrics,
        };
        TestServer { context }
    }

    async fn send(&self, method: Method, path: &str, body: Vec<u8>) -> (StatusCode, String) {
        let uri = path.parse().expect("a valid path");
        let request = Request::builder().method(method).uri(uri).body(body);
        let endpoint = server::routes(self.context.clone()).into_endpoint();
        let response = endpoint.get_response(request).await;
        let status = response.status();
        let text = response
            .into_body()
            .into_string()
            .await
            .expect("a body of text");
        (status, text)
    }

    async fn post(&self, path: &str, body: impl Into<Vec<u8>>) -> StatusCode {
        self.send(Method::POST, path, body.into()).await.0
    }

    /// Number of rejected messages that the metrics page shows for a source and reason.
    async fn rejected_count(&self, source: &str, reason: &str) -> u64 {
        let (_, page) = self.send(Method::GET, "/metrics", Vec::new()).await;
        let labels = format!("{{reason=\"{reason}\",source=\"{source}\"}} ");
        let prefix = format!("trackcrank_rejected_messages_total{labels}");
        let line = page.lines().find_map(|line| line.strip_prefix(&prefix));
        line.map_or(0, |count| count.parse().expect("a count"))
    }
}

fn valid_job() -> Value {
    json!({"id":"j-000412","lane":"train","crew":"vision","shape":"group","urgency":"high",
        "pieces":16,"vcpus":8.0,"gpus":1.0,"ram_gb":64.0,"bundle":"img-07","pull_gb":6.2,
        "rigs":["g8"],"yard":null,"together":true,"spread":false,"loaners":true,
        "expect_s":240.0,"notch_s":30.0,"stash_s":4.0,"due_s":900.0})
}

fn valid_heartbeat() -> Value {
    json!({"host":"host-000231","address":"10.1.0.232:9000","rig":"g8","yard":"a",
        "loaners":true,"shift":1,"tick":88,"baton":41,"warning_s":null,
        "pieces":[{"piece":"j-000412/3","try":2,"status":"running"}]})
}

/// The message as JSON, with one field set.
fn with_field(mut message: Value, field: &str, value: Value) -> String {
    message[field] = value;
    message.to_string()
}

#[tokio::test]
async fn malformed_submissions_get_status_400() {
    let server = TestServer::new();
    let mut malformed = vec![
        String::new(),
        "no JSON".into(),
        "null".into(),
        json!([valid_job()]).to_string(),
        json!("j-000412").to_string(),
        format!("{}{}", valid_job(), valid_job()),
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
        malformed.push(with_field(valid_job(), "id", json!(id)));
    }
    for pieces in [
        json!(0),
        json!(-1),
        json!(4.5),
        json!(100_001),
        json!("16"),
        json!(null),
    ] {
        malformed.push(with_field(valid_job(), "pieces", pieces));
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
            malformed.push(with_field(valid_job(), field, amount));
        }
        malformed.push(
            with_field(valid_job(), field, json!(0))
                .replace(&format!("\"{field}\":0"), &format!("\"{field}\":1e400")),
        );
        malformed.push(
            with_field(valid_job(), field, json!(0))
                .replace(&format!("\"{field}\":0"), &format!("\"{field}\":NaN")),
        );
    }
    for field in ["lane", "crew", "bundle"] {
        for name in [json!(""), json!(7), json!(null), json!("x".repeat(201))] {
            malformed.push(with_field(valid_job(), field, name));
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
        malformed.push(with_field(valid_job(), field, value));
    }
    let fields: Vec<String> = valid_job()
        .as_object()
        .expect("an object")
        .keys()
        .cloned()
        .collect();
    for field in fields
        .iter()
        .filter(|field| !["rigs", "yard", "due_s"].contains(&field.as_str()))
    {
        let mut incomplete_job = valid_job();
        incomplete_job
            .as_object_mut()
            .expect("an object")
            .remove(field);
        malformed.push(incomplete_job.to_string());
    }
    for body in &malformed {
        assert_eq!(
            server.post("/v1/jobs", body.as_str()).await,
            StatusCode::BAD_REQUEST,
            "{body}"
        );
    }
    assert_eq!(
        server.rejected_count("user", "malformed").await,
        malformed.len() as u64
    );
}

#[tokio::test]
async fn bodies_above_64_kib_get_status_400() {
    let server = TestServer::new();
    let padded = |bytes: usize| {
        let body = with_field(valid_job(), "note", json!(""));
        let padding = "x".repeat(bytes - body.len());
        with_field(valid_job(), "note", json!(padding))
    };
    assert_eq!(padded(64 * 1024).len(), 64 * 1024);
    let status = server.post("/v1/jobs", padded(64 * 1024)).await;
    assert_eq!(
        status,
        StatusCode::SERVICE_UNAVAILABLE,
        "a well-formed body of the largest size is passed to the controller"
    );
    for path in ["/v1/jobs", "/hello"] {
        assert_eq!(
            server.post(path, padded(64 * 1024 + 1)).await,
            StatusCode::BAD_REQUEST
        );
    }
    assert_eq!(server.rejected_count("user", "too_large").await, 1);
    assert_eq!(server.rejected_count("worker", "too_large").await, 1);
    assert_eq!(server.rejected_count("user", "malformed").await, 0);
}

/// Guards against an error response with a line of more than 64 KiB, which repeats what the user has sent.
#[tokio::test]
async fn error_response_does_not_repeat_a_long_request() {
    let server = TestServer::new();
    let body = with_field(valid_job(), "shape", json!("\u{1}".repeat(10_000)));
    assert!(body.len() < 64 * 1024);
    let (status, error) = server.send(Method::POST, "/v1/jobs", body.into()).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert!(error.len() < 4 * 1024, "{} bytes", error.len());
}

/// Before it has read the records and the machine types, a controller can neither accept nor reject a job.
#[tokio::test]
async fn well_formed_submissions_get_status_503_until_the_controller_has_synced() {
    let server = TestServer::new();
    for gpus in [json!(0), json!(0.25), json!(1.0), json!(8)] {
        let body = with_field(valid_job(), "gpus", gpus);
        let status = server.post("/v1/jobs", body.as_str()).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
    }
    let mut minimal_job = valid_job();
    for field in ["rigs", "yard", "due_s"] {
        minimal_job
            .as_object_mut()
            .expect("an object")
            .remove(field);
    }
    let status = server.post("/v1/jobs", minimal_job.to_string()).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(server.rejected_count("user", "malformed").await, 0);
}

#[tokio::test]
async fn malformed_job_ids_get_status_404() {
    let server = TestServer::new();
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
        let (status, _) = server.send(Method::GET, &path, Vec::new()).await;
        assert_eq!(status, StatusCode::NOT_FOUND, "{path}");
        let status = server.post(&format!("{path}/cancel"), "").await;
        assert_eq!(status, StatusCode::NOT_FOUND, "{path}/cancel");
    }
    assert_eq!(server.rejected_count("user", "malformed").await, 14);
}

#[tokio::test]
async fn malformed_heartbeats_get_status_400() {
    let server = TestServer::new();
    let mut malformed = vec![
        String::new(),
        "[]".into(),
        json!([valid_heartbeat()]).to_string(),
    ];
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
        malformed.push(with_field(valid_heartbeat(), field, value));
    }
    for body in &malformed {
        assert_eq!(
            server.post("/hello", body.as_str()).await,
            StatusCode::BAD_REQUEST,
            "{body}"
        );
    }
    assert_eq!(
        server.rejected_count("worker", "malformed").await,
        malformed.len() as u64
    );
    // These can be decoded, and are rejected by the controller.
    for (field, value) in [
        ("host", json!("")),
        ("host", json!("x".repeat(256))),
        ("address", json!("10.1.0.232:9000/other?x=")),
        (
            "pieces",
            json!([{"piece":"j-412/3","try":2,"status":"running"}]),
        ),
    ] {
        let body = with_field(valid_heartbeat(), field, value);
        assert_eq!(
            server.post("/hello", body.as_str()).await,
            StatusCode::BAD_REQUEST,
            "{body}"
        );
    }
    let status = server.post("/hello", valid_heartbeat().to_string()).await;
    assert_eq!(
        status,
        StatusCode::SERVICE_UNAVAILABLE,
        "a valid heartbeat to a controller that has read no records"
    );
}

#[tokio::test]
async fn malformed_requests_of_operators_get_status_400() {
    let server = TestServer::new();
    let malformed = [
        "",
        "[1, {}]",
        "{}",
        r#"{"version":-1,"settings":{}}"#,
        r#"{"version":1}"#,
    ];
    for body in malformed {
        let (status, _) = server
            .send(Method::PUT, "/admin/v1/settings", body.into())
            .await;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{body}");
    }
    assert_eq!(
        server.rejected_count("operator", "malformed").await,
        malformed.len() as u64
    );
}
