//! The leader: whoever holds the first partition makes the calls to the cloud.

use super::machine_records::MachineChange;
use super::{CallKind, Controller, FLEET_PLANNER_PARTITION};
use crate::records::{DemandRecord, MachineRecord, MACHINE_TYPES_KEY};
use crate::rejections::{MessageFault, MessageSource};
use crate::request_budget::{CallPriority, TokenBucket};
use autoscaler::{FleetAction, FleetMachine, Offer, PartitionNeed};
use model::duration_from_secs;
use model::{CallId, ControllerName, MachineName, PartitionId, Timestamp, ZoneName};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wire::cloud::{
    CloudReply, CloudRequest, ListedMachine, MachineState, MachineType, MachineTypes, RentRequest,
};
use wire::mesh::{MeshMessage, PartitionStatus};
use wire::state::{StateRequest, Transaction, Write};

/// How long an offer that was refused is left alone.
const REFUSED_OFFER_PAUSE: Duration = Duration::from_secs(6);

/// How long late reports, copies of them and old lists may speak of a machine that has been deleted.
const DELETED_MACHINE_RETENTION: Duration = Duration::from_secs(120);

/// Time between two looks at which machines lack a record or are to be released.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// The record of a machine rented by this request.
fn record_of(request: &RentRequest, partition: PartitionId) -> MachineRecord {
    MachineRecord {
        machine_type: request.machine_type.clone(),
        zone: request.zone.clone(),
        spot: request.spot,
        partition,
        token: 0,
        leaving: false,
    }
}

/// What the leader knows and has under way.
#[derive(Debug)]
pub(crate) struct FleetPlanner {
    calls: TokenBucket,
    loads: HashMap<PartitionId, (PartitionStatus, Timestamp)>,
    listed: HashMap<MachineName, (ListedMachine, Timestamp)>,
    /// Since when each machine has been in its partition, as far as this leader knows.
    first_seen: HashMap<MachineName, (PartitionId, Timestamp)>,
    /// Under which term each partition is held, and since when its holder has told us so.
    held: HashMap<PartitionId, (u64, Timestamp)>,
    unrecorded: BTreeMap<MachineName, MachineRecord>,
    refused: HashMap<Offer, Timestamp>,
    renting: BTreeMap<CallId, (RentRequest, PartitionId)>,
    releasing: HashMap<MachineName, Timestamp>,
    deleting: HashMap<MachineName, Timestamp>,
    asked: HashMap<MachineName, Timestamp>,
    pub(super) types_pending: bool,
    types_at: Option<Timestamp>,
    prices: Option<MachineTypes>,
    list_at: Timestamp,
    listing: bool,
    plan_at: Timestamp,
    scanned_at: Timestamp,
    requests: u64,
    retries: Vec<(Timestamp, RentRequest, PartitionId)>,
}

impl FleetPlanner {
    pub(super) fn new(rps: f64) -> Self {
        FleetPlanner {
            calls: TokenBucket::new(rps * 0.8, rps),
            loads: HashMap::new(),
            listed: HashMap::new(),
            first_seen: HashMap::new(),
            held: HashMap::new(),
            unrecorded: BTreeMap::new(),
            refused: HashMap::new(),
            renting: BTreeMap::new(),
            releasing: HashMap::new(),
            deleting: HashMap::new(),
            asked: HashMap::new(),
            types_pending: false,
            types_at: None,
            prices: None,
            list_at: Timestamp::default(),
            listing: false,
            plan_at: Timestamp::default(),
            scanned_at: Timestamp::default(),
            requests: 0,
            retries: Vec::new(),
        }
    }

