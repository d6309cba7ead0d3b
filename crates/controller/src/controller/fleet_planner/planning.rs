//! Makes plans of the fleet and has them carried out by the cloud and by partition leaders.

use crate::controller::Controller;
use autoscaler::{FleetAction, Offer, PartitionNeed};
use model::{MachineName, PartitionId, Timestamp, ZoneName};
use std::collections::HashMap;
use std::time::Duration;
use wire::cloud::{MachineTypes, RentRequest};
use wire::mesh::MeshMessage;

/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// How long a partition leader has for giving up a machine before it is requested again.
const RELEASE_REQUEST_INTERVAL: Duration = Duration::from_secs(2);

/// When plans and their requests were made.
#[derive(Debug, Default)]
pub(super) struct PlanningState {
    last_plan_at: Timestamp,
    /// When each machine's partition leader was last requested to give it up.
    release_requested_at: HashMap<MachineName, Timestamp>,
    /// Rentals requested by this process, to name each of them.
    rental_count: u64,
}

impl PlanningState {
    /// Forgets a machine whose record is gone.
    pub(super) fn forget_machine(&mut self, name: &MachineName) {
        self.release_requested_at.remove(name);
    }
}

impl Controller {
    /// Plans the fleet and starts the planned actions if a plan is due.
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

    /// The machine types as last read from the cloud, or else as recorded.
    fn machine_types_with_prices(&self) -> Option<MachineTypes> {
        let recorded = self.cache.machine_types.as_ref().map(|types| &types.record);
        self.fleet_planner
            .machine_types
            .latest()
            .or(recorded)
            .cloned()
    }

    /// The demand of each partition whose status is fresh.
    fn partition_needs(&self) -> Vec<PartitionNeed> {
        (0..self.partition_count())
            .filter_map(|number| {
                let partition = PartitionId(number);
                let inventory = &self.fleet_planner.inventory;
                let status = inventory.fresh_status(partition, self.now)?;
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
                    idempotency_key: self.next_rental_id(),
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

    /// A name for a rental. The incarnation is random, so no name is ever used again.
    fn next_rental_id(&mut self) -> String {
        self.fleet_planner.planning.rental_count += 1;
        format!(
            "{}-{:x}-{}",
            self.own_name(),
            self.registration.incarnation(),
            self.fleet_planner.planning.rental_count
        )
    }

    /// Requests a partition leader to give an idle machine up: to another partition, or else back
    /// to the cloud.
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
        let Some(known) = self.cache.machines.get(machine) else {
            return;
        };
        let Some(leader) = self.leader_of(known.record.partition) else {
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

    /// Requests a partition leader to transfer machines once they are empty.
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
