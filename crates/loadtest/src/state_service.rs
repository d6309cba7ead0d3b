//! The simulated state service: sockets, limits and outages around [`simulator::state::StateService`].

use crate::config::{Experiment, Fault};
use crate::http::{serve, HttpRequest, HttpResponse, SharedTrafficTotals};
use crate::limits::RateLimit;
use crate::role::{send_message, Context, RoleMessage, RoleReport};
use crate::run_layout::Clock;
use hyper::Method;
use serde::Deserialize;
use simulator::state::StateService;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use wire::state::{
    LeaseRequest, LeaseResponse, StateReply, StateRequest, Transaction, TransactionResponse, Write,
};

/// How often leases are checked for expiry; a lease may end 100 ms late.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Largest page of a list, in bytes and in items.
const MAX_PAGE_BYTES: usize = 512 * 1024;
const MAX_PAGE_ITEMS: u32 = 1_000;
/// Largest body of a transaction.
const MAX_TXN_BYTES: usize = 64 * 1024;
/// Longest time that a watch waits for a change.
const MAX_WATCH_MS: u64 = 60_000;

/// Runs the state service until `context.stop` resolves.
pub async fn run(context: Context) -> std::io::Result<RoleReport> {
    let Context {
        net,
        clock,
        experiment,
        mut stop,
    } = context;
    let traffic_totals = SharedTrafficTotals::default();
    let count = experiment.controllers.count;
    let warmup_ms = (experiment.warmup_s * 1_000.0) as u64;
    let server = Rc::new(StateServer::new(experiment, clock));
    for controller in 0..count {
        let listener = TcpListener::bind(net.state(controller)).await?;
        let server = server.clone();
        let handler = move |request| {
            let server = server.clone();
            async move { server.handle(request).await }
        };
        tokio::task::spawn_local(serve(listener, controller, traffic_totals.clone(), handler));
    }
    tokio::task::spawn_local(maintain_leases(server.clone()));
    tokio::task::spawn_local(crate::http::clear_totals_at(
        clock,
        warmup_ms,
        traffic_totals.clone(),
    ));
    send_message(&RoleMessage::Ready);
    let mut at_window_start = server.figures();
    tokio::select! {
        () = clock.sleep_until_ms(warmup_ms) => {
            at_window_start = server.figures();
            let _ = stop.await;
        }
        _ = &mut stop => {}
    }
    let mut figures = server.figures();
    for (name, value) in &mut figures {
        *value -= at_window_start.get(name).copied().unwrap_or_default();
    }
    let traffic = traffic_totals.borrow().clone();
    Ok(RoleReport {
        traffic,
        figures,
        ..RoleReport::default()
    })
}

/// Ends expired leases, and renews all leases for their full time to live when an outage ends.
async fn maintain_leases(server: Rc<StateServer>) {
    let mut was_out = false;
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        let now = server.clock.now_ms();
        let is_out = server.outage_is_active();
        if was_out && !is_out {
            server.store.borrow_mut().renew_all_leases(now);
        }
        if !is_out {
            server.store.borrow_mut().expire(now);
            server.wake_watches();
        }
        was_out = is_out;
    }
}

#[derive(Deserialize)]
struct ListQuery {
    prefix: String,
    #[serde(default)]
    after: String,
    limit: Option<u32>,
}

#[derive(Deserialize)]
struct WatchQuery {
    prefix: String,
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

struct StateServer {
    experiment: Experiment,
    clock: Clock,
    store: RefCell<StateService>,
    rate_limit: RefCell<RateLimit>,
    throttled_requests: Cell<u64>,
    requests_during_outage: Cell<u64>,
    /// Wakes the waiting watches.
    changes: watch::Sender<()>,
}

impl StateServer {
    fn new(experiment: Experiment, clock: Clock) -> Self {
        let state = &experiment.state;
        StateServer {
            store: RefCell::new(StateService::new(state.writes_per_s)),
            rate_limit: RefCell::new(RateLimit::new(state.requests_per_s, 1.0)),
            throttled_requests: Cell::default(),
            requests_during_outage: Cell::default(),
            changes: watch::Sender::new(()),
            clock,
            experiment,
        }
    }

