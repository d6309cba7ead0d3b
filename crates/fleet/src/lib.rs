//! Which machines to rent, to shift between partitions and to return.
//!
//! A pure plan: the leader hands in what it knows and gets back what is to be done.

use model::{MachineName, PartitionId, Resources, Span, ZoneName};
use std::collections::{BTreeMap, HashMap};
use wire::cloud::MachineType;
use wire::mesh::DemandShape;

/// What operators may tune.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetPolicy {
    /// Time in which waiting array work should be worked off; sizes the rentals for it.
    pub horizon: Span,
    /// How long an ordinary machine may be idle before it is returned.
    pub keep_idle: Span,
    /// The least time that is paid for anyway: younger machines are kept.
    pub paid: Span,
    /// Idle time after which a machine may be shifted to a partition that needs it.
    pub shift_idle: Span,
    /// Machines shifted at one time.
    pub shift_count: usize,
    /// An empty machine that has been silent for longer is returned.
    pub silent: Span,
    /// A booting machine is counted on for so many times its boot time.
    pub boot_trust: f64,
    /// A machine that has not reported after so many times its boot time is given up.
    pub boot_patience: u64,
}

impl Default for FleetPolicy {
    fn default() -> Self {
        FleetPolicy {
            horizon: Span(45_000),
            keep_idle: Span(8_000),
            paid: Span(55_000),
            shift_idle: Span(1_000),
            shift_count: 4,
            silent: Span(15_000),
            boot_trust: 1.6,
            boot_patience: 3,
        }
    }
}

/// A machine as the leader knows it.
#[derive(Debug, Clone)]
pub struct FleetMachine {
    pub name: MachineName,
    pub machine_type: String,
    pub zone: ZoneName,
    pub spot: bool,
    pub partition: PartitionId,
    /// Its worker reports to the holder.
    pub up: bool,
    pub tasks: u32,
    pub idle: Span,
    pub faulty: bool,
    pub leaving: bool,
    pub age: Span,
    /// How long it has been silent, once it has reported.
    pub silent: Span,
    /// The cloud says that it has stopped of its own accord.
    pub failed: bool,
    /// Whether the holder's view of it is fresh.
    pub known: bool,
}

