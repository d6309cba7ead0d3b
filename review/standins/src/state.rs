//! A stand-in for the state service, as "Controller nodes -> state service" in PROTOCOL describes it.

use crate::http::{field, json, Req, Resp};
use crate::Clock;
use hyper::Method;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Number of changes that are kept for watches.
const KEPT_CHANGES: usize = 10_000;

#[derive(Clone)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
    pub latency: Duration,
}

struct Entry {
    value: Value,
    stamp: u64,
    hold: Option<u64>,
}

struct Hold {
    life_ms: u64,
    ends_at: u64,
}

#[derive(Default)]
struct Store {
    keys: BTreeMap<String, Entry>,
    epoch: u64,
    log: VecDeque<(u64, Value, String)>,
    forgotten_to: u64,
    holds: BTreeMap<u64, Hold>,
    last_hold: u64,
}

impl Store {
    fn record(&mut self, key: &str, change: Value) {
        self.log.push_back((self.epoch, change, key.to_owned()));
        while self.log.len() > KEPT_CHANGES {
            if let Some((epoch, ..)) = self.log.pop_front() {
                self.forgotten_to = epoch;
            }
        }
    }

    fn put(&mut self, key: &str, value: Value, hold: Option<u64>) {
        let mut change = json!({"put": key, "v": value, "stamp": self.epoch});
        if let Some(hold) = hold {
            change["hold"] = hold.into();
        }
        let stamp = self.epoch;
        self.keys
            .insert(key.to_owned(), Entry { value, stamp, hold });
        self.record(key, change);
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.record(key, json!({"delete": key, "stamp": self.epoch}));
        }
    }

    fn end_hold(&mut self, id: u64) -> bool {
        if self.holds.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.hold == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.epoch += 1;
            keys.iter().for_each(|key| self.delete(key));
        }
        true
    }

    fn item(key: &str, entry: &Entry) -> Value {
        let mut item = json!({"path": key, "v": entry.value, "stamp": entry.stamp});
        if let Some(hold) = entry.hold {
            item["hold"] = hold.into();
        }
        item
    }
}

/// A limit per second with bursts of one second's worth.
struct Rate {
    per_s: f64,
    level: f64,
    at_ms: u64,
}

impl Rate {
    fn new(per_s: f64) -> Self {
        Rate {
            per_s,
            level: per_s,
            at_ms: 0,
        }
    }

    fn take(&mut self, now: u64, amount: f64) -> bool {
        self.level = (self.level + (now.saturating_sub(self.at_ms)) as f64 / 1e3 * self.per_s)
            .min(self.per_s);
        self.at_ms = now;
        if self.level < amount {
            return false;
        }
        self.level -= amount;
        true
    }
}

pub struct StateService {
    clock: Clock,
    limits: RefCell<Limits>,
    store: RefCell<Store>,
    requests: RefCell<Rate>,
    writes: RefCell<Rate>,
    /// Every controller receives 503, and open watches wait.
    outage: Cell<bool>,
    /// These controllers alone receive 503.
    refused: RefCell<Vec<bool>>,
    changed: watch::Sender<()>,
    /// Transactions refused with 400, with the reason.
    pub invalid: RefCell<Vec<String>>,
}

impl StateService {
    pub fn new(clock: Clock, limits: Limits, nodes: usize) -> Rc<Self> {
        Rc::new(StateService {
            clock,
            requests: RefCell::new(Rate::new(limits.rps)),
            writes: RefCell::new(Rate::new(limits.write_rps)),
            limits: RefCell::new(limits),
            store: RefCell::default(),
            outage: Cell::new(false),
            refused: RefCell::new(vec![false; nodes]),
            changed: watch::Sender::new(()),
            invalid: RefCell::default(),
        })
    }

    /// Stores a value as an earlier life of the site has left it.
    pub fn preload(&self, key: &str, value: Value) {
        let mut store = self.store.borrow_mut();
        store.epoch += 1;
        let stamp = store.epoch;
        store.keys.insert(
            key.to_owned(),
            Entry {
                value,
                stamp,
                hold: None,
            },
        );
        store.forgotten_to = stamp;
    }

