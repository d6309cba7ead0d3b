//! Stand-in of the cloud.

use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::{BTreeMap, HashMap};
use wire::cloud::{
    CloudReply, CloudRequest, ListedMachine, MachineList, MachineState, MachineType, MachineTypes,
    RentRequest,
};

/// A rented machine.
#[derive(Debug, Clone)]
pub struct RentedMachine {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub rented_at: u64,
    pub boots_at: Option<u64>,
    pub gone_at: Option<u64>,
}

/// The cloud.
#[derive(Debug)]
pub struct Cloud {
    pub machine_types: Vec<MachineType>,
    pub machines: BTreeMap<String, RentedMachine>,
    requests: HashMap<String, Vec<String>>,
    capacity: BTreeMap<(String, bool), u32>,
    next: u64,
    lag: u64,
    /// How machines that are rented now come up.
    pub boot_behavior: BootBehavior,
}

/// How machines come up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BootBehavior {
    #[default]
    Usual,
    /// Before the answer to their rental.
    Early,
    /// After several times the usual time.
    Late,
    /// Half of them not at all.
    Never,
    /// Within 1.5 to 2 s.
    Quick,
}

impl Cloud {
    /// A cloud with one small type, this many ordinary and spot ones in each zone.
    pub fn new(zones: &[&str], ordinary: u32, cheap: u32) -> Self {
        let mut capacity = BTreeMap::new();
        for zone in zones {
            capacity.insert(((*zone).to_owned(), false), ordinary);
            capacity.insert(((*zone).to_owned(), true), cheap);
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
            requests: HashMap::new(),
            capacity,
            next: 0,
            lag: 6_000,
            boot_behavior: BootBehavior::Usual,
        }
    }

    fn used(&self, zone: &str, spot: bool) -> u32 {
        let lives = |m: &&RentedMachine| m.gone_at.is_none() && m.zone == zone && m.spot == spot;
        self.machines.values().filter(lives).count() as u32
    }

    /// Executes a request; returns it with the machines released.
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
                let seen_at = now.saturating_sub(rng.random_range(self.lag / 2..self.lag * 2));
                (
                    CloudReply::MachineList(self.list(seen_at, after, *limit as usize)),
                    Vec::new(),
                )
            }
        }
    }

    /// Rents machines; a repeated request returns the same ones.
    fn rent(&mut self, now: u64, rent: &RentRequest, rng: &mut SmallRng) -> CloudReply {
        if let Some(names) = self.requests.get(&rent.idempotency_key) {
            return CloudReply::Rented(names.clone());
        }
        let limit = self
            .capacity
            .get(&(rent.zone.clone(), rent.spot))
            .copied()
            .unwrap_or(0);
        let free = limit.saturating_sub(self.used(&rent.zone, rent.spot));
        let count = free.min(rent.count);
        if count == 0 {
            return CloudReply::NoCapacity;
        }
        let names: Vec<String> = (0..count).map(|_| self.rent_one(now, rent, rng)).collect();
        self.requests
            .insert(rent.idempotency_key.clone(), names.clone());
        CloudReply::Rented(names)
    }

    fn rent_one(&mut self, now: u64, rent: &RentRequest, rng: &mut SmallRng) -> String {
        self.next += 1;
        let name = format!("host-{:06}", self.next);
        let never = rng.random_bool(match self.boot_behavior {
            BootBehavior::Never => 0.5,
            _ => 0.03,
        });
        let boot = match self.boot_behavior {
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
            boots_at: (!never).then_some(now + boot),
            gone_at: None,
        };
        self.machines.insert(name.clone(), machine);
        name
    }

    /// Releases machines; returns those that were not gone before.
    fn release(&mut self, now: u64, names: &[String]) -> Vec<String> {
        let mut gone = Vec::new();
        for name in names {
            if let Some(machine) = self.machines.get_mut(name) {
                if machine.gone_at.is_none() {
                    machine.gone_at = Some(now);
                    gone.push(name.clone());
                }
            }
        }
        gone
    }

    /// A page of the machines as they were at a time.
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
        let more = machines.len() > limit;
        machines.truncate(limit);
        MachineList {
            machines,
            has_more: more,
        }
    }
}
