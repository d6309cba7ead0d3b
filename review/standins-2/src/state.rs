//! The state service: a key-value store with revisions, leases, transactions and watches.

use crate::http::{serve, Reply, Request};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Changes that are retained for watches.
const MAX_CHANGES: usize = 10_000;
const MAX_TXN_BYTES: usize = 64 * 1024;
const MAX_LIST_ITEMS: usize = 1_000;
const MAX_LIST_BYTES: usize = 512 * 1024;
/// Time that a request takes.
const LATENCY: Duration = Duration::from_millis(4);

#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: usize,
    pub txn_ops: usize,
}

struct Item {
    value: Value,
    stamp: u64,
    hold: Option<u64>,
}

struct Lease {
    life: Duration,
    ends_at: Instant,
}

/// A limit per second with a burst of one second's worth.
struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Bucket {
            rate,
            level: rate,
            at: Instant::now(),
        }
    }

    fn take(&mut self, amount: f64) -> bool {
        let now = Instant::now();
        self.level = (self.level + (now - self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let allowed = self.level >= amount;
        if allowed {
            self.level -= amount;
        }
        allowed
    }
}

struct Store {
    limits: Limits,
    items: BTreeMap<String, Item>,
    epoch: u64,
    log: VecDeque<(u64, Value)>,
    /// Revision of the newest change that is no longer retained.
    dropped: u64,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    requests: Bucket,
    writes: Bucket,
}

impl Store {
    fn expire_leases(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &ended {
            self.end_lease(*id);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.hold == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.epoch += 1;
            for key in keys {
                self.items.remove(&key);
                self.record(json!({"delete": key, "stamp": self.epoch}));
            }
        }
    }

    fn record(&mut self, change: Value) {
        self.log.push_back((self.epoch, change));
        while self.log.len() > MAX_CHANGES {
            if let Some((epoch, _)) = self.log.pop_front() {
                self.dropped = epoch;
            }
        }
    }

    fn version(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.stamp)
    }

    fn transact(&mut self, body: &Value, bytes: usize) -> Reply {
        let empty = Vec::new();
        let conditions = body["if"].as_array().unwrap_or(&empty);
        let writes = body["writes"].as_array().unwrap_or(&empty);
        let bad = |error: &str| Reply::Json(400, json!({ "error": error }));
        if bytes > MAX_TXN_BYTES
            || writes.len() > self.limits.txn_ops
            || conditions.len() > 4 * self.limits.txn_ops
        {
            return bad("transaction too large");
        }
        for write in writes {
            if write.get("put").is_some()
                && write["v"].to_string().len() > self.limits.value_kb * 1024
            {
                return bad("value too large");
            }
        }
        if !self.writes.take(writes.len() as f64) {
            return Reply::Json(429, json!({"error": "too many writes"}));
        }
        let is_gone = |write: &Value| {
            let hold = write.get("hold").and_then(Value::as_u64);
            hold.is_some_and(|id| !self.leases.contains_key(&id))
        };
        if writes.iter().any(is_gone) {
            return bad("no such lease");
        }
        let failed: Vec<&str> = conditions
            .iter()
            .filter_map(|condition| {
                let key = condition["path"].as_str()?;
                (self.version(key) != condition["stamp"].as_u64()?).then_some(key)
            })
            .collect();
        if !failed.is_empty() {
            return Reply::Json(409, json!({"failed": failed, "epoch": self.epoch}));
        }
        if writes.is_empty() {
            return Reply::Json(200, json!({"epoch": self.epoch}));
        }
        self.epoch += 1;
        for write in writes {
            if let Some(key) = write.get("put").and_then(Value::as_str) {
                let hold = write.get("hold").and_then(Value::as_u64);
                let item = Item {
                    value: write["v"].clone(),
                    stamp: self.epoch,
                    hold,
                };
                let mut change = json!({"put": key, "v": item.value, "stamp": self.epoch});
                if let Some(hold) = hold {
                    change["hold"] = json!(hold);
                }
                self.items.insert(key.to_owned(), item);
                self.record(change);
            } else if let Some(key) = write.get("delete").and_then(Value::as_str) {
                if self.items.remove(key).is_some() {
                    self.record(json!({"delete": key, "stamp": self.epoch}));
                }
            }
        }
        Reply::Json(200, json!({"epoch": self.epoch}))
    }

    fn list(&self, request: &Request) -> Reply {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let limit = request
            .query("limit")
            .and_then(|limit| limit.parse().ok())
            .unwrap_or(MAX_LIST_ITEMS)
            .min(MAX_LIST_ITEMS);
        let mut pairs = Vec::new();
        let (mut bytes, mut has_next) = (0, false);
        for (key, item) in self.items.iter() {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            let pair = json!({"path": key, "v": item.value, "stamp": item.stamp});
            let length = pair.to_string().len();
            if pairs.len() >= limit || bytes + length > MAX_LIST_BYTES {
                has_next = true;
                break;
            }
            bytes += length;
            pairs.push(pair);
        }
        Reply::Json(
            200,
            json!({"pairs": pairs, "has_next": has_next, "epoch": self.epoch}),
        )
    }
}