    fn outage_is_active(&self) -> bool {
        let now = self.clock.now_ms();
        let mut faults = self.experiment.faults.iter();
        faults.any(|fault| matches!(fault, Fault::StateOutage { .. }) && fault.is_active(now))
    }

    fn wake_watches(&self) {
        self.changes.send_replace(());
    }

    fn figures(&self) -> std::collections::BTreeMap<String, f64> {
        let store = self.store.borrow();
        [
            ("writes taken", store.accepted_writes),
            ("writes refused (429)", store.refused_writes),
            ("requests refused (429)", self.throttled_requests.get()),
            (
                "requests refused (outage)",
                self.requests_during_outage.get(),
            ),
        ]
        .map(|(name, value)| (name.to_owned(), value as f64))
        .into()
    }

    async fn handle(&self, http_request: HttpRequest) -> HttpResponse {
        tokio::time::sleep(Duration::from_secs_f64(
            self.experiment.state.latency_ms / 1e3,
        ))
        .await;
        let Some((kind, request)) = read_request(&http_request) else {
            return HttpResponse::error("malformed", 400, "malformed");
        };
        if self.outage_is_active() {
            self.requests_during_outage
                .set(self.requests_during_outage.get() + 1);
            return HttpResponse::error(kind, 503, "outage");
        }
        let now = self.clock.now_ms();
        if !self.rate_limit.borrow_mut().take(now) {
            self.throttled_requests
                .set(self.throttled_requests.get() + 1);
            return HttpResponse::error(kind, 429, "too many requests");
        }
        if let StateRequest::Watch {
            prefix,
            after,
            wait_ms,
        } = &request
        {
            return to_response(kind, self.watch(prefix, *after, *wait_ms).await);
        }
        if let StateRequest::Transaction(txn) = &request {
            if let Some(problem) = self.exceeded_limit(txn, http_request.body.len()) {
                return HttpResponse::error(kind, 400, &problem);
            }
        }
        let reply = self.store.borrow_mut().execute(now, &request);
        self.wake_watches();
        to_response(kind, reply)
    }

    /// Waits for a change; an outage delays the reply until its end.
    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> StateReply {
        let deadline_ms = self.clock.now_ms() + wait_ms.min(MAX_WATCH_MS);
        let mut changes = self.changes.subscribe();
        loop {
            if !self.outage_is_active() {
                if let Some(reply) = self.store.borrow().changes(prefix, after) {
                    return reply;
                }
                if self.clock.now_ms() >= deadline_ms {
                    return self.store.borrow().no_changes();
                }
            }
            let left_ms = deadline_ms
                .saturating_sub(self.clock.now_ms())
                .clamp(20, 1_000);
            let _ = tokio::time::timeout(Duration::from_millis(left_ms), changes.changed()).await;
        }
    }

