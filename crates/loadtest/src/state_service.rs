//! The state service's sockets, limits and outages around [`simulator::state::StateService`].

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

/// How often leases are looked at; one may end 100 ms late.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Largest page of a list.
const PAGE_BYTES: usize = 512 * 1024;
const PAGE_ITEMS: u32 = 1_000;
/// Largest transaction.
const TXN_BYTES: usize = 64 * 1024;
/// Longest watch.
const MAX_WATCH_MS: u64 = 60_000;

/// Runs the state service until it is told to stop.
pub async fn run(context: Context) -> std::io::Result<RoleReport> {
    let Context {
        net,
        clock,
        experiment,
        mut stop,
    } = context;
    let tally = SharedTrafficTotals::default();
    let count = experiment.controllers.count;
    let warmup = (experiment.warmup_s * 1_000.0) as u64;
    let service = Rc::new(Service::new(experiment, clock));
    for controller in 0..count {
        let listener = TcpListener::bind(net.state(controller)).await?;
        let service = service.clone();
        let handler = move |call| {
            let service = service.clone();
            async move { service.handle(call).await }
        };
        tokio::task::spawn_local(serve(listener, controller, tally.clone(), handler));
    }
    tokio::task::spawn_local(watch_leases(service.clone()));
    tokio::task::spawn_local(crate::http::clear_totals_at(clock, warmup, tally.clone()));
    send_message(&RoleMessage::Ready);
    let mut before = service.figures();
    tokio::select! {
        () = clock.sleep_until_ms(warmup) => {
            before = service.figures();
            let _ = stop.await;
        }
        _ = &mut stop => {}
    }
    let mut figures = service.figures();
    for (name, value) in &mut figures {
        *value -= before.get(name).copied().unwrap_or_default();
    }
    let traffic = tally.borrow().clone();
    Ok(RoleReport {
        traffic,
        figures,
        ..RoleReport::default()
    })
}