pub struct StateService {
    store: Mutex<Store>,
    changed: Condvar,
}

impl StateService {
    /// Starts the service on a free loopback port.
    pub fn start(limits: Limits) -> SocketAddr {
        let store = Store {
            limits,
            items: BTreeMap::new(),
            epoch: 0,
            log: VecDeque::new(),
            dropped: 0,
            leases: HashMap::new(),
            last_lease: 0,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
        };
        let service = Arc::new(StateService {
            store: Mutex::new(store),
            changed: Condvar::new(),
        });
        let ticking = service.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            if ticking.store.lock().unwrap().expire_leases() {
                ticking.changed.notify_all();
            }
        });
        serve(Arc::new(move |request| service.handle(request)))
    }

    fn handle(&self, request: Request) -> Reply {
        std::thread::sleep(LATENCY);
        let bad = || Reply::Json(400, json!({"error": "malformed"}));
        let mut store = self.store.lock().unwrap();
        if !store.requests.take(1.0) {
            return Reply::Json(429, json!({"error": "too many requests"}));
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/store") => store.list(&request),
            ("GET", "/changes") => {
                drop(store);
                self.watch(&request)
            }
            ("GET", path) if path.starts_with("/store/") => {
                let key = &path["/store/".len()..];
                match store.items.get(key) {
                    Some(item) => Reply::Json(
                        200,
                        json!({"path": key, "v": item.value, "stamp": item.stamp, "hold": item.hold}),
                    ),
                    None => Reply::Json(404, json!({"epoch": store.epoch})),
                }
            }
            ("POST", "/txn") => {
                let Some(body) = request.json() else {
                    return bad();
                };
                let reply = store.transact(&body, request.body.len());
                drop(store);
                self.changed.notify_all();
                reply
            }
            ("POST", "/holds") => {
                let life_ms = request.json().and_then(|body| body["life_ms"].as_u64());
                let Some(life_ms) = life_ms.filter(|ms| (100..=600_000).contains(ms)) else {
                    return bad();
                };
                store.last_lease += 1;
                let id = store.last_lease;
                let life = Duration::from_millis(life_ms);
                let ends_at = Instant::now() + life;
                store.leases.insert(id, Lease { life, ends_at });
                Reply::Json(200, json!({ "hold": id }))
            }
            (method, path) if path.starts_with("/holds/") => {
                let rest = &path["/holds/".len()..];
                let id = rest.split('/').next().and_then(|id| id.parse().ok());
                let Some(lease) = id.and_then(|id: u64| store.leases.get_mut(&id)) else {
                    return Reply::Json(404, json!({"error": "no such lease"}));
                };
                if method == "DELETE" {
                    store.end_lease(id.unwrap_or_default());
                } else {
                    lease.ends_at = Instant::now() + lease.life;
                }
                drop(store);
                self.changed.notify_all();
                Reply::Json(200, json!({}))
            }
            _ => bad(),
        }
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.query("prefix").unwrap_or_default().to_owned();
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(60_000));
        let until = Instant::now() + wait;
        let mut store = self.store.lock().unwrap();
        loop {
            if after < store.dropped {
                return Reply::Json(410, json!({"error": "too old"}));
            }
            let is_wanted = |change: &&Value| {
                let key = change.get("put").or(change.get("delete"));
                key.and_then(Value::as_str)
                    .is_some_and(|key| key.starts_with(&prefix))
            };
            let newer = store.log.iter().skip_while(|(epoch, _)| *epoch <= after);
            let log: Vec<Value> = newer
                .map(|(_, change)| change)
                .filter(is_wanted)
                .cloned()
                .collect();
            let now = Instant::now();
            if !log.is_empty() || now >= until {
                return Reply::Json(200, json!({"epoch": store.epoch, "log": log}));
            }
            store = self.changed.wait_timeout(store, until - now).unwrap().0;
        }
    }
}
