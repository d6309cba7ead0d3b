//! A stand-in for the cloud, as "Controller nodes -> cloud" in PROTOCOL describes it.

use crate::http::{field, json, Req, Resp};
use crate::worker::{Fleet, Worker};
use crate::Clock;
use hyper::Method;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone)]
pub struct MachineType {
    pub label: &'static str,
    pub vcpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
    pub local_gb: f64,
    pub fetch_gb_per_s: f64,
    pub hourly: f64,
    pub market_price: f64,
    pub ready_s: f64,
}

/// Machines that can be rented: type, zone, spot or not, how many.
pub type Capacity = BTreeMap<(String, String, bool), u32>;

struct Host {
    rig: String,
    yard: String,
    spot: bool,
    rented_at: u64,
    up_at: u64,
    address: String,
    gone_at: Option<u64>,
}

pub struct Cloud {
    clock: Clock,
    types: Vec<MachineType>,
    yards: Vec<String>,
    capacity: Capacity,
    list_lag_ms: u64,
    /// Time until a machine is up.
    pub boot_ms: Cell<u64>,
    hosts: RefCell<BTreeMap<String, Host>>,
    asks: RefCell<BTreeMap<String, Vec<String>>>,
    fleet: Rc<Fleet>,
    pub outage: Cell<bool>,
    level: Cell<(f64, u64)>,
    rps: f64,
}

impl Cloud {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        clock: Clock,
        types: Vec<MachineType>,
        yards: Vec<String>,
        capacity: Capacity,
        list_lag_s: f64,
        rps: f64,
        boot_ms: u64,
        fleet: Rc<Fleet>,
    ) -> Rc<Self> {
        Rc::new(Cloud {
            clock,
            types,
            yards,
            capacity,
            list_lag_ms: (list_lag_s * 1e3) as u64,
            boot_ms: Cell::new(boot_ms),
            hosts: RefCell::default(),
            asks: RefCell::default(),
            fleet,
            outage: Cell::new(false),
            level: Cell::new((rps * 2.0, 0)),
            rps,
        })
    }

    fn type_of(&self, label: &str) -> Option<&MachineType> {
        self.types.iter().find(|known| known.label == label)
    }

    fn allow(&self, now: u64) -> bool {
        let (level, at) = self.level.get();
        let level = (level + (now - at) as f64 / 1e3 * self.rps).min(self.rps * 2.0);
        self.level
            .set((if level >= 1.0 { level - 1.0 } else { level }, now));
        level >= 1.0
    }

    pub async fn handle(self: Rc<Self>, req: Req) -> Option<Resp> {
        tokio::time::sleep(Duration::from_millis(60)).await;
        let now = self.clock.ms();
        if self.outage.get() {
            return json(503, json!({"error": "trouble"}));
        }
        if !self.allow(now) {
            return json(429, json!({"error": "too many requests"}));
        }
        match (&req.method, req.path.as_str()) {
            (&Method::GET, "/machine_types") => {
                let rigs: Vec<Value> = self
                    .types
                    .iter()
                    .map(|t| {
                        json!({"label": t.label, "vcpus": t.vcpus, "gpus": t.gpus, "ram_gb": t.ram_gb,
                            "local_gb": t.local_gb, "fetch_gb_per_s": t.fetch_gb_per_s, "hourly": t.hourly,
                            "market_price": t.market_price, "ready_s": t.ready_s, "yards": self.yards})
                    })
                    .collect();
                json(200, json!({"rigs": rigs}))
            }
            (&Method::POST, "/hosts") => self.rent(now, &req.body).await,
            (&Method::POST, "/hosts/release") => {
                let body: Value = serde_json::from_slice(&req.body).ok()?;
                for name in body["hosts"].as_array()? {
                    self.end(name.as_str()?, now);
                }
                json(200, json!({}))
            }
            (&Method::GET, "/hosts") => self.list(now, &req.query),
            _ => json(400, json!({"error": "malformed"})),
        }
    }

    /// The machine and everything on it are gone.
    pub fn end(&self, name: &str, now: u64) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(name) {
            host.gone_at.get_or_insert(now);
        }
        self.fleet.remove(name);
    }

    async fn rent(&self, now: u64, body: &[u8]) -> Option<Resp> {
        let body: Value = serde_json::from_slice(body).ok()?;
        let ask = body["ask"].as_str()?.to_owned();
        if let Some(names) = self.asks.borrow().get(&ask) {
            return json(200, json!({"hosts": names}));
        }
        let (rig, yard) = (
            body["rig"].as_str()?.to_owned(),
            body["yard"].as_str()?.to_owned(),
        );
        let spot = body["loaners"].as_bool()?;
        let wanted = body["how_many"].as_u64()?.min(50) as u32;
        let used = self
            .hosts
            .borrow()
            .values()
            .filter(|h| h.gone_at.is_none() && h.rig == rig && h.yard == yard && h.spot == spot)
            .count() as u32;
        let capacity = self
            .capacity
            .get(&(rig.clone(), yard.clone(), spot))
            .copied()
            .unwrap_or(0);
        let count = wanted.min(capacity.saturating_sub(used));
        if count == 0 {
            return json(503, json!({"error": "no capacity"}));
        }
        let kind = self.type_of(&rig)?.clone();
        let mut names = Vec::new();
        for _ in 0..count {
            let name = format!("host-{:06}", self.hosts.borrow().len() + 1);
            let up_at = now + self.boot_ms.get();
            let address = Worker::start(&self.fleet, &name, &kind, &yard, spot, up_at).await?;
            let host = Host {
                rig: rig.clone(),
                yard: yard.clone(),
                spot,
                rented_at: now,
                up_at,
                address,
                gone_at: None,
            };
            self.hosts.borrow_mut().insert(name.clone(), host);
            names.push(name);
        }
        self.asks.borrow_mut().insert(ask, names.clone());
        json(200, json!({"hosts": names}))
    }

    fn list(&self, now: u64, query: &str) -> Option<Resp> {
        let after = field(query, "after").unwrap_or_default();
        let limit: usize = field(query, "limit")
            .and_then(|l| l.parse().ok())
            .unwrap_or(500)
            .min(500);
        let seen = now.saturating_sub(self.list_lag_ms);
        let hosts = self.hosts.borrow();
        let mut listed: Vec<Value> = hosts
            .iter()
            .filter(|(name, h)| **name > after && h.rented_at <= seen && h.gone_at.is_none_or(|at| at > seen))
            .map(|(name, h)| {
                json!({"id": name, "address": h.address, "rig": h.rig, "yard": h.yard, "loaners": h.spot,
                    "status": if h.up_at <= seen { "running" } else { "starting" },
                    "held_s": (seen - h.rented_at) as f64 / 1e3})
            })
            .collect();
        let more = listed.len() > limit;
        listed.truncate(limit);
        json(200, json!({"hosts": listed, "has_next": more}))
    }
}
