//! A simulated cloud: it rents, lists and releases machines as the cloud's API does.

use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use wire::cloud::{
    CloudReply, CloudRequest, ListedMachine, MachineList, MachineState, MachineType, MachineTypes,
    RentRequest,
};

/// A machine that was rented at some time; it stays listed here after its end.
#[derive(Debug, Clone)]
pub struct RentedMachine {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub rented_at: u64,
    /// When it has booted; none if it never does.
    pub boots_at: Option<u64>,
    /// When it was released or lost.
    pub gone_at: Option<u64>,
}

/// The simulated cloud.
#[derive(Debug)]
pub struct Cloud {
    pub machine_types: Vec<MachineType>,
    /// All machines that were ever rented, by name.
    pub machines: BTreeMap<String, RentedMachine>,
    /// Names of the machines rented by each request, by idempotency key.
    rented_by_key: HashMap<String, Vec<String>>,
    /// Most machines that may be rented at once, by zone and whether they are spot machines.
    capacity: BTreeMap<(String, bool), u32>,
    last_machine_number: u64,
    /// Typical age of the state that a list shows; it varies between half and twice this.
    list_lag_ms: u64,
    /// How machines boot that are rented from now on.
    pub boot_behavior: BootBehavior,
}

/// How long machines take to boot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BootBehavior {
    /// 2 to 8 s; 3 % of the machines never boot.
    #[default]
    Usual,
    /// No time: they have booted before the reply to the rental arrives.
    Early,
    /// 15 to 60 s.
    Late,
    /// As usual, but half of the machines never boot.
    Never,
    /// 1.5 to 2 s.
    Quick,
}

impl Cloud {
    /// A cloud with one small machine type, and capacity for this many on-demand and spot machines in each zone.
    pub fn new(zones: &[&str], on_demand: u32, spot: u32) -> Self {
        let mut capacity = BTreeMap::new();
        for zone in zones {
            capacity.insert(((*zone).to_owned(), false), on_demand);
            capacity.insert(((*zone).to_owned(), true), spot);
        }
        Cloud {
            machine_types: vec![MachineType {
                name: "m4".into(),
                cpus: 4.0,
                gpus: 0.0,
                memory_gb: 16.0,
                cache_gb: 40.0,
                fetch_gb_per_s: 1.0,
                price_per_hour: 0.2,
                spot_price_per_hour: 0.06,
                boot_s: 5.0,
                zones: zones.iter().map(|z| (*z).to_owned()).collect(),
            }],
            machines: BTreeMap::new(),
            rented_by_key: HashMap::new(),
            capacity,
            last_machine_number: 0,
            list_lag_ms: 6_000,
            boot_behavior: BootBehavior::Usual,
        }
    }

    fn rented_count(&self, zone: &str, spot: bool) -> u32 {
        let is_rented =
            |m: &&RentedMachine| m.gone_at.is_none() && m.zone == zone && m.spot == spot;
        self.machines.values().filter(is_rented).count() as u32
    }

    /// Executes a request; returns the reply and the names of the machines that it released.
    pub fn execute(
        &mut self,
        now: u64,
        request: &CloudRequest,
        rng: &mut SmallRng,
    ) -> (CloudReply, Vec<String>) {
        match request {
            CloudRequest::MachineTypes => (
                CloudReply::MachineTypes(MachineTypes {
                    types: self.machine_types.clone(),
                }),
                Vec::new(),
            ),
            CloudRequest::Rent(rent) => (self.rent(now, rent, rng), Vec::new()),
            CloudRequest::Release(names) => (CloudReply::Released, self.release(now, names)),
            CloudRequest::ListMachines { after, limit } => {
                let lag = rng.random_range(self.list_lag_ms / 2..self.list_lag_ms * 2);
                let seen_at = now.saturating_sub(lag);
                (
                    CloudReply::MachineList(self.list(seen_at, after, *limit as usize)),
                    Vec::new(),
                )
            }
        }
    }

    /// Rents machines; a repeated request, one with the same idempotency key, returns the same machines.
    fn rent(&mut self, now: u64, rent: &RentRequest, rng: &mut SmallRng) -> CloudReply {
        if let Some(names) = self.rented_by_key.get(&rent.idempotency_key) {
            return CloudReply::Rented(names.clone());
        }
        let limit = self
            .capacity
            .get(&(rent.zone.clone(), rent.spot))
            .copied()
            .unwrap_or(0);
        let free = limit.saturating_sub(self.rented_count(&rent.zone, rent.spot));
        let count = free.min(rent.count);
        if count == 0 {
            return CloudReply::NoCapacity;
        }
        let names: Vec<String> = (0..count).map(|_| self.rent_one(now, rent, rng)).collect();
        self.rented_by_key
            .insert(rent.idempotency_key.clone(), names.clone());
        CloudReply::Rented(names)
    }

    fn rent_one(&mut self, now: u64, rent: &RentRequest, rng: &mut SmallRng) -> String {
        self.last_machine_number += 1;
        let name = format!("host-{:06}", self.last_machine_number);
        let never_boots = rng.random_bool(match self.boot_behavior {
            BootBehavior::Never => 0.5,
            _ => 0.03,
        });
        let boot_time = match self.boot_behavior {
            BootBehavior::Early => 0,
            BootBehavior::Late => rng.random_range(15_000..60_000),
            BootBehavior::Quick => rng.random_range(1_500..2_000),
            _ => rng.random_range(2_000..8_000),
        };
        let machine = RentedMachine {
            machine_type: rent.machine_type.clone(),
            zone: rent.zone.clone(),
            spot: rent.spot,
            rented_at: now,
            boots_at: (!never_boots).then_some(now + boot_time),
            gone_at: None,
        };
        self.machines.insert(name.clone(), machine);
        name
    }

    /// Releases machines; returns those that had not been released or lost before.
    fn release(&mut self, now: u64, names: &[String]) -> Vec<String> {
        let mut released = Vec::new();
        for name in names {
            if let Some(machine) = self.machines.get_mut(name) {
                if machine.gone_at.is_none() {
                    machine.gone_at = Some(now);
                    released.push(name.clone());
                }
            }
        }
        released
    }

    /// A page of the machines that were rented at `seen_at`, with their state at that time.
    fn list(&self, seen_at: u64, after: &str, limit: usize) -> MachineList {
        let mut machines: Vec<ListedMachine> = self
            .machines
            .iter()
            .filter(|(name, m)| {
                name.as_str() > after
                    && m.rented_at <= seen_at
                    && m.gone_at.is_none_or(|at| at > seen_at)
            })
            .map(|(name, m)| ListedMachine {
                name: name.clone(),
                address: format!("{name}:9000"),
                machine_type: m.machine_type.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                state: if m.boots_at.is_some_and(|at| at <= seen_at) {
                    MachineState::Running
                } else {
                    MachineState::Booting
                },
                age_s: (seen_at - m.rented_at) as f64 / 1000.0,
            })
            .collect();
        let has_more = machines.len() > limit;
        machines.truncate(limit);
        MachineList { machines, has_more }
    }
}
