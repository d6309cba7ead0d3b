//! Capacity of incoming machines: those that boot, are being transferred, or are about to be rented.

use crate::machine::FleetMachine;
use crate::pending::PendingWork;
use model::DurationExt;
use model::{Resources, ZoneName};
use std::time::Duration;
use wire::cloud::MachineType;

/// A machine's whole time within the planning horizon, in millionths.
const WHOLE_HORIZON_PPM: u64 = 1_000_000;

/// A machine that will soon be able to run tasks, and what is left of it for waiting work.
pub(crate) struct IncomingMachine {
    pub(crate) machine_type: String,
    pub(crate) zone: ZoneName,
    pub(crate) spot: bool,
    /// Resources that are not yet assigned to services and gangs.
    pub(crate) free: Resources,
    /// Part of its time within the planning horizon that is not yet assigned to array work, in
    /// millionths.
    time_left_ppm: u64,
}

/// All resources of a machine of this type.
pub(crate) fn capacity_of(machine_type: &MachineType) -> Resources {
    Resources::offered(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
}

impl IncomingMachine {
    /// A machine of this type without any work assigned.
    pub(crate) fn new(machine_type: &MachineType, zone: ZoneName, spot: bool) -> Self {
        IncomingMachine {
            machine_type: machine_type.name.clone(),
            zone,
            spot,
            free: capacity_of(machine_type),
            time_left_ppm: WHOLE_HORIZON_PPM,
        }
    }

    /// An existing machine as it will be once it is empty.
    pub(crate) fn emptied(machine: &FleetMachine, machine_type: &MachineType) -> Self {
        IncomingMachine::new(machine_type, machine.zone.clone(), machine.spot)
    }

    /// Assigns as many waiting tasks as possible and returns their number. Concurrent work, such as
    /// services and gangs, takes resources. Other array work takes time within the horizon, and gets at
    /// least one task per slot.
    pub(crate) fn assign(&mut self, work: &PendingWork<'_>, horizon: Duration) -> u64 {
        if work.waiting == 0 || !work.task_size.fits(&self.free) {
            return 0;
        }
        let slots = self.free.how_many_fit(&work.task_size);
        if work.concurrent {
            let assigned = slots.min(work.waiting);
            self.free -= work.task_size.times(assigned);
            return assigned;
        }
        if self.time_left_ppm == 0 {
            return 0;
        }
        // The scarcest resource limits how many tasks run at the same time.
        let task_time_ppm =
            (WHOLE_HORIZON_PPM * work.task_ms / (slots * horizon.whole_millis()).max(1)).max(1);
        let assigned = (self.time_left_ppm / task_time_ppm)
            .max(slots)
            .min(work.waiting);
        self.time_left_ppm = self.time_left_ppm.saturating_sub(assigned * task_time_ppm);
        assigned
    }
}
