//! Machines that are returned to the cloud.

use crate::machine::{FleetAction, FleetMachine};
use crate::planner::Planner;
use model::duration_from_secs;
use model::DurationExt;
use model::MachineName;
use std::collections::HashSet;
use std::time::Duration;

/// Boot time of machines whose type is not known.
const DEFAULT_BOOT_TIME: Duration = Duration::from_secs(60);

/// Added to the time after which a machine that has never reported is given up.
const FIRST_REPORT_ALLOWANCE: Duration = Duration::from_secs(10);

impl Planner<'_> {
    /// Returns machines that are of no further use.
    pub(crate) fn return_machines(&mut self) {
        let idle: HashSet<&MachineName> = self
            .idle_machines
            .iter()
            .map(|machine| &machine.name)
            .collect();
        for machine in self
            .machines
            .iter()
            .filter(|m| m.status_is_recent && !m.leaving)
        {
            let surplus = idle.contains(&machine.name) && self.is_surplus(machine);
            if surplus || self.never_reported(machine) || self.is_lost(machine) {
                self.actions.push(FleetAction::Return {
                    machine: machine.name.clone(),
                });
            }
        }
    }

    /// Whether an idle machine has been idle for too long, and its minimum time is over.
    fn is_surplus(&self, machine: &FleetMachine) -> bool {
        machine.idle_for >= self.policy.keep_idle && machine.age >= self.policy.minimum_billing
    }

    /// Whether it should have booted and reported long ago.
    fn never_reported(&self, machine: &FleetMachine) -> bool {
        let boot_time = self
            .machine_type(&machine.machine_type)
            .map_or(DEFAULT_BOOT_TIME, |machine_type| {
                duration_from_secs(machine_type.boot_s)
            });
        let limit =
            boot_time.saturating_times(self.policy.boot_timeout_factor) + FIRST_REPORT_ALLOWANCE;
        !machine.reporting && machine.observable_for > limit
    }

    /// Whether it runs nothing and is faulty, failed or no longer reports.
    fn is_lost(&self, machine: &FleetMachine) -> bool {
        let stopped = machine.quarantined
            || machine.failed
            || machine.since_heartbeat >= self.policy.report_timeout;
        machine.tasks == 0 && stopped
    }
}