    pub fn keys_with(&self, prefix: &str) -> Vec<String> {
        let store = self.store.borrow();
        store
            .keys
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    pub fn value(&self, key: &str) -> Option<Value> {
        self.store
            .borrow()
            .keys
            .get(key)
            .map(|entry| entry.value.clone())
    }

    pub fn set_outage(&self, on: bool) {
        self.outage.set(on);
        if !on {
            let now = self.clock.ms();
            for hold in self.store.borrow_mut().holds.values_mut() {
                hold.ends_at = now + hold.life_ms;
            }
            self.changed.send_replace(());
        }
    }

    pub fn set_refused(&self, node: usize, on: bool) {
        self.refused.borrow_mut()[node] = on;
    }

    /// Ends leases that were not renewed; a lease may end 100 ms late.
    pub async fn maintain(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(40)).await;
            if self.outage.get() {
                continue;
            }
            let now = self.clock.ms();
            let mut store = self.store.borrow_mut();
            let over: Vec<u64> = store
                .holds
                .iter()
                .filter(|(_, hold)| hold.ends_at < now)
                .map(|(id, _)| *id)
                .collect();
            for id in over {
                store.end_hold(id);
                self.changed.send_replace(());
            }
        }
    }

    fn unavailable(&self, node: usize) -> bool {
        self.outage.get() || self.refused.borrow()[node]
    }

    pub async fn handle(self: Rc<Self>, node: usize, req: Req) -> Option<Resp> {
        tokio::time::sleep(self.limits.borrow().latency).await;
        if self.unavailable(node) {
            return json(503, json!({"error": "trouble"}));
        }
        let now = self.clock.ms();
        if !self.requests.borrow_mut().take(now, 1.0) {
            return json(429, json!({"error": "too many requests"}));
        }
        let path = req.path.clone();
        match (&req.method, path.as_str()) {
            (&Method::GET, "/store") => self.list(&req.query),
            (&Method::GET, "/changes") => self.watch(node, &req.query).await,
            (&Method::GET, path) => {
                let key = path.strip_prefix("/store/")?;
                let store = self.store.borrow();
                match store.keys.get(key) {
                    Some(entry) => json(200, Store::item(key, entry)),
                    None => json(404, json!({"epoch": store.epoch})),
                }
            }
            (&Method::POST, "/txn") => self.txn(now, &req.body),
            (&Method::POST, "/holds") => {
                let body: Value = serde_json::from_slice(&req.body).ok()?;
                let life_ms = body["life_ms"].as_u64()?;
                let mut store = self.store.borrow_mut();
                store.last_hold += 1;
                let id = store.last_hold;
                store.holds.insert(
                    id,
                    Hold {
                        life_ms,
                        ends_at: now + life_ms,
                    },
                );
                json(200, json!({"hold": id}))
            }
            (method, path) => {
                let rest = path.strip_prefix("/holds/")?;
                let id: u64 = rest.split('/').next()?.parse().ok()?;
                let mut store = self.store.borrow_mut();
                let known = if *method == Method::DELETE {
                    store.end_hold(id)
                } else {
                    store
                        .holds
                        .get_mut(&id)
                        .map(|hold| hold.ends_at = now + hold.life_ms)
                        .is_some()
                };
                self.changed.send_replace(());
                json(if known { 200 } else { 404 }, json!({}))
            }
        }
    }

    fn list(&self, query: &str) -> Option<Resp> {
        let prefix = field(query, "prefix")?;
        let after = field(query, "after").unwrap_or_default();
        let limit: usize = field(query, "limit")
            .and_then(|l| l.parse().ok())
            .unwrap_or(1000)
            .min(1000);
        let store = self.store.borrow();
        let mut pairs = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, entry) in store.keys.range(prefix.clone()..) {
            if !key.starts_with(&prefix) {
                break;
            }
            if !after.is_empty() && *key <= after {
                continue;
            }
            let item = Store::item(key, entry);
            let size = item.to_string().len() + 1;
            if pairs.len() >= limit || (!pairs.is_empty() && bytes + size > 512 * 1024) {
                more = true;
                break;
            }
            bytes += size;
            pairs.push(item);
        }
        json(
            200,
            json!({"pairs": pairs, "has_next": more, "epoch": store.epoch}),
        )
    }

    async fn watch(&self, node: usize, query: &str) -> Option<Resp> {
        let prefix = field(query, "prefix")?;
        let after: u64 = field(query, "after")?.parse().ok()?;
        let wait_ms: u64 = field(query, "wait_ms")
            .and_then(|w| w.parse().ok())
            .unwrap_or(0);
        let deadline = self.clock.ms() + wait_ms.min(60_000);
        let mut changed = self.changed.subscribe();
        loop {
            if !self.unavailable(node) {
                let store = self.store.borrow();
                if after < store.forgotten_to {
                    return json(410, json!({"error": "too old"}));
                }
                let log: Vec<Value> = store
                    .log
                    .iter()
                    .filter(|(epoch, _, key)| *epoch > after && key.starts_with(&prefix))
                    .map(|(_, change, _)| change.clone())
                    .collect();
                if !log.is_empty() || self.clock.ms() >= deadline {
                    return json(200, json!({"epoch": store.epoch, "log": log}));
                }
            }
            let left = deadline.saturating_sub(self.clock.ms()).clamp(10, 200);
            let _ = tokio::time::timeout(Duration::from_millis(left), changed.changed()).await;
        }
    }

    fn txn(&self, now: u64, body: &[u8]) -> Option<Resp> {
        let limits = self.limits.borrow().clone();
        let refuse = |why: String| {
            self.invalid.borrow_mut().push(why.clone());
            json(400, json!({"error": why}))
        };
        let Ok(txn) = serde_json::from_slice::<Value>(body) else {
            return refuse("malformed".into());
        };
        let empty = Vec::new();
        let conditions = txn["if"].as_array().unwrap_or(&empty);
        let writes = txn["writes"].as_array().unwrap_or(&empty);
        if body.len() > 64 * 1024 {
            return refuse(format!(
                "the transaction has {} bytes, more than 64 KiB",
                body.len()
            ));
        }
        if writes.len() > limits.txn_ops || conditions.len() > 4 * limits.txn_ops {
            return refuse(format!(
                "{} changes, {} conditions",
                writes.len(),
                conditions.len()
            ));
        }
        for write in writes {
            if write["put"].is_string() && write["v"].to_string().len() > limits.value_bytes {
                return refuse(format!("value of {} is too large", write["put"]));
            }
        }
        if !self.writes.borrow_mut().take(now, writes.len() as f64) {
            return json(429, json!({"error": "too many writes"}));
        }
        let mut store = self.store.borrow_mut();
        for write in writes {
            if let Some(hold) = write["hold"].as_u64() {
                if !store.holds.contains_key(&hold) {
                    return json(400, json!({"error": "no such lease"}));
                }
            }
        }
        let failed: Vec<&str> = conditions
            .iter()
            .filter_map(|condition| {
                let key = condition["path"].as_str()?;
                let stamp = store.keys.get(key).map_or(0, |entry| entry.stamp);
                (condition["stamp"].as_u64() != Some(stamp)).then_some(key)
            })
            .collect();
        if !failed.is_empty() {
            return json(409, json!({"failed": failed, "epoch": store.epoch}));
        }
        if !writes.is_empty() {
            store.epoch += 1;
            for write in writes {
                if let Some(key) = write["put"].as_str() {
                    store.put(key, write["v"].clone(), write["hold"].as_u64());
                } else if let Some(key) = write["delete"].as_str() {
                    store.delete(key);
                }
            }
            self.changed.send_replace(());
        }
        json(200, json!({"epoch": store.epoch}))
    }
}