    /// A machine without a record has been seen.
    pub(super) fn found(
        &mut self,
        name: &MachineName,
        machine_type: &str,
        zone: &str,
        spot: bool,
        now: Timestamp,
    ) {
        // One that has just been released may still be in a late report or an old list.
        let gone = self
            .deleting
            .get(name)
            .is_some_and(|at| now.duration_since(*at) < DELETED_MACHINE_RETENTION);
        if gone || self.unrecorded.contains_key(name) {
            return;
        }
        let rented = self
            .renting
            .values()
            .next()
            .map_or(FLEET_PLANNER_PARTITION, |(_, partition)| *partition);
        let record = MachineRecord {
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            partition: rented,
            token: 0,
            leaving: false,
        };
        self.unrecorded.insert(name.clone(), record);
    }

    pub(super) fn machine_gone(&mut self, name: &MachineName) {
        self.first_seen.remove(name);
        self.releasing.remove(name);
        self.asked.remove(name);
    }
}

impl Controller {
    /// The node that leads now, as far as the mirror tells.
    pub(super) fn fleet_planner_controller(&self) -> Option<ControllerName> {
        self.cache
            .partitions
            .get(&FLEET_PLANNER_PARTITION)
            .map(|p| p.record.leader.clone())
    }

    pub(super) fn handle_partition_status(&mut self, load: PartitionStatus) {
        let partition = PartitionId(load.partition);
        let newer = self
            .fleet_planner
            .loads
            .get(&partition)
            .is_none_or(|(old, _)| old.term <= load.term);
        if newer {
            let held = self
                .fleet_planner
                .held
                .entry(partition)
                .or_insert((load.term, self.now));
            if held.0 != load.term {
                *held = (load.term, self.now);
            }
            self.fleet_planner.loads.insert(partition, (load, self.now));
        }
    }

    /// A holder that does not reach us has written what its partition lacks. Of its machines we
    /// know nothing then, so none is shifted or returned.
    pub(super) fn demand_written(&mut self, partition: PartitionId, record: DemandRecord) {
        let DemandRecord { term, demand } = record;
        self.handle_partition_status(PartitionStatus {
            partition: partition.0,
            term,
            demand,
            machines: Vec::new(),
        });
    }

    pub(super) fn types_changed(&mut self) {
        let partitions: Vec<PartitionId> = self.leaderships.keys().copied().collect();
        for partition in partitions {
            let zones = self.zones_near(partition);
            if let Some(partition_state) = self
                .leaderships
                .get_mut(&partition)
                .and_then(|h| h.partition_state_mut())
            {
                partition_state.zones = zones;
                if let Some(types) = &self.cache.types {
                    partition_state.set_machine_types(&types.record.types);
                }
            }
        }
        // Machines whose type was unknown until now can be taken into their shares.
        let names: Vec<MachineName> = self.cache.machines.keys().cloned().collect();
        for name in names {
            self.machine_changed(&name);
        }
    }

    pub(super) fn run_fleet_planner(&mut self) {
        let is_fleet_planner = self
            .leaderships
            .get(&FLEET_PLANNER_PARTITION)
            .is_some_and(|h| h.partition_state().is_some() && !h.is_transferring());
        // Every node may ask for the types while nobody knows them.
        if self.synced && (is_fleet_planner || self.cache.types.is_none()) {
            self.request_machine_types();
        }
        if !is_fleet_planner || !self.has_recent_state_read(super::MAX_LAUNCH_READ_AGE) {
            return;
        }
        if self.now.duration_since(self.fleet_planner.scanned_at) >= SCAN_INTERVAL {
            self.fleet_planner.scanned_at = self.now;
            self.record_machines();
            self.release_leaving();
        }
        if self.now.duration_since(self.fleet_planner.list_at) >= Duration::from_secs(4)
            && !self.fleet_planner.listing
            && self.fleet_planner.calls.take(self.now, 1.0, 1.0)
        {
            self.fleet_planner.list_at = self.now;
            self.fleet_planner.listing = true;
            let request = CloudRequest::List {
                after: String::new(),
                limit: 500,
            };
            self.cloud(
                request,
                CallKind::CloudList {
                    gathered: Vec::new(),
                },
            );
        }
        let now = self.now;
        let due: Vec<_> = self
            .fleet_planner
            .retries
            .extract_if(.., |r| r.0 <= now)
            .collect();
        for (_, request, partition) in due {
            self.rent(request, partition);
        }
        if self.now.duration_since(self.fleet_planner.plan_at) >= Duration::from_millis(500) {
            self.fleet_planner.plan_at = self.now;
            self.plan_fleet();
        }
    }

