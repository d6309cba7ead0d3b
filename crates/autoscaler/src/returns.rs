//! Returns of machines to the cloud.

use crate::machine::{FleetAction, FleetMachine};
use crate::planner::Planner;
use model::duration_from_secs;
use model::DurationExt;
use model::MachineName;
use std::collections::HashSet;
use std::time::Duration;

/// Boot time that is assumed for machines of unknown type.
const DEFAULT_BOOT_TIME: Duration = Duration::from_secs(60);

/// Time allowed for a machine's first heartbeat, in addition to the time after which a machine without
/// any is given up.
const FIRST_HEARTBEAT_ALLOWANCE: Duration = Duration::from_secs(10);

impl Planner<'_> {
    /// Returns machines that are surplus, did not boot, or are lost.
    pub(crate) fn return_machines(&mut self) {
        let idle: HashSet<&MachineName> = self
            .idle_machines
            .iter()
            .map(|machine| &machine.name)
            .collect();
        for machine in self
            .machines
            .iter()
            .filter(|machine| machine.status_is_recent && !machine.leaving)
        {
            let is_surplus = idle.contains(&machine.name) && self.is_surplus(machine);
            if is_surplus || self.failed_to_boot(machine) || self.is_lost(machine) {
                self.actions.push(FleetAction::Return {
                    machine: machine.name.clone(),
                });
            }
        }
    }

    /// Whether an idle machine has been idle for too long and is older than the minimum time that is
    /// billed.
    fn is_surplus(&self, machine: &FleetMachine) -> bool {
        machine.idle_for >= self.policy.keep_idle && machine.age >= self.policy.minimum_billing
    }

    /// Whether a machine without heartbeats should have booted long ago.
    fn failed_to_boot(&self, machine: &FleetMachine) -> bool {
        let boot_time = self
            .machine_type(&machine.machine_type)
            .map_or(DEFAULT_BOOT_TIME, |machine_type| {
                duration_from_secs(machine_type.boot_s)
            });
        let timeout =
            boot_time.saturating_times(self.policy.boot_timeout_factor) + FIRST_HEARTBEAT_ALLOWANCE;
        !machine.reporting && machine.observable_for > timeout
    }

    /// Whether a machine without tasks is quarantined, has failed, or no longer sends heartbeats.
    fn is_lost(&self, machine: &FleetMachine) -> bool {
        let is_faulty = machine.quarantined
            || machine.failed
            || machine.since_heartbeat >= self.policy.heartbeat_timeout;
        machine.tasks == 0 && is_faulty
    }
}
