//! Which machines to rent, to shift between partitions and to return.
//!
//! A pure plan: the leader hands in what it knows and gets back what is to be done.

use model::{MachineName, PartitionId, Resources, Span, ZoneName};
use std::collections::{BTreeMap, HashMap, HashSet};
use wire::cloud::MachineType;
use wire::mesh::DemandShape;
use wire::users::Priority;

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
            keep_idle: Span(20_000),
            paid: Span(55_000),
            shift_idle: Span(1_000),
            shift_count: 16,
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
    /// How long its holder could have heard it: since it came into the partition, or the holder
    /// took that over. Until then that it is not up says nothing against it.
    pub since: Span,
    /// How long it has been silent, once it has reported.
    pub silent: Span,
    /// The cloud says that it has stopped of its own accord.
    pub failed: bool,
    /// Whether the holder's view of it is fresh.
    pub known: bool,
    /// It runs nothing that its partition's teams are guaranteed, and no replicas.
    pub cedable: bool,
    /// All that runs on it is best-effort work, which leaves within seconds when asked.
    pub best_effort: bool,
    /// Its holder hands it to this partition as soon as it is empty.
    pub ceding: Option<PartitionId>,
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
    Rent {
        machine_type: String,
        zone: ZoneName,
        spot: bool,
        count: u32,
        partition: PartitionId,
    },
    Shift {
        machine: MachineName,
        to: PartitionId,
    },
    /// A holder should hand over so many machines that suit the shape, in all, as they empty.
    Cede {
        from: PartitionId,
        to: PartitionId,
        shape: DemandShape,
        count: u32,
    },
    Return {
        machine: MachineName,
    },
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

/// Machines asked for in one call, or ceded for one shape, at most.
const MOST_AT_ONCE: u32 = 50;
/// Machines by which partitions may differ in what they run beyond guarantees, besides a quarter:
/// one that changes hands is idle for a few seconds.
const CEDE_SLACK: i64 = 3;

/// Room that is about to be there: machines that boot or change hands.
struct Coming {
    machine_type: String,
    zone: ZoneName,
    spot: bool,
    room: Resources,
    /// What is left of its time within the horizon, in millionths.
    work: u64,
}

/// All of a machine's time within the horizon.
const ALL_WORK: u64 = 1_000_000;

/// Waiting work of one shape in one partition.
struct Want<'a> {
    need: usize,
    shape: &'a DemandShape,
    per: Resources,
    /// It takes room for as long as it lasts (services), or all at one time (gangs, and what goes before
    /// waiting services).
    whole: bool,
    /// Time of a task.
    time: u64,
    /// Types of machines that it is planned for.
    types: Vec<&'a str>,
    /// The only zone for it.
    zone: Option<String>,
    /// Tasks for which there is no room yet.
    waiting: u64,
    /// No machine can be had for it at present.
    stuck: bool,
    /// Others have no idle machine for it, and none with best-effort work only.
    nothing_idle: bool,
    nothing_lent: bool,
}

/// What is planned for together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Tier {
    Urgent,
    Regular,
    BestEffort,
}

/// The plan while it is made.
struct Planner<'a> {
    policy: &'a FleetPolicy,
    types: &'a [MachineType],
    machines: &'a [FleetMachine],
    needs: &'a [PartitionNeed],
    refused: &'a HashMap<Offer, u32>,
    idle: Vec<&'a FleetMachine>,
    /// Machines with best-effort work only.
    lent: Vec<&'a FleetMachine>,
    /// Machines that one partition is to hand to another as they empty, in all.
    given: BTreeMap<(PartitionId, PartitionId), u32>,
    shifted: usize,
    /// Machines asked for: in all by offer, and by partition.
    asked: BTreeMap<Offer, u32>,
    /// Types that gangs wait for, and whether cheap ones are of use to them: in whatever zone they are,
    /// they are left to them by what can run on others.
    for_gangs: Vec<(&'a str, bool)>,
    rent: BTreeMap<(usize, Offer), u32>,
    coming: Vec<Vec<Coming>>,
    actions: Vec<FleetAction>,
}