    fn request_machine_types(&mut self) {
        let pause = if self.cache.types.is_none() {
            Duration::from_millis(400)
        } else {
            Duration::from_secs(60)
        };
        let due = self
            .fleet_planner
            .types_at
            .is_none_or(|at| self.now.duration_since(at) >= pause);
        if due && self.fleet_planner.calls.take(self.now, 1.0, 0.0) {
            self.fleet_planner.types_at = Some(self.now);
            self.cloud(CloudRequest::Types, CallKind::Types);
        }
    }

    /// Wants records for machines that have none.
    fn record_machines(&mut self) {
        let known = &self.cache.machines;
        self.fleet_planner
            .unrecorded
            .retain(|name, _| !known.contains_key(name));
        for (name, record) in &self.fleet_planner.unrecorded {
            self.machine_changes
                .want(name, MachineChange::Create(record.clone()));
        }
    }

    /// Releases machines that their holders have given up.
    fn release_leaving(&mut self) {
        let now = self.now;
        let names: Vec<MachineName> = self
            .cache
            .machines
            .iter()
            .filter(|(name, m)| {
                m.record.leaving
                    && !self.machine_changes.concern(name)
                    && self
                        .fleet_planner
                        .releasing
                        .get(*name)
                        .is_none_or(|at| now.duration_since(*at) >= Duration::from_secs(5))
            })
            .map(|(name, _)| name.clone())
            .take(100)
            .collect();
        if names.is_empty() || !self.fleet_planner.calls.take(now, 1.0, 0.0) {
            return;
        }
        for name in &names {
            self.fleet_planner.releasing.insert(name.clone(), now);
        }
        let request = CloudRequest::Release(names.iter().map(|n| n.to_string()).collect());
        self.cloud(request, CallKind::Release(names));
    }

    fn delete_record(&mut self, name: MachineName) {
        self.fleet_planner.deleting.insert(name.clone(), self.now);
        self.machine_changes.want(&name, MachineChange::Delete);
    }

    fn rent(&mut self, request: RentRequest, partition: PartitionId) {
        let purpose = CallKind::Rent {
            request: request.clone(),
            partition,
        };
        let call = self.cloud(CloudRequest::Rent(request.clone()), purpose);
        self.fleet_planner
            .renting
            .insert(call, (request, partition));
    }

    pub(super) fn handle_cloud_reply(&mut self, call: CallId, reply: CloudReply) {
        let Some(purpose) = self.calls.remove(&call) else {
            self.counters
                .rejections
                .add(MessageSource::Cloud, MessageFault::Stale);
            return;
        };
        if reply == CloudReply::Refused {
            self.counters.cloud_refused += 1;
        }
        match purpose {
            CallKind::Types => {
                if let CloudReply::Types(types) = reply {
                    self.take_types(types);
                }
            }
            CallKind::Rent { request, partition } => {
                self.fleet_planner.renting.remove(&call);
                self.handle_rental_reply(request, partition, reply);
            }
            CallKind::Release(names) => {
                for name in names {
                    match reply {
                        CloudReply::Released => self.delete_record(name),
                        _ => {
                            let at =
                                Timestamp::from_millis(self.now.as_millis().saturating_sub(4_000));
                            self.fleet_planner.releasing.insert(name, at);
                        }
                    }
                }
            }
            CallKind::CloudList { gathered } => self.handle_machine_list(gathered, reply),
            _ => {}
        }
    }