/// A partition's wishes.
#[derive(Debug, Clone)]
pub struct PartitionNeed {
    pub partition: PartitionId,
    pub home_zone: ZoneName,
    pub demand: Vec<DemandShape>,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetAction {
    Rent { machine_type: String, zone: ZoneName, spot: bool, count: u32, partition: PartitionId },
    Shift { machine: MachineName, to: PartitionId },
    Return { machine: MachineName },
}

/// A kind of machine that can be asked for.
pub type Offer = (String, ZoneName, bool);

fn size_of(kind: &MachineType) -> Resources {
    Resources::offered(kind.cpus, kind.gpus, kind.memory_gb)
}

fn needs_of(shape: &DemandShape) -> Resources {
    Resources {
        milli_cpus: shape.milli_cpus,
        milli_gpus: shape.milli_gpus,
        memory_mb: shape.memory_mb,
    }
}

fn suits(shape: &DemandShape, machine_type: &str, zone: &str, spot: bool) -> bool {
    (shape.spot || !spot)
        && shape.zone.as_deref().is_none_or(|z| z == zone)
        && shape.types.as_ref().is_none_or(|t| t.iter().any(|name| name == machine_type))
}

/// Room that is about to be there: machines that boot.
struct Coming {
    machine_type: String,
    zone: ZoneName,
    spot: bool,
    room: Resources,
    /// Array work it can still take within the horizon, in CPU milliseconds per mille.
    work: u64,
}

/// Makes the plan. `refused` holds offers that were refused lately and are not asked again.
pub fn plan(
    policy: &FleetPolicy,
    types: &[MachineType],
    machines: &[FleetMachine],
    needs: &[PartitionNeed],
    refused: &HashMap<Offer, u32>,
) -> Vec<FleetAction> {
    let mut actions = Vec::new();
    let sizes: HashMap<&str, &MachineType> = types.iter().map(|t| (t.name.as_str(), t)).collect();
    let mut idle: Vec<&FleetMachine> = machines
        .iter()
        .filter(|m| m.known && m.up && m.tasks == 0 && !m.leaving && !m.faulty)
        .collect();
    idle.sort_by_key(|m| std::cmp::Reverse(m.idle));
    let mut shifted = 0;
    for need in needs {
        let mut coming: Vec<Coming> = machines
            .iter()
            .filter(|m| m.partition == need.partition && !m.up && !m.leaving && !m.faulty)
            .filter_map(|m| {
                let kind = sizes.get(m.machine_type.as_str())?;
                // A machine that is late may never come: work must not wait for it.
                let trusted = Span::from_secs(kind.boot_s * policy.boot_trust) + Span(2_000);
                (m.age <= trusted).then(|| coming_from(policy, m, kind))
            })
            .collect();
        let mut rent: BTreeMap<(String, ZoneName, bool), u32> = BTreeMap::new();
        for shape in &need.demand {
            let per = needs_of(shape);
            let service = shape.estimate_ms == 0;
            let mut waiting = shape.tasks;
            let work_each = shape.estimate_ms.max(1_000) * shape.milli_cpus.max(1) / 1000;
            for c in &mut coming {
                if !suits(shape, &c.machine_type, c.zone.as_str(), c.spot) {
                    continue;
                }
                waiting -= take(c, &per, waiting, service, work_each);
            }
            while waiting > 0 {
                // An idle machine of a partition that has no use for it comes first.
                let spare = idle.iter().position(|m| {
                    m.partition != need.partition
                        && m.idle >= policy.shift_idle
                        && suits(shape, &m.machine_type, m.zone.as_str(), m.spot)
                        && sizes.get(m.machine_type.as_str()).is_some_and(|t| per.fits(&size_of(t)))
                        && !needs.iter().any(|n| n.partition == m.partition && !n.demand.is_empty())
                });
                if let (Some(at), true) = (spare, shifted < policy.shift_count) {
                    let machine = idle.remove(at);
                    shifted += 1;
                    actions.push(FleetAction::Shift {
                        machine: machine.name.clone(),
                        to: need.partition,
                    });
                    if let Some(t) = sizes.get(machine.machine_type.as_str()) {
                        let mut c = coming_from(policy, machine, t);
                        waiting -= take(&mut c, &per, waiting, service, work_each);
                        coming.push(c);
                        continue;
                    }
                }
                let Some((kind, zone, spot)) =
                    choose_offer(types, shape, &need.home_zone, refused, &rent)
                else {
                    break;
                };
                let mut c = Coming {
                    machine_type: kind.name.clone(),
                    zone: zone.clone(),
                    spot,
                    room: size_of(kind),
                    work: work_of(policy, kind),
                };
                let taken = take(&mut c, &per, waiting, service, work_each);
                if taken == 0 {
                    break;
                }
                waiting -= taken;
                coming.push(c);
                *rent.entry((kind.name.clone(), zone, spot)).or_default() += 1;
            }
        }
        for ((machine_type, zone, spot), count) in rent {
            actions.push(FleetAction::Rent {
                machine_type,
                zone,
                spot,
                count: count.min(50),
                partition: need.partition,
            });
        }
    }
    for machine in machines {
        let boot = sizes
            .get(machine.machine_type.as_str())
            .map_or(Span(60_000), |t| Span::from_secs(t.boot_s));
        let never_came = !machine.up && machine.age > boot * policy.boot_patience + Span(10_000);
        let done_with = machine.tasks == 0
            && (machine.faulty || machine.failed || machine.silent >= policy.silent);
        let surplus = idle.iter().any(|m| m.name == machine.name)
            && machine.idle >= policy.keep_idle
            && machine.age >= policy.paid;
        if machine.known && !machine.leaving && (never_came || done_with || surplus) {
            actions.push(FleetAction::Return { machine: machine.name.clone() });
        }
    }
    actions
}

fn work_of(policy: &FleetPolicy, kind: &MachineType) -> u64 {
    (kind.cpus * policy.horizon.0 as f64) as u64
}

fn coming_from(policy: &FleetPolicy, machine: &FleetMachine, kind: &MachineType) -> Coming {
    Coming {
        machine_type: machine.machine_type.clone(),
        zone: machine.zone.clone(),
        spot: machine.spot,
        room: size_of(kind),
        work: work_of(policy, kind),
    }
}

/// Lets a coming machine take tasks: services by room, array work by what it can work off
/// within the horizon (at least one task a slot). Returns how many it takes.
fn take(c: &mut Coming, per: &Resources, waiting: u64, service: bool, work_each: u64) -> u64 {
    if waiting == 0 || !per.fits(&c.room) {
        return 0;
    }
    let slots = c.room.holds(per);
    if service {
        let taken = slots.min(waiting);
        c.room -= per.times(taken);
        return taken;
    }
    if c.work == 0 {
        return 0;
    }
    let taken = (c.work / work_each.max(1)).max(slots).min(waiting);
    c.work = c.work.saturating_sub(taken * work_each);
    taken
}

/// The cheapest offer per task, the home zone first among equals.
fn choose_offer<'a>(
    types: &'a [MachineType],
    shape: &DemandShape,
    home: &ZoneName,
    refused: &HashMap<Offer, u32>,
    asked: &BTreeMap<(String, ZoneName, bool), u32>,
) -> Option<(&'a MachineType, ZoneName, bool)> {
    let per = needs_of(shape);
    let mut best: Option<(f64, &MachineType, ZoneName, bool)> = None;
    for kind in types {
        let slots = size_of(kind).holds(&per);
        if slots == 0 {
            continue;
        }
        for (zone, spot) in kind.zones.iter().flat_map(|z| [(z, true), (z, false)]) {
            if !suits(shape, &kind.name, zone, spot) {
                continue;
            }
            let offer = (kind.name.clone(), ZoneName::from(zone.as_str()), spot);
            let left = refused.get(&offer).copied().unwrap_or(u32::MAX);
            if asked.get(&offer).copied().unwrap_or(0) >= left {
                continue;
            }
            let price = if spot { kind.spot_price } else { kind.price };
            // Nearness to the holder is worth a little, never as much as a cheap offer.
            let away = if offer.1 == *home { 1.0 } else { 1.05 };
            let cost = price * away / slots.min(1_000_000) as f64;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, kind, offer.1, spot));
            }
        }
    }
    best.map(|(_, kind, zone, spot)| (kind, zone, spot))
}