/// Makes the plan. `refused` holds offers that were refused lately and are not asked again.
///
/// What is urgent (replicas, work inside a guarantee) comes first in all partitions; then each
/// gets one machine in turn for the rest, so that whoever is planned for first does not take
/// all there is. Best-effort work comes last, only cheap machines are rented for it, and those
/// that run nothing else go to partitions with other work before any is rented. When no more machines can be had, partitions that run work beyond their teams'
/// guarantees cede machines: as many as others lack for what is urgent, and for the rest until
/// all have about as many for such work.
pub fn plan(
    policy: &FleetPolicy,
    types: &[MachineType],
    machines: &[FleetMachine],
    needs: &[PartitionNeed],
    refused: &HashMap<Offer, u32>,
) -> Vec<FleetAction> {
    let mut planner = Planner::new(policy, types, machines, needs, refused);
    for tier in [Tier::Urgent, Tier::Regular, Tier::BestEffort] {
        let mut wants = planner.wants(tier);
        for want in &mut wants {
            planner.absorb(want);
            planner.choose_zone(want);
        }
        // What few kinds of machines suit goes first: what can go elsewhere would take them.
        wants.sort_by_key(|want| want.choices());
        for alike in wants.chunk_by_mut(|a, b| a.choices() == b.choices()) {
            while alike.iter().any(|w| w.waiting > 0 && !w.stuck) {
                for want in alike.iter_mut().filter(|w| w.waiting > 0 && !w.stuck) {
                    want.stuck = !planner.one_machine(want, tier);
                }
            }
        }
        if tier != Tier::BestEffort {
            planner.cede(&wants, tier == Tier::Urgent);
        }
    }
    planner.returns();
    let mut actions = planner.actions;
    for ((need, (machine_type, zone, spot)), count) in planner.rent {
        let partition = needs[need].partition;
        let count = count.min(MOST_AT_ONCE);
        actions.push(FleetAction::Rent { machine_type, zone, spot, count, partition });
    }
    actions
}

impl Want<'_> {
    /// Whether the work is planned for machines of this type and kind in this zone.
    fn suits(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.types.contains(&machine_type)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && (self.shape.spot || !spot)
    }

    /// Of how many types and kinds its machines may be.
    fn choices(&self) -> usize {
        self.types.len() * if self.shape.spot { 2 } else { 1 }
    }

    /// Its shape with the types and the zone that it is planned for.
    fn planned(&self) -> DemandShape {
        let types = self.types.iter().map(|t| (*t).to_owned()).collect();
        DemandShape { types: Some(types), zone: self.zone.clone(), ..self.shape.clone() }
    }
}

impl<'a> Planner<'a> {
    fn new(
        policy: &'a FleetPolicy,
        types: &'a [MachineType],
        machines: &'a [FleetMachine],
        needs: &'a [PartitionNeed],
        refused: &'a HashMap<Offer, u32>,
    ) -> Self {
        let mut idle: Vec<&FleetMachine> = machines
            .iter()
            .filter(|m| m.known && m.up && m.tasks == 0 && !m.leaving && !m.faulty)
            .filter(|m| m.ceding.is_none())
            .collect();
        idle.sort_by_key(|m| std::cmp::Reverse(m.idle));
        let mut planner = Planner {
            policy,
            types,
            machines,
            needs,
            refused,
            idle,
            lent: machines
                .iter()
                .filter(|m| m.known && m.up && m.best_effort && !m.leaving && !m.faulty)
                .filter(|m| m.ceding.is_none())
                .collect(),
            given: BTreeMap::new(),
            shifted: 0,
            asked: BTreeMap::new(),
            for_gangs: Vec::new(),
            rent: BTreeMap::new(),
            coming: Vec::new(),
            actions: Vec::new(),
        };
        let gangs = needs.iter().flat_map(|need| &need.demand).filter(|shape| shape.gang > 0);
        planner.for_gangs = gangs
            .flat_map(|shape| planner.types_for(shape).into_iter().map(|t| (t, shape.spot)))
            .collect();
        planner.coming = needs.iter().map(|need| planner.coming_to(need.partition)).collect();
        planner
    }