    fn take_types(&mut self, types: MachineTypes) {
        let shape = |t: &MachineTypes| -> Vec<MachineType> {
            let mut list = t.types.clone();
            for kind in &mut list {
                (kind.price, kind.spot_price) = (0.0, 0.0);
            }
            list
        };
        let known = self.cache.types.as_ref().map(|t| shape(&t.record));
        let changed = known.as_ref() != Some(&shape(&types));
        self.fleet_planner.prices = Some(types.clone());
        if changed && !self.fleet_planner.types_pending {
            self.fleet_planner.types_pending = true;
            let version = self.cache.types.as_ref().map_or(0, |t| t.version.0);
            let value = serde_json::to_value(types).unwrap_or_default();
            let txn = Transaction::default()
                .when(MACHINE_TYPES_KEY, version)
                .write(Write::put(MACHINE_TYPES_KEY, value));
            self.state(
                CallPriority::Lease,
                StateRequest::Transaction(txn),
                CallKind::TypesWrite,
            );
        }
    }

    fn handle_rental_reply(
        &mut self,
        request: RentRequest,
        partition: PartitionId,
        reply: CloudReply,
    ) {
        let offer = Offer {
            machine_type: request.machine_type.clone(),
            zone: ZoneName::from(request.zone.as_str()),
            spot: request.spot,
        };
        match reply {
            CloudReply::Rented(names) => {
                if (names.len() as u32) < request.count {
                    self.fleet_planner
                        .refused
                        .insert(offer, self.now + REFUSED_OFFER_PAUSE);
                }
                tracing::info!(
                    machine_type = request.machine_type,
                    zone = request.zone,
                    spot = request.spot,
                    asked = request.count,
                    got = names.len(),
                    %partition,
                    "rented"
                );
                for name in names {
                    let name = MachineName::from(name.as_str());
                    self.fleet_planner
                        .first_seen
                        .insert(name.clone(), (partition, self.now));
                    let record = record_of(&request, partition);
                    self.fleet_planner.unrecorded.insert(name, record);
                }
            }
            CloudReply::NoCapacity => {
                self.fleet_planner
                    .refused
                    .insert(offer, self.now + REFUSED_OFFER_PAUSE);
            }
            // Its answer is lost: the same name asks for the same machines.
            CloudReply::Unknown => {
                let at = self.now + Duration::from_millis(500);
                self.fleet_planner.retries.push((at, request, partition));
            }
            _ => {
                self.fleet_planner
                    .refused
                    .insert(offer, self.now + Duration::from_millis(1_500));
            }
        }
    }

    fn handle_machine_list(&mut self, mut gathered: Vec<ListedMachine>, reply: CloudReply) {
        let CloudReply::List(list) = reply else {
            self.fleet_planner.listing = false;
            return;
        };
        let before = gathered.last().map(|m| m.id.as_str());
        let after = list.machines.last().map(|m| m.id.clone());
        if list.more && (after.is_none() || after.as_deref() == before) {
            // It would be asked for again and again; what it lacks must not count as gone.
            self.counters
                .rejections
                .add(MessageSource::Cloud, MessageFault::Malformed);
            self.fleet_planner.listing = false;
            return;
        }
        gathered.extend(list.machines);
        if let (true, Some(after)) = (list.more, after) {
            self.cloud(
                CloudRequest::List { after, limit: 500 },
                CallKind::CloudList { gathered },
            );
            return;
        }
        self.fleet_planner.listing = false;
        let now = self.now;
        for machine in gathered {
            let name = MachineName::from(machine.id.as_str());
            if !self.cache.machines.contains_key(&name) {
                self.fleet_planner.found(
                    &name,
                    &machine.machine_type,
                    &machine.zone,
                    machine.spot,
                    now,
                );
            }
            self.fleet_planner.listed.insert(name, (machine, now));
        }
        self.fleet_planner
            .listed
            .retain(|_, (_, at)| now.duration_since(*at) < Duration::from_secs(120));
        self.fleet_planner
            .deleting
            .retain(|_, at| now.duration_since(*at) < DELETED_MACHINE_RETENTION);
    }

