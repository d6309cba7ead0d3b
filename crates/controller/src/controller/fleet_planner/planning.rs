//! Makes plans for the fleet and carries them out by requests to the cloud and to partition leaders.

use crate::controller::Controller;
use autoscaler::{FleetAction, Offer, PartitionNeed};
use model::{MachineName, PartitionId, Timestamp, ZoneName};
use std::collections::HashMap;
use std::time::Duration;
use wire::cloud::{MachineTypes, RentRequest};
use wire::mesh::MeshMessage;

/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// How long a partition leader has to give up a machine before it is requested to do so again.
const RELEASE_REQUEST_INTERVAL: Duration = Duration::from_secs(2);

/// When the last plan was made, and which requests of plans have been sent.
#[derive(Debug, Default)]
pub(super) struct PlanningState {
    last_plan_at: Timestamp,
    /// When the partition leader of each machine was last requested to give the machine up.
    release_requested_at: HashMap<MachineName, Timestamp>,
    /// Number of rentals that this process has requested. It makes their idempotency keys unique.
    rental_count: u64,
}

impl PlanningState {
    /// Forgets a machine whose record has been deleted.
    pub(super) fn forget_machine(&mut self, name: &MachineName) {
        self.release_requested_at.remove(name);
    }
}

impl Controller {
    /// Makes a plan for the fleet if one is due, and starts its actions.
    pub(super) fn plan_fleet(&mut self) {
        let now = self.now;
        let planning = &mut self.fleet_planner.planning;
        if now.duration_since(planning.last_plan_at) < PLAN_INTERVAL {
            return;
        }
        planning.last_plan_at = now;
        let Some(types) = self.machine_types_with_prices() else {
            return;
        };
        let planner = &mut self.fleet_planner;
        let machines =
            planner
                .inventory
                .fleet(&self.cache.machines, planner.cloud.open_rentals(), now);
        let needs = self.partition_needs();
        let refused: HashMap<Offer, u32> = self
            .fleet_planner
            .cloud
            .refused_offers(now)
            .map(|offer| (offer.clone(), 0))
            .collect();
        let policy = &self.tuning.fleet;
        for action in autoscaler::plan(policy, &types.types, &machines, &needs, &refused) {
            self.start_fleet_action(action);
        }
    }

    /// The machine types as this controller last read them from the cloud, or else as they are recorded.
    fn machine_types_with_prices(&self) -> Option<MachineTypes> {
        let recorded = self.cache.machine_types.as_ref().map(|types| &types.record);
        self.fleet_planner
            .machine_types
            .latest()
            .or(recorded)
            .cloned()
    }

    /// The demand of each partition whose status is recent.
    fn partition_needs(&self) -> Vec<PartitionNeed> {
        (0..self.partition_count())
            .filter_map(|number| {
                let partition = PartitionId(number);
                let inventory = &self.fleet_planner.inventory;
                let status = inventory.recent_status(partition, self.now)?;
                Some(PartitionNeed {
                    partition,
                    preferred_zone: self.preferred_zone(number),
                    demand: status.demand.clone(),
                })
            })
            .collect()
    }

    /// The zone of a partition's preferred leader.
    fn preferred_zone(&self, partition: u32) -> ZoneName {
        self.controllers
            .get(partition as usize)
            .map_or_else(|| self.settings.zone.clone(), |(_, zone)| zone.clone())
    }

    fn start_fleet_action(&mut self, action: FleetAction) {
        match action {
            FleetAction::Rent {
                machine_type,
                zone,
                spot,
                count,
                partition,
            } => {
                if !self.fleet_planner.cloud.take_call(self.now) {
                    return;
                }
                let request = RentRequest {
                    idempotency_key: self.next_rental_key(),
                    machine_type,
                    zone: zone.to_string(),
                    spot,
                    count,
                };
                self.rent_machines(request, partition);
            }
            FleetAction::TransferIdle { machine, to } => {
                self.request_machine_release(&machine, Some(to))
            }
            FleetAction::Return { machine } => self.request_machine_release(&machine, None),
            FleetAction::TransferWhenEmpty {
                from,
                to,
                shape,
                count,
            } => {
                let message = MeshMessage::TransferMachines {
                    from: from.0,
                    to: to.0,
                    count,
                    shape,
                };
                self.request_machine_transfer(from, message);
            }
        }
    }

    /// A new idempotency key for a rental. It contains this controller's incarnation, which is random, so
    /// no key is used twice.
    fn next_rental_key(&mut self) -> String {
        self.fleet_planner.planning.rental_count += 1;
        format!(
            "{}-{:x}-{}",
            self.own_name(),
            self.registration.incarnation(),
            self.fleet_planner.planning.rental_count
        )
    }

    /// Requests a partition leader to give up an idle machine: to the partition `to`, or to the cloud if
    /// there is none.
    fn request_machine_release(&mut self, machine: &MachineName, to: Option<PartitionId>) {
        let now = self.now;
        let requested_at = &mut self.fleet_planner.planning.release_requested_at;
        let is_recent = requested_at
            .get(machine)
            .is_some_and(|at| now.duration_since(*at) < RELEASE_REQUEST_INTERVAL);
        if is_recent {
            return;
        }
        requested_at.insert(machine.clone(), now);
        let Some(cached) = self.cache.machines.get(machine) else {
            return;
        };
        let Some(leader) = self.leader_of(cached.record.partition) else {
            return;
        };
        let to = to.map(|partition| partition.0);
        tracing::info!(%machine, ?to, "release of idle machine requested");
        if leader == *self.own_name() {
            self.handle_release_request(machine.as_str(), to);
        } else {
            let machine = machine.to_string();
            self.send_to_peer(&leader, MeshMessage::ReleaseMachine { machine, to });
        }
    }

    /// Requests a partition leader to transfer machines to another partition once they are empty.
    fn request_machine_transfer(&mut self, from: PartitionId, message: MeshMessage) {
        let Some(leader) = self.leader_of(from) else {
            return;
        };
        if leader == *self.own_name() {
            self.handle_transfer_request(&message);
        } else {
            self.send_to_peer(&leader, message);
        }
    }
}