    fn kind(&self, name: &str) -> Option<&'a MachineType> {
        self.types.iter().find(|t| t.name == name)
    }

    /// Machines that boot or are being handed over.
    fn coming_to(&self, partition: PartitionId) -> Vec<Coming> {
        self.machines
            .iter()
            .filter(|m| !m.leaving && !m.faulty)
            .filter_map(|m| {
                let kind = self.kind(&m.machine_type)?;
                // A machine that is late may never come: work must not wait for it.
                let trusted = Span::from_secs(kind.boot_s * self.policy.boot_trust) + Span(2_000);
                // What runs there takes room that we know nothing of.
                let boots = m.partition == partition && !m.up && m.tasks == 0 && m.since <= trusted;
                (boots || m.ceding == Some(partition)).then(|| coming_from(m, kind))
            })
            .collect()
    }

    fn wants(&self, tier: Tier) -> Vec<Want<'a>> {
        let mut wants = Vec::new();
        for (need, wishes) in self.needs.iter().enumerate() {
            for shape in &wishes.demand {
                let best_effort = shape.priority == Priority::Low && shape.estimate_ms > 0;
                let waiting = match tier {
                    Tier::Urgent => shape.urgent,
                    Tier::Regular if best_effort => 0,
                    Tier::BestEffort if !best_effort => 0,
                    _ => shape.tasks.saturating_sub(shape.urgent),
                };
                wants.push(Want {
                    need,
                    shape,
                    per: needs_of(shape),
                    whole: shape.estimate_ms == 0
                        || shape.gang > 0
                        || (tier == Tier::Urgent && self.goes_before_replicas(shape, wishes)),
                    time: shape.estimate_ms.max(1_000),
                    types: self.types_for(shape),
                    zone: shape.zone.clone(),
                    waiting,
                    stuck: false,
                    nothing_idle: false,
                    nothing_lent: tier == Tier::BestEffort,
                });
            }
        }
        wants
    }

    /// Whether guaranteed array work would take the places that are rented for waiting replicas of its
    /// partition, since it goes before them in the order. Worked off within the horizon, it would keep
    /// them waiting for as long.
    fn goes_before_replicas(&self, shape: &DemandShape, wishes: &PartitionNeed) -> bool {
        let types = self.types_for(shape);
        wishes.demand.iter().any(|replicas| {
            let zones = (&shape.zone, &replicas.zone);
            replicas.estimate_ms == 0
                && replicas.urgent > 0
                && replicas.priority <= shape.priority
                && (zones.0.is_none() || zones.1.is_none() || zones.0 == zones.1)
                && self.types_for(replicas).iter().any(|name| types.contains(name))
        })
    }

    /// Types of machines that are counted on for a shape: of those that hold a task, such without GPUs
    /// if it needs none. Machines with GPUs cost a hundred times as much; what needs none runs there
    /// in what is left over, but is no reason to rent or keep one.
    fn types_for(&self, shape: &DemandShape) -> Vec<&'a str> {
        let per = needs_of(shape);
        let holds = |t: &&MachineType| {
            let listed = shape.types.as_ref().is_none_or(|types| types.contains(&t.name));
            let zone = shape.zone.as_ref().filter(|_| shape.gang == 0);
            listed && zone.is_none_or(|zone| t.zones.contains(zone)) && per.fits(&size_of(t))
        };
        let plain = |t: &&MachineType| per.milli_gpus > 0 || t.gpus == 0.0;
        let all = || self.types.iter().filter(holds);
        let some: Vec<&str> = all().filter(plain).map(|t| t.name.as_str()).collect();
        if some.is_empty() {
            return all().map(|t| t.name.as_str()).collect();
        }
        some
    }

    /// Whether the machine's own partition waits for such a machine.
    fn is_wanted(&self, machine: &FleetMachine) -> bool {
        let own = self.needs.iter().filter(|need| need.partition == machine.partition);
        own.flat_map(|need| &need.demand).any(|shape| {
            shape.suits(&machine.machine_type, machine.zone.as_str(), machine.spot)
                && self.types_for(shape).contains(&machine.machine_type.as_str())
        })
    }

    /// Lets what is coming take work.
    fn absorb(&mut self, want: &mut Want<'_>) {
        for c in &mut self.coming[want.need] {
            if want.suits(&c.machine_type, c.zone.as_str(), c.spot) {
                want.waiting -= take(self.policy, c, want);
            }
        }
    }

    /// Where no more machines can be had in the zone in which a gang lacks the least, all of it may go
    /// to another: one in which enough are coming already, or else one that has some to give.
    fn choose_zone(&mut self, want: &mut Want<'_>) {
        if want.shape.gang == 0 || want.waiting == 0 || self.offer(want, false).is_some() {
            return;
        }
        let lacks = (want.zone.take(), want.waiting);
        let mut zones: Vec<String> = self
            .types
            .iter()
            .flat_map(|t| &t.zones)
            .filter(|z| Some(*z) != lacks.0.as_ref())
            .cloned()
            .collect();
        zones.sort_by_key(|zone| (*zone != self.needs[want.need].home_zone.as_str(), zone.clone()));
        zones.dedup();
        let mut chosen = None;
        for zone in zones {
            want.zone = Some(zone.clone());
            let fits = |c: &&Coming| want.suits(&c.machine_type, c.zone.as_str(), c.spot);
            let coming = self.coming[want.need].iter().filter(fits);
            let room: u64 = coming.map(|c| c.room.holds(&want.per)).sum();
            if room >= want.shape.gang {
                chosen = Some(zone);
                break;
            }
            if chosen.is_none() && self.offer(want, false).is_some() {
                chosen = Some(zone);
            }
        }
        match chosen {
            Some(zone) => {
                (want.zone, want.waiting) = (Some(zone), want.shape.gang);
                self.absorb(want);
            }
            None => (want.zone, want.waiting) = lacks,
        }
    }

    /// The cheapest machine that can be had for the work.
    fn offer(&self, want: &Want<'_>, cheap: bool) -> Option<(&'a MachineType, ZoneName, bool)> {
        let home = &self.needs[want.need].home_zone;
        let left_to_gangs = |name: &str, spot: bool| {
            let of_use = |(t, cheap): &(&str, bool)| *t == name && (*cheap || !spot);
            want.shape.gang == 0 && want.types.len() > 1 && self.for_gangs.iter().any(of_use)
        };
        choose_offer(self.types, want, cheap, home, self.refused, &self.asked, left_to_gangs)
    }

    /// Gets one more machine for the work: an idle one of a partition that has no use for it, or
    /// a rented one.
    fn one_machine(&mut self, want: &mut Want<'_>, tier: Tier) -> bool {
        let need = &self.needs[want.need];
        let cheap = tier == Tier::BestEffort && want.shape.spot;
        let of_use = |m: &FleetMachine| {
            m.partition != need.partition && want.suits(&m.machine_type, m.zone.as_str(), m.spot)
        };
        let lend = || self.lent.iter().position(|m| of_use(m));
        let lent = (!want.nothing_lent).then(lend).flatten();
        let spares = |m: &&FleetMachine| {
            of_use(m)
                && m.idle >= self.policy.shift_idle
                && (m.spot || !cheap)
                && !self.is_wanted(m)
        };
        let may_shift = !want.nothing_idle && self.shifted < self.policy.shift_count;
        let spare = may_shift.then(|| self.idle.iter().position(spares)).flatten();
        // The plan only takes from both lists, so what is not there now will not be.
        (want.nothing_idle, want.nothing_lent) = (spare.is_none(), lent.is_none());
        let mut c = match (spare, lent) {
            (Some(at), _) => {
                let machine = self.idle.remove(at);
                let Some(kind) = self.kind(&machine.machine_type) else { return false };
                self.shifted += 1;
                self.actions
                    .push(FleetAction::Shift { machine: machine.name.clone(), to: need.partition });
                coming_from(machine, kind)
            }
            (_, Some(at)) => {
                let machine = self.lent.remove(at);
                let Some(kind) = self.kind(&machine.machine_type) else { return false };
                self.give(machine.partition, need.partition, want.planned(), 1);
                coming_from(machine, kind)
            }
            _ => {
                let Some((kind, zone, spot)) = self.offer(want, cheap) else { return false };
                let offer = (kind.name.clone(), zone.clone(), spot);
                *self.asked.entry(offer.clone()).or_default() += 1;
                *self.rent.entry((want.need, offer)).or_default() += 1;
                let room = size_of(kind);
                Coming { machine_type: kind.name.clone(), zone, spot, room, work: ALL_WORK }
            }
        };
        let taken = take(self.policy, &mut c, want);
        want.waiting -= taken;
        self.coming[want.need].push(c);
        taken > 0
    }

    /// Has a partition hand over so many more machines as they empty.
    fn give(&mut self, from: PartitionId, to: PartitionId, shape: DemandShape, more: u32) {
        let under_way = |m: &&FleetMachine| m.partition == from && m.ceding == Some(to);
        let before = || self.machines.iter().filter(under_way).count() as u32;
        let total = self.given.entry((from, to)).or_insert_with(before);
        *total += more;
        let count = *total;
        self.actions.push(FleetAction::Cede { from, to, shape, count });
    }

    /// Has other partitions cede machines for work that no machine can be had for.
    fn cede(&mut self, wants: &[Want<'_>], urgent: bool) {
        let free = |m: &&FleetMachine| {
            m.known && m.up && m.cedable && !m.leaving && !m.faulty && m.ceding.is_none()
        };
        // By kinds of machines, since many small ones make up for no large one.
        let mut taken: BTreeMap<(&[&str], PartitionId), i64> = BTreeMap::new();
        for want in wants.iter().filter(|w| w.stuck && w.waiting > 0) {
            let to = self.needs[want.need].partition;
            let mut fits: BTreeMap<PartitionId, u32> = BTreeMap::new();
            let mut held: BTreeMap<PartitionId, i64> =
                self.needs.iter().map(|n| (n.partition, 0)).collect();
            for m in self.machines.iter().filter(free) {
                if want.suits(&m.machine_type, m.zone.as_str(), m.spot) {
                    *held.entry(m.partition).or_default() += 1;
                    *fits.entry(m.partition).or_default() += u32::from(m.partition != to);
                }
            }
            for (partition, held) in &mut held {
                *held -= taken.get(&(&want.types[..], *partition)).copied().unwrap_or(0);
            }
            let of_use = self.types.iter().filter(|t| want.types.contains(&t.name.as_str()));
            let slots = of_use.map(|t| size_of(t).holds(&want.per)).max().unwrap_or(1).max(1);
            let waits = |partition: PartitionId| -> u64 {
                let of = |w: &&Want| self.needs[w.need].partition == partition;
                let alike = wants.iter().filter(of).filter(|w| w.types == want.types);
                alike.map(|w| w.waiting.div_ceil(slots)).sum()
            };
            let mut asked: BTreeMap<PartitionId, u32> = BTreeMap::new();
            for _ in 0..want.waiting.div_ceil(slots).min(u64::from(MOST_AT_ONCE)) {
                let own = held.get(&to).copied().unwrap_or(0);
                let richest = fits
                    .iter()
                    .filter(|(_, left)| **left > 0)
                    .map(|(from, _)| (held.get(from).copied().unwrap_or(0), *from))
                    // Other work may have been promised them already.
                    .filter(|(count, _)| *count > 0)
                    .max();
                let Some((count, from)) = richest else { break };
                // Nor where as much waits for each machine.
                let worse_off = waits(from) as i64 * own > waits(to) as i64 * count;
                if !urgent && (count < own + own / 4 + CEDE_SLACK || worse_off) {
                    break;
                }
                *fits.entry(from).or_default() -= 1;
                let mut give = |partition, count: i64| {
                    *held.entry(partition).or_default() -= count;
                    *taken.entry((&want.types[..], partition)).or_default() += count;
                };
                give(from, 1);
                give(to, -i64::from(!urgent));
                *asked.entry(from).or_default() += 1;
            }
            for (from, count) in asked {
                self.give(from, to, want.planned(), count);
            }
        }
    }

    /// Machines that are of no use any more.
    fn returns(&mut self) {
        let idle: HashSet<&MachineName> = self.idle.iter().map(|m| &m.name).collect();
        for machine in self.machines {
            let boot = self
                .kind(&machine.machine_type)
                .map_or(Span(60_000), |t| Span::from_secs(t.boot_s));
            let never_came =
                !machine.up && machine.since > boot * self.policy.boot_patience + Span(10_000);
            let done_with = machine.tasks == 0
                && (machine.faulty || machine.failed || machine.silent >= self.policy.silent);
            let surplus = idle.contains(&machine.name)
                && machine.idle >= self.policy.keep_idle
                && machine.age >= self.policy.paid;
            if machine.known && !machine.leaving && (never_came || done_with || surplus) {
                self.actions.push(FleetAction::Return { machine: machine.name.clone() });
            }
        }
    }
}