    /// The limit of the service that a transaction exceeds, if any.
    fn exceeded_limit(&self, txn: &Transaction, bytes: usize) -> Option<String> {
        let state = &self.experiment.state;
        if txn.writes.len() > state.txn_ops || txn.conditions.len() > 4 * state.txn_ops {
            return Some("too many operations".into());
        }
        if bytes > MAX_TXN_BYTES {
            return Some("transaction over 64 KiB".into());
        }
        let max_value_bytes = (state.value_kb * 1024.0) as usize;
        txn.writes.iter().find_map(|write| {
            let Write::Put { key, value, .. } = write else {
                return None;
            };
            let length = serde_json::to_vec(value).map_or(usize::MAX, |bytes| bytes.len());
            (length > max_value_bytes).then(|| format!("value of {key} has {length} bytes"))
        })
    }
}

fn read_request(http_request: &HttpRequest) -> Option<(&'static str, StateRequest)> {
    let parts: Vec<&str> = http_request
        .path
        .trim_start_matches('/')
        .split('/')
        .collect();
    let request = match (http_request.method.clone(), parts.as_slice()) {
        (Method::GET, ["store"]) => {
            let query: ListQuery = serde_urlencoded::from_str(&http_request.query).ok()?;
            let limit = query.limit.unwrap_or(MAX_PAGE_ITEMS).min(MAX_PAGE_ITEMS);
            (
                "list",
                StateRequest::List {
                    prefix: query.prefix,
                    after: query.after,
                    limit,
                },
            )
        }
        (Method::GET, ["store", key @ ..]) => ("get", StateRequest::Get { key: key.join("/") }),
        (Method::POST, ["txn"]) => (
            "txn",
            StateRequest::Transaction(serde_json::from_slice(&http_request.body).ok()?),
        ),
        (Method::POST, ["holds"]) => {
            let lease: LeaseRequest = serde_json::from_slice(&http_request.body).ok()?;
            (
                "lease",
                StateRequest::GrantLease {
                    ttl_ms: lease.ttl_ms,
                },
            )
        }
        (Method::POST, ["holds", id, "renew"]) => (
            "renew",
            StateRequest::RenewLease {
                lease: id.parse().ok()?,
            },
        ),
        (Method::DELETE, ["holds", id]) => (
            "end lease",
            StateRequest::RevokeLease {
                lease: id.parse().ok()?,
            },
        ),
        (Method::GET, ["changes"]) => {
            let query: WatchQuery = serde_urlencoded::from_str(&http_request.query).ok()?;
            let WatchQuery {
                prefix,
                after,
                wait_ms,
            } = query;
            (
                "watch",
                StateRequest::Watch {
                    prefix,
                    after,
                    wait_ms,
                },
            )
        }
        _ => return None,
    };
    Some(request)
}

fn to_response(kind: &'static str, reply: StateReply) -> HttpResponse {
    match reply {
        StateReply::Item(item) => HttpResponse::json(kind, 200, &item),
        StateReply::NotFound => HttpResponse::error(kind, 404, "no such key"),
        StateReply::List(mut page) => {
            truncate(&mut page);
            HttpResponse::json(kind, 200, &page)
        }
        StateReply::Committed { revision } => HttpResponse::json(
            kind,
            200,
            &TransactionResponse {
                revision,
                failed: Vec::new(),
            },
        ),
        StateReply::Conflict { failed, revision } => {
            HttpResponse::json(kind, 409, &TransactionResponse { revision, failed })
        }
        StateReply::Lease(lease) => HttpResponse::json(kind, 200, &LeaseResponse { lease }),
        StateReply::Ok => HttpResponse {
            status: 200,
            body: b"{}".to_vec(),
            kind,
        },
        StateReply::LeaseGone if kind == "txn" => HttpResponse::error(kind, 400, "no such lease"),
        StateReply::LeaseGone => HttpResponse::error(kind, 404, "no such lease"),
        StateReply::Changes(changes) => HttpResponse::json(kind, 200, &changes),
        StateReply::Compacted => HttpResponse::error(kind, 410, "compacted"),
        StateReply::Refused { throttled: true } => {
            HttpResponse::error(kind, 429, "too many writes")
        }
        StateReply::Refused { throttled: false } => HttpResponse::error(kind, 503, "trouble"),
        StateReply::Invalid(problem) => HttpResponse::error(kind, 400, &problem),
        StateReply::Unknown => HttpResponse::error(kind, 500, "unknown"),
    }
}

/// Truncates a page to the items that fit into a response; one item always stays.
fn truncate(page: &mut wire::state::ListPage) {
    let mut bytes = 0;
    let fitting_items = page.items.iter().position(|item| {
        bytes += serde_json::to_vec(item).map_or(0, |bytes| bytes.len() + 1);
        bytes > MAX_PAGE_BYTES
    });
    if let Some(fitting_items) = fitting_items {
        page.items.truncate(fitting_items.max(1));
        page.has_more = true;
    }
}