/// Ends leases in time, and gives them their full time after an outage.
async fn watch_leases(service: Rc<Service>) {
    let mut was_out = false;
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        let now = service.clock.now_ms();
        let out = service.outage();
        if was_out && !out {
            service.store.borrow_mut().renew_all_leases(now);
        }
        if !out {
            service.store.borrow_mut().expire(now);
            service.changed();
        }
        was_out = out;
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

struct Service {
    experiment: Experiment,
    clock: Clock,
    store: RefCell<StateService>,
    requests: RefCell<RateLimit>,
    throttled: Cell<u64>,
    during_outage: Cell<u64>,
    /// Wakes the watches.
    changes: watch::Sender<()>,
}

impl Service {
    fn new(experiment: Experiment, clock: Clock) -> Self {
        let state = &experiment.state;
        Service {
            store: RefCell::new(StateService::new(state.writes_per_s)),
            requests: RefCell::new(RateLimit::new(state.requests_per_s, 1.0)),
            throttled: Cell::default(),
            during_outage: Cell::default(),
            changes: watch::Sender::new(()),
            clock,
            experiment,
        }
    }

    fn outage(&self) -> bool {
        let now = self.clock.now_ms();
        let mut faults = self.experiment.faults.iter();
        faults.any(|fault| matches!(fault, Fault::StateOutage { .. }) && fault.active(now))
    }

    fn changed(&self) {
        self.changes.send_replace(());
    }

    fn figures(&self) -> std::collections::BTreeMap<String, f64> {
        let store = self.store.borrow();
        [
            ("writes taken", store.accepted_writes),
            ("writes refused (429)", store.refused_writes),
            ("requests refused (429)", self.throttled.get()),
            ("requests refused (outage)", self.during_outage.get()),
        ]
        .map(|(name, value)| (name.to_owned(), value as f64))
        .into()
    }

    async fn handle(&self, call: HttpRequest) -> HttpResponse {
        tokio::time::sleep(Duration::from_secs_f64(
            self.experiment.state.latency_ms / 1e3,
        ))
        .await;
        let Some((kind, request)) = read_request(&call) else {
            return HttpResponse::error("malformed", 400, "malformed");
        };
        if self.outage() {
            self.during_outage.set(self.during_outage.get() + 1);
            return HttpResponse::error(kind, 503, "outage");
        }
        let now = self.clock.now_ms();
        if !self.requests.borrow_mut().take(now) {
            self.throttled.set(self.throttled.get() + 1);
            return HttpResponse::error(kind, 429, "too many requests");
        }
        if let StateRequest::Watch {
            prefix,
            after,
            wait_ms,
        } = &request
        {
            return answer(kind, self.watch(prefix, *after, *wait_ms).await);
        }
        if let StateRequest::Transaction(txn) = &request {
            if let Some(problem) = self.too_large(txn, call.body.len()) {
                return HttpResponse::error(kind, 400, &problem);
            }
        }
        let reply = self.store.borrow_mut().execute(now, &request);
        self.changed();
        answer(kind, reply)
    }

    /// Waits for a change; during an outage nothing is told.
    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> StateReply {
        let until = self.clock.now_ms() + wait_ms.min(MAX_WATCH_MS);
        let mut changes = self.changes.subscribe();
        loop {
            if !self.outage() {
                if let Some(reply) = self.store.borrow().changes(prefix, after) {
                    return reply;
                }
                if self.clock.now_ms() >= until {
                    return self.store.borrow().no_changes();
                }
            }
            let left = until.saturating_sub(self.clock.now_ms()).clamp(20, 1_000);
            let _ = tokio::time::timeout(Duration::from_millis(left), changes.changed()).await;
        }
    }

    fn too_large(&self, txn: &Transaction, bytes: usize) -> Option<String> {
        let state = &self.experiment.state;
        if txn.writes.len() > state.txn_ops || txn.conditions.len() > 4 * state.txn_ops {
            return Some("too many operations".into());
        }
        if bytes > TXN_BYTES {
            return Some("transaction over 64 KiB".into());
        }
        let most = (state.value_kb * 1024.0) as usize;
        txn.writes.iter().find_map(|write| {
            let Write::Put { key, value, .. } = write else {
                return None;
            };
            let length = serde_json::to_vec(value).map_or(usize::MAX, |bytes| bytes.len());
            (length > most).then(|| format!("value of {key} has {length} bytes"))
        })
    }
}

fn read_request(call: &HttpRequest) -> Option<(&'static str, StateRequest)> {
    let parts: Vec<&str> = call.path.trim_start_matches('/').split('/').collect();
    let request = match (call.method.clone(), parts.as_slice()) {
        (Method::GET, ["store"]) => {
            let query: ListQuery = serde_urlencoded::from_str(&call.query).ok()?;
            let limit = query.limit.unwrap_or(PAGE_ITEMS).min(PAGE_ITEMS);
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
            StateRequest::Transaction(serde_json::from_slice(&call.body).ok()?),
        ),
        (Method::POST, ["holds"]) => {
            let lease: LeaseRequest = serde_json::from_slice(&call.body).ok()?;
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
            let query: WatchQuery = serde_urlencoded::from_str(&call.query).ok()?;
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

fn answer(kind: &'static str, reply: StateReply) -> HttpResponse {
    match reply {
        StateReply::Item(item) => HttpResponse::json(kind, 200, &item),
        StateReply::NotFound => HttpResponse::error(kind, 404, "no such key"),
        StateReply::List(mut page) => {
            shorten(&mut page);
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

/// Leaves out what does not fit into an answer.
fn shorten(page: &mut wire::state::ListPage) {
    let mut bytes = 0;
    let fits = page.items.iter().position(|item| {
        bytes += serde_json::to_vec(item).map_or(0, |bytes| bytes.len() + 1);
        bytes > PAGE_BYTES
    });
    if let Some(fits) = fits {
        page.items.truncate(fits.max(1));
        page.has_more = true;
    }
}