    /// The fleet as the leader knows it.
    fn fleet(&mut self) -> Vec<FleetMachine> {
        let now = self.now;
        let mut machines = Vec::new();
        for (name, record) in &self.cache.machines {
            let r = &record.record;
            let seen = self
                .fleet_planner
                .first_seen
                .entry(name.clone())
                .or_insert((r.partition, now));
            if seen.0 != r.partition {
                *seen = (r.partition, now);
            }
            let (there, held) = (
                seen.1,
                self.fleet_planner.held.get(&r.partition).map(|held| held.1),
            );
            let observable_for = now.duration_since(held.map_or(there, |held| held.max(there)));
            let load = self
                .fleet_planner
                .loads
                .get(&r.partition)
                .and_then(|(load, at)| {
                    let fresh = now.duration_since(*at) <= Duration::from_millis(2_500);
                    // A holder tells of its machines in the order of their names.
                    let at = load
                        .machines
                        .binary_search_by(|m| m.machine.as_str().cmp(name.as_str()));
                    at.ok().map(|at| (&load.machines[at], fresh))
                });
            let listed = self.fleet_planner.listed.get(name).map(|(m, _)| m);
            let age = listed.map_or(Duration::ZERO, |m| duration_from_secs(m.age_s));
            machines.push(FleetMachine {
                name: name.clone(),
                machine_type: r.machine_type.clone(),
                zone: ZoneName::from(r.zone.as_str()),
                spot: r.spot,
                partition: r.partition,
                reporting: load.is_some_and(|(m, _)| m.up),
                tasks: load.map_or(0, |(m, _)| m.tasks),
                idle_for: load.map_or(Duration::ZERO, |(m, _)| Duration::from_millis(m.idle_ms)),
                quarantined: load.is_some_and(|(m, _)| m.quarantined),
                leaving: r.leaving,
                age: age.max(now.duration_since(there)),
                observable_for,
                since_heartbeat: load.map_or(Duration::ZERO, |(m, _)| {
                    Duration::from_millis(m.since_heartbeat_ms)
                }),
                failed: listed.is_some_and(|m| m.state == MachineState::Failed),
                view_is_fresh: load.is_some_and(|(_, fresh)| fresh),
                transferable: load.is_some_and(|(m, _)| m.transferable),
                best_effort: load.is_some_and(|(m, _)| m.best_effort),
                transfer_to: load.and_then(|(m, _)| m.transfer_to).map(PartitionId),
            });
        }
        let mut pending: Vec<(String, MachineRecord)> = self
            .fleet_planner
            .unrecorded
            .iter()
            .filter(|(name, _)| !self.cache.machines.contains_key(*name))
            .map(|(name, record)| (name.to_string(), record.clone()))
            .collect();
        // Machines that are being asked for count as coming.
        let retries = self.fleet_planner.retries.iter().map(|r| (&r.1, r.2));
        let asked = self
            .fleet_planner
            .renting
            .values()
            .map(|(request, p)| (request, *p))
            .chain(retries);
        for (request, partition) in asked {
            for n in 0..request.count {
                let record = record_of(request, partition);
                pending.push((format!("{}#{n}", request.request), record));
            }
        }
        for (name, record) in pending {
            machines.push(FleetMachine {
                name: MachineName::from(name.as_str()),
                machine_type: record.machine_type,
                zone: ZoneName::from(record.zone.as_str()),
                spot: record.spot,
                partition: record.partition,
                reporting: false,
                tasks: 0,
                idle_for: Duration::ZERO,
                quarantined: false,
                leaving: false,
                age: Duration::ZERO,
                observable_for: Duration::ZERO,
                since_heartbeat: Duration::ZERO,
                failed: false,
                view_is_fresh: false,
                transferable: false,
                best_effort: false,
                transfer_to: None,
            });
        }
        machines
    }