fn coming_from(machine: &FleetMachine, kind: &MachineType) -> Coming {
    Coming {
        machine_type: machine.machine_type.clone(),
        zone: machine.zone.clone(),
        spot: machine.spot,
        room: size_of(kind),
        work: ALL_WORK,
    }
}

/// Lets a coming machine take tasks: services and gangs by room, array work by what it can work off
/// within the horizon (at least one task a slot). Returns how many it takes.
fn take(policy: &FleetPolicy, c: &mut Coming, want: &Want<'_>) -> u64 {
    if want.waiting == 0 || !want.per.fits(&c.room) {
        return 0;
    }
    let slots = c.room.holds(&want.per);
    if want.whole {
        let taken = slots.min(want.waiting);
        c.room -= want.per.times(taken);
        return taken;
    }
    if c.work == 0 {
        return 0;
    }
    // Of however many kinds of room a task takes, the scarcest tells how many run at a time.
    let each = (ALL_WORK * want.time / (slots * policy.horizon.0).max(1)).max(1);
    let taken = (c.work / each).max(slots).min(want.waiting);
    c.work = c.work.saturating_sub(taken * each);
    taken
}

/// The cheapest offer per task, the home zone first among equals.
fn choose_offer<'a>(
    types: &'a [MachineType],
    want: &Want<'_>,
    cheap: bool,
    home: &ZoneName,
    refused: &HashMap<Offer, u32>,
    asked: &BTreeMap<(String, ZoneName, bool), u32>,
    left_to_gangs: impl Fn(&str, bool) -> bool,
) -> Option<(&'a MachineType, ZoneName, bool)> {
    let mut best: Option<(f64, &MachineType, ZoneName, bool)> = None;
    for kind in types {
        let slots = size_of(kind).holds(&want.per);
        for (zone, spot) in kind.zones.iter().flat_map(|z| [(z, true), (z, false)]) {
            let kept = left_to_gangs(&kind.name, spot);
            if !want.suits(&kind.name, zone, spot) || (cheap && !spot) || kept {
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

#[cfg(test)]
mod tests {
    use super::*;

    fn kind() -> MachineType {
        MachineType {
            name: "m4".into(),
            cpus: 4.0,
            gpus: 0.0,
            memory_gb: 16.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.3,
            boot_s: 20.0,
            zones: vec!["a".into()],
        }
    }

    fn machine(n: u32, partition: u32, cedable: bool) -> FleetMachine {
        FleetMachine {
            name: MachineName::from(format!("host-{n}").as_str()),
            machine_type: "m4".into(),
            zone: ZoneName::from("a"),
            spot: false,
            partition: PartitionId(partition),
            up: true,
            tasks: 1,
            idle: Span::ZERO,
            faulty: false,
            leaving: false,
            age: Span(100_000),
            since: Span(100_000),
            silent: Span::ZERO,
            failed: false,
            known: true,
            cedable,
            best_effort: false,
            ceding: None,
        }
    }

    fn need(partition: u32, tasks: u64, urgent: u64) -> PartitionNeed {
        let shape = DemandShape {
            milli_cpus: 4_000,
            milli_gpus: 0,
            memory_mb: 4_000,
            types: None,
            zone: None,
            spot: false,
            tasks,
            urgent,
            estimate_ms: 30_000,
            priority: Priority::Normal,
            gang: 0,
        };
        let demand = if tasks > 0 { vec![shape] } else { Vec::new() };
        PartitionNeed { partition: PartitionId(partition), home_zone: ZoneName::from("a"), demand }
    }

    fn ceded(actions: &[FleetAction]) -> Vec<(u32, u32, u32)> {
        let cede = |a: &FleetAction| match a {
            FleetAction::Cede { from, to, count, .. } => Some((from.0, to.0, *count)),
            _ => None,
        };
        actions.iter().filter_map(cede).collect()
    }

    /// Seen on a grown site: the partition planned for first rented all there was, and another's
    /// replicas waited for minutes while it ran arrays beyond its guarantee.
    #[test]
    fn when_no_machine_can_be_had_others_cede() {
        let machines: Vec<FleetMachine> = (0..20).map(|n| machine(n, 0, n >= 4)).collect();
        let refused = HashMap::from([(("m4".to_owned(), ZoneName::from("a"), false), 0)]);
        let plan = |needs: &[PartitionNeed]| {
            plan(&FleetPolicy::default(), &[kind()], &machines, needs, &refused)
        };
        assert_eq!(ceded(&plan(&[need(0, 9, 0), need(1, 18, 18)])), [(0, 1, 16)]);
        assert_eq!(
            ceded(&plan(&[need(0, 9, 0), need(1, 18, 0)])),
            [(0, 1, 7)],
            "about an even part"
        );
        assert_eq!(ceded(&plan(&[need(0, 9, 9), need(1, 0, 0)])), []);
    }

    /// Guests' work of low priority would fill hundreds of ordinary machines otherwise, and hold
    /// the cheap ones while other partitions rent ordinary ones.
    #[test]
    fn best_effort_work_gets_cheap_machines_only_and_lends_them() {
        let mut low = need(0, 40, 0);
        low.demand[0].priority = Priority::Low;
        low.demand[0].spot = true;
        let mut normal = need(1, 2, 0);
        normal.demand[0].spot = true;
        let machines: Vec<FleetMachine> = (0..3)
            .map(|n| FleetMachine { spot: true, best_effort: true, ..machine(n, 0, true) })
            .collect();
        let refused = HashMap::from([(("m4".to_owned(), ZoneName::from("a"), true), 0)]);
        let policy = FleetPolicy { horizon: Span(1_000), ..FleetPolicy::default() };
        let actions = plan(&policy, &[kind()], &machines, &[low.clone(), normal], &refused);
        assert_eq!(ceded(&actions).last(), Some(&(0, 1, 2)), "{actions:?}");
        let rents = |a: &&FleetAction| matches!(a, FleetAction::Rent { .. });
        assert_eq!(actions.iter().filter(rents).count(), 0, "{actions:?}");
        let cheap = plan(&policy, &[kind()], &[], &[low], &HashMap::new());
        assert!(
            matches!(cheap[..], [FleetAction::Rent { spot: true, count: 40, .. }]),
            "{cheap:?}"
        );
    }

    /// Found in the log of a grown site: machines were given back to the cloud on arriving in
    /// another partition, since they were old and its holder had not heard them yet.
    #[test]
    fn a_machine_that_changes_hands_is_not_taken_for_one_that_never_came() {
        let moved = FleetMachine { up: false, tasks: 0, since: Span(500), ..machine(1, 0, false) };
        let lost = FleetMachine { since: Span(100_000), ..moved.clone() };
        let policy = FleetPolicy::default();
        let plan = |m: FleetMachine| plan(&policy, &[kind()], &[m], &[], &HashMap::new());
        assert_eq!(plan(moved), []);
        assert_eq!(plan(lost).len(), 1);
    }

    /// What each partition rents, by type and zone.
    fn rents(actions: &[FleetAction]) -> Vec<(u32, String, String, u32)> {
        let rent = |a: &FleetAction| match a {
            FleetAction::Rent { machine_type, zone, count, partition, .. } => {
                Some((partition.0, machine_type.clone(), zone.to_string(), *count))
            }
            _ => None,
        };
        actions.iter().filter_map(rent).collect()
    }

    fn three_types() -> Vec<MachineType> {
        let zones = || vec!["a".into(), "b".into()];
        let of = |name: &str, cpus, gpus, price| MachineType {
            name: name.into(),
            cpus,
            gpus,
            memory_gb: cpus * 4.0,
            price,
            spot_price: price / 3.0,
            zones: zones(),
            ..kind()
        };
        vec![of("m4", 4.0, 0.0, 0.24), of("m20", 20.0, 0.0, 1.2), of("g24", 24.0, 4.0, 14.0)]
    }

    fn gang(tasks: u64) -> PartitionNeed {
        let mut need = need(1, tasks, 0);
        let zone = Some("a".to_owned());
        let shape = need.demand[0].clone();
        need.demand[0] = DemandShape { milli_cpus: 18_000, zone, gang: tasks, ..shape };
        need
    }

    /// Seen on a site with three types: machines for gangs were asked for in one zone only, for minutes.
    #[test]
    fn a_gang_goes_to_another_zone_as_a_whole_where_its_own_has_no_more() {
        let types = three_types();
        let refused = HashMap::from([(("m20".to_owned(), ZoneName::from("a"), false), 0)]);
        let policy = FleetPolicy::default();
        let mut need = gang(4);
        need.demand[0].tasks = 1;
        let actions = plan(&policy, &types, &[], &[need.clone()], &HashMap::new());
        assert_eq!(rents(&actions), [(1, "m20".into(), "a".into(), 1)], "one is missing there");
        let actions = plan(&policy, &types, &[], &[need.clone()], &refused);
        assert_eq!(rents(&actions), [(1, "m20".into(), "b".into(), 4)]);
        let boots = |n| FleetMachine {
            machine_type: "m20".into(),
            zone: ZoneName::from("b"),
            up: false,
            tasks: 0,
            since: Span(1_000),
            ..machine(n, 1, false)
        };
        let coming: Vec<FleetMachine> = (0..4).map(boots).collect();
        assert_eq!(rents(&plan(&policy, &types, &coming, &[need], &refused)), [], "they come");
    }

    /// Machines with GPUs were rented for gangs that need none, at a hundred times the price.
    #[test]
    fn nothing_is_rented_with_gpus_for_work_without_and_what_only_gangs_need_is_left_to_them() {
        let types = three_types();
        let policy = FleetPolicy { horizon: Span(1_000), ..FleetPolicy::default() };
        let gone = |name: &str| {
            let of = |zone: &str| ((name.to_owned(), ZoneName::from(zone), false), 0);
            [of("a"), of("b")]
        };
        let refused = HashMap::from_iter(gone("m20"));
        assert_eq!(rents(&plan(&policy, &types, &[], &[gang(2)], &refused)), []);
        let small = need(0, 3, 0);
        let refused = HashMap::from_iter(gone("m4"));
        let both = plan(&policy, &types, &[], &[small.clone(), gang(2)], &refused);
        assert_eq!(
            rents(&both),
            [(1, "m20".into(), "a".into(), 2)],
            "the array waits for small ones"
        );
        let alone = plan(&policy, &types, &[], &[small], &refused);
        assert_eq!(rents(&alone), [(0, "m20".into(), "a".into(), 1)]);
    }

    /// Seen while a site filled up: machines were rented for low replicas one after the other, and arrays
    /// inside the guarantee, planned for over the horizon, took each of them for 40 s.
    #[test]
    fn what_goes_before_waiting_replicas_gets_room_at_once() {
        let mut services = need(0, 1, 1);
        services.demand[0].estimate_ms = 0;
        services.demand[0].priority = Priority::Low;
        let mut both = need(0, 8, 8);
        both.demand[0].milli_cpus = 1_000;
        both.demand[0].estimate_ms = 1_000;
        let arrays = both.clone();
        both.demand.extend(services.demand);
        let rented = |need: &PartitionNeed| {
            let needs = [need.clone()];
            let actions = plan(&FleetPolicy::default(), &[kind()], &[], &needs, &HashMap::new());
            rents(&actions).iter().map(|rent| rent.3).sum::<u32>()
        };
        assert_eq!(rented(&arrays), 1, "worked off within the horizon");
        assert_eq!(rented(&both), 3, "two for the arrays, one for the replica");
        both.demand[0].priority = Priority::Low;
        both.demand[1].priority = Priority::High;
        assert_eq!(rented(&both), 2, "the replica goes first");
        both.demand[1].priority = Priority::Low;
        both.demand[1].zone = Some("b".into());
        both.demand[0].zone = Some("a".into());
        assert_eq!(rented(&both), 1, "the replica waits elsewhere");
    }

    #[test]
    fn what_is_urgent_is_rented_first_and_the_rest_in_turn() {
        let refused = HashMap::new();
        let needs = [need(0, 30, 0), need(1, 30, 3)];
        let policy = FleetPolicy { horizon: Span(1_000), ..FleetPolicy::default() };
        let actions = plan(&policy, &[kind()], &[], &needs, &refused);
        let rented: Vec<(u32, u32)> = actions
            .iter()
            .filter_map(|a| match a {
                FleetAction::Rent { partition, count, .. } => Some((partition.0, *count)),
                _ => None,
            })
            .collect();
        assert_eq!(rented, [(0, 30), (1, 30)]);
    }
}