    fn plan_fleet(&mut self) {
        let now = self.now;
        let Some(types) = self
            .fleet_planner
            .prices
            .clone()
            .or_else(|| self.cache.types.as_ref().map(|t| t.record.clone()))
        else {
            return;
        };
        let machines = self.fleet();
        let mut needs = Vec::new();
        for number in 0..self.partition_count() {
            let partition = PartitionId(number);
            let Some((load, at)) = self.fleet_planner.loads.get(&partition) else {
                continue;
            };
            if now.duration_since(*at) > Duration::from_millis(2_500) {
                continue;
            }
            let home_zone = self
                .nodes
                .get(number as usize)
                .map_or_else(|| self.settings.zone.clone(), |(_, zone)| zone.clone());
            needs.push(PartitionNeed {
                partition,
                home_zone,
                demand: load.demand.clone(),
            });
        }
        self.fleet_planner.refused.retain(|_, until| *until > now);
        let refused: HashMap<Offer, u32> = self
            .fleet_planner
            .refused
            .keys()
            .map(|offer| (offer.clone(), 0))
            .collect();
        let actions = autoscaler::plan(
            &self.tuning.fleet,
            &types.types,
            &machines,
            &needs,
            &refused,
        );
        for action in actions {
            match action {
                FleetAction::Rent {
                    machine_type,
                    zone,
                    spot,
                    count,
                    partition,
                } => {
                    if !self.fleet_planner.calls.take(now, 1.0, 0.0) {
                        continue;
                    }
                    self.fleet_planner.requests += 1;
                    // The incarnation is random, so the name is never used again.
                    let request = RentRequest {
                        request: format!(
                            "{}-{:x}-{}",
                            self.own_name(),
                            self.incarnation,
                            self.fleet_planner.requests
                        ),
                        machine_type,
                        zone: zone.to_string(),
                        spot,
                        count,
                    };
                    self.rent(request, partition);
                }
                FleetAction::TransferIdle { machine, to } => {
                    self.request_release(&machine, Some(to.0))
                }
                FleetAction::Return { machine } => self.request_release(&machine, None),
                FleetAction::TransferWhenEmpty {
                    from,
                    to,
                    shape,
                    count,
                } => {
                    self.request_transfer(MeshMessage::TransferMachines {
                        from: from.0,
                        to: to.0,
                        count,
                        shape,
                    });
                }
            }
        }
    }

    fn request_release(&mut self, machine: &MachineName, to: Option<u32>) {
        let now = self.now;
        if self
            .fleet_planner
            .asked
            .get(machine)
            .is_some_and(|at| now.duration_since(*at) < Duration::from_secs(2))
        {
            return;
        }
        self.fleet_planner.asked.insert(machine.clone(), now);
        let Some(record) = self.cache.machines.get(machine) else {
            return;
        };
        let Some(leader) = self
            .cache
            .partitions
            .get(&record.record.partition)
            .map(|p| p.record.leader.clone())
        else {
            return;
        };
        tracing::info!(%machine, ?to, "releasing an idle machine");
        if leader == *self.own_name() {
            self.handle_release_request(machine.as_str(), to);
        } else {
            self.mesh(
                &leader,
                MeshMessage::ReleaseMachine {
                    machine: machine.to_string(),
                    to,
                },
            );
        }
    }

    /// Asks a holder to hand over machines that are not empty yet.
    fn request_transfer(&mut self, message: MeshMessage) {
        let MeshMessage::TransferMachines { from, .. } = &message else {
            return;
        };
        let record = self.cache.partitions.get(&PartitionId(*from));
        let Some(leader) = record.map(|p| p.record.leader.clone()) else {
            return;
        };
        if leader == *self.own_name() {
            self.handle_transfer_request(&message);
        } else {
            self.mesh(&leader, message);
        }
    }
}
