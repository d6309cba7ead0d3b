//! Injection of faults.

use super::events::ScheduledEvent;
use super::network::ActiveFault;
use super::scenario::{Fault, Mutation};
use super::World;
use crate::cloud::BootBehavior;
use controller::UserRequest;
use rand::seq::SliceRandom;
use wire::state::{StateRequest, Transaction, Write};

/// A pause of at least this length, in ms, counts as a stop of the partitions' leader.
const LEADER_STOP_MS: u64 = 4_000;
/// Time after which users retry requests to a controller that has crashed, in ms.
const RETRY_AFTER_CRASH_MS: u64 = 1_000;

/// The state that a fault keeps active for some time, with that time in ms; none for other faults.
fn lasting_fault(fault: &Fault) -> Option<(ActiveFault, u64)> {
    Some(match *fault {
        Fault::DisconnectStateService { controller, ms } => {
            (ActiveFault::StateServiceDisconnected(controller), ms)
        }
        Fault::RefuseStateRequests { controller, ms } => {
            (ActiveFault::StateRequestsRefused(controller), ms)
        }
        Fault::DisconnectWorkers { controller, ms } => {
            (ActiveFault::WorkersDisconnected(controller), ms)
        }
        Fault::DisconnectMesh { controller, ms } => (ActiveFault::MeshDisconnected(controller), ms),
        Fault::PartitionZones { ms } => (ActiveFault::ZonesPartitioned, ms),
        Fault::IsolateZone { ms } => (ActiveFault::ZoneIsolated, ms),
        Fault::IsolateController { controller, ms } => {
            (ActiveFault::UsersDisconnected(controller), ms)
        }
        Fault::DisconnectStateAndMesh {
            controller,
            ms,
            refused: true,
        } => (ActiveFault::StateRequestsRefused(Some(controller)), ms),
        Fault::DisconnectStateAndMesh {
            controller,
            ms,
            refused: false,
        } => (ActiveFault::StateServiceDisconnected(controller), ms),
        Fault::DropMessagesToZone { ms } => (ActiveFault::ZoneUnreachable, ms),
        Fault::DuplicateMessages { ms } => (ActiveFault::DuplicatedMessages, ms),
        Fault::SlowStateService { times, ms } => (ActiveFault::SlowStateService(times), ms),
        Fault::DelayTransactions { percent, ms } => (ActiveFault::DelayedTransactions(percent), ms),
        Fault::LongTasks { times, ms } => (ActiveFault::LongTasks(times), ms),
        Fault::CloudOutage { ms } => (ActiveFault::CloudOutage, ms),
        Fault::ChangeBootBehavior { ms, .. } => (ActiveFault::ChangedBootBehavior, ms),
        Fault::SkewedLoad { ms } => (ActiveFault::SkewedLoad, ms),
        Fault::DropTransactionReplies { percent, ms } => {
            (ActiveFault::LostTransactionReplies(percent), ms)
        }
        Fault::ReplayHeartbeats { percent, ms } => (ActiveFault::ReplayedHeartbeats(percent), ms),
        Fault::HoldHeartbeats { percent, ms } => (ActiveFault::HeldHeartbeats(percent), ms),
        Fault::DelayCommands { percent, ms } => (ActiveFault::DelayedCommands(percent), ms),
        Fault::OneWayMeshPartition { from, to, ms } => {
            (ActiveFault::OneWayMeshPartition(from, to), ms)
        }
        Fault::DuplicateMeshMessages { percent, ms } => {
            (ActiveFault::DuplicatedMeshMessages(percent), ms)
        }
        Fault::SlowLinks { times, ms } => (ActiveFault::SlowLinks(times), ms),
        Fault::FailingJobs { ms } => (ActiveFault::FailingJobs, ms),
        Fault::StatusRequestStorm { ms } => (ActiveFault::StatusRequestStorm, ms),
        Fault::FollowUpRequests { ms } => (ActiveFault::FollowUpRequests, ms),
        Fault::CancelAtCompletion { percent, ms } => (ActiveFault::CancelAtCompletion(percent), ms),
        Fault::UnusualRequests { ms } => (ActiveFault::UnusualRequests, ms),
        Fault::OneTaskJobs { ms } => (ActiveFault::OneTaskJobs, ms),
        Fault::CrashController { .. }
        | Fault::CrashBeforeEffect { .. }
        | Fault::PauseController { .. }
        | Fault::CorruptLogPage { .. }
        | Fault::DisconnectMachine { .. }
        | Fault::HangMachine { .. }
        | Fault::HangMachines { .. }
        | Fault::CrashMachine { .. }
        | Fault::CrashMachines { .. }
        | Fault::FailTasksOnMachine { .. }
        | Fault::FailTasksOnMachines { .. }
        | Fault::DropMessagesToMachines { .. }
        | Fault::RefuseMachineConnections { .. }
        | Fault::JobBurst { .. }
        | Fault::GuestJobs { .. }
        | Fault::CancelAllJobs { .. }
        | Fault::CancelRunningJobs { .. } => return None,
    })
}

impl World {
    /// A fault begins.
    pub(super) fn start_fault(&mut self, fault: Fault) {
        let lasting = lasting_fault(&fault);
        match fault {
            Fault::CrashController {
                controller,
                restart_after_ms,
            } => self.crash_controller(controller, restart_after_ms),
            Fault::CrashBeforeEffect { controller, nth } => self.crash_points.set(controller, nth),
            Fault::PauseController { controller, ms } => self.pause_controller(controller, ms),
            Fault::CorruptLogPage { partition, ms } => self.corrupt_log_page(partition, ms),
            Fault::IsolateZone { ms } => self.activate(ActiveFault::UsersDisconnected(1), ms),
            Fault::DisconnectStateAndMesh { controller, ms, .. } => {
                self.activate(ActiveFault::MeshDisconnected(controller), ms)
            }
            Fault::IsolateController { controller, ms } => {
                self.activate(ActiveFault::StateServiceDisconnected(controller), ms);
                self.activate(ActiveFault::WorkersDisconnected(controller), ms);
                self.activate(ActiveFault::MeshDisconnected(controller), ms);
            }
            Fault::ChangeBootBehavior { behavior, .. } => self.cloud.boots = behavior,
            Fault::JobBurst { jobs } => (0..jobs).for_each(|_| self.new_job()),
            Fault::GuestJobs { jobs } => (0..jobs).for_each(|_| self.guest_job()),
            Fault::CancelAllJobs { through } => self.cancel_all(through),
            Fault::CancelRunningJobs { count, hang_ms } => self.cancel_now(count, hang_ms),
            Fault::UnusualRequests { .. } => {
                self.schedule(self.now + 1, ScheduledEvent::SendUnusualRequest)
            }
            Fault::OneTaskJobs { .. } => {
                self.schedule(self.now + 1, ScheduledEvent::SubmitOneTaskJob)
            }
            other => self.start_machine_fault(other),
        }
        if let Some((active, ms)) = lasting {
            self.activate(active, ms);
        }
    }

    /// A fault of machines begins; other faults are ignored.
    fn start_machine_fault(&mut self, fault: Fault) {
        let names: Vec<String> = self
            .workers
            .values()
            .filter(|worker| !worker.dead)
            .map(|worker| worker.name.clone())
            .collect();
        let pick = |nth: usize| names.get(nth % names.len().max(1)).cloned();
        match fault {
            Fault::DisconnectMachine { nth, ms } => {
                if let Some(name) = pick(nth) {
                    self.activate(ActiveFault::MachineDisconnected(name), ms);
                }
            }
            Fault::HangMachine { nth, ms } => {
                if let Some(name) = pick(nth) {
                    self.hang(name, ms);
                }
            }
            Fault::CrashMachine { nth } => {
                if let Some(name) = pick(nth) {
                    self.crash_machine(&name);
                }
            }
            Fault::FailTasksOnMachine { nth } => {
                if let Some(name) = pick(nth) {
                    self.fail_all_tasks(&name);
                }
            }
            Fault::CrashMachines { count } => {
                for name in self.random_choice(&names, count) {
                    self.crash_machine(&name);
                }
            }
            Fault::FailTasksOnMachines { count } => {
                for name in self.random_choice(&names, count) {
                    self.fail_all_tasks(&name);
                }
            }
            Fault::HangMachines { count, ms } => {
                for name in self.random_choice(&names, count) {
                    self.hang(name, ms);
                }
            }
            Fault::DropMessagesToMachines { count, ms } => {
                for name in self.random_choice(&names, count) {
                    self.activate(ActiveFault::MachineUnreachable(name), ms);
                }
            }
            Fault::RefuseMachineConnections { count, ms } => {
                for name in self.random_choice(&names, count) {
                    self.activate(ActiveFault::MachineConnectionsRefused(name), ms);
                }
            }
            _ => {}
        }
    }

    /// Crashes a controller; users retry their unanswered requests.
    pub(super) fn crash_controller(&mut self, controller: usize, restart_after_ms: u64) {
        self.record_leader_stop(controller);
        if let Some(crashed) = self.controllers[controller].take() {
            self.early.0 += crashed.controller.counters.early_failovers;
            self.early.1 += crashed.controller.counters.false_failovers;
        }
        self.watches
            .retain(|watch| watch.key.controller != controller);
        for lost in self.open_requests.take_user_requests_to(controller) {
            if matches!(lost.request, UserRequest::Get(_)) {
                continue;
            }
            let retry = ScheduledEvent::SendRequest {
                request: lost.request,
                id: lost.id,
                tries: lost.tries + 1,
            };
            self.schedule(self.now + RETRY_AFTER_CRASH_MS, retry);
        }
        let restart = ScheduledEvent::StartController { controller };
        self.schedule(self.now + restart_after_ms, restart);
    }

    fn pause_controller(&mut self, controller: usize, ms: u64) {
        if ms >= LEADER_STOP_MS {
            self.record_leader_stop(controller);
        }
        let Some(running) = self.controllers[controller].as_mut() else {
            return;
        };
        running.paused.get_or_insert_default();
        let incarnation = running.incarnation;
        let resume = ScheduledEvent::ResumeController {
            controller,
            incarnation,
        };
        self.schedule(self.now + ms, resume);
    }

    fn corrupt_log_page(&mut self, partition: u32, ms: u64) {
        let key = format!("l/{partition}/0000");
        let Some(value) = self.state.value(&key).cloned() else {
            return;
        };
        self.write_directly(&key, serde_json::json!({ "round": "garbage" }));
        self.schedule(self.now + ms, ScheduledEvent::RestoreValue { key, value });
    }

    /// A fault ends.
    pub(super) fn end_fault(&mut self, fault: &ActiveFault) {
        self.network.deactivate(fault);
        if *fault == ActiveFault::StateRequestsRefused(None) {
            self.state.refresh_leases(self.now);
        }
        if *fault == ActiveFault::ChangedBootBehavior {
            self.cloud.boots = BootBehavior::Usual;
        }
        self.schedule(self.now + 1, ScheduledEvent::ReleaseHeldMessages);
    }

    /// Writes a value without the controllers.
    pub(super) fn write_directly(&mut self, key: &str, value: serde_json::Value) {
        let txn = Transaction::default().write(Write::put(key, value));
        self.state
            .execute(self.now, &StateRequest::Transaction(txn));
        self.answer_watches();
    }

    /// Activates a fault for a time.
    pub(super) fn activate(&mut self, fault: ActiveFault, ms: u64) {
        self.network.activate(fault.clone());
        self.schedule(self.now + ms, ScheduledEvent::EndFault(fault));
    }

    /// A machine hangs: messages to it are held back meanwhile.
    pub(super) fn hang(&mut self, name: String, ms: u64) {
        let until = self.now + ms;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.hangs_until = until;
            worker.ignores_stops = self.plan.mutation == Some(Mutation::HungMachinesIgnoreStops);
        }
        self.activate(ActiveFault::MachineDisconnected(name), ms);
    }

    /// A machine fails every task from now on.
    pub(super) fn fail_all_tasks(&mut self, name: &str) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.fails_all_tasks = true;
        }
    }

    /// A random choice of the names.
    pub(super) fn random_choice(&mut self, names: &[String], count: usize) -> Vec<String> {
        let mut names = names.to_vec();
        names.shuffle(&mut self.rng);
        names.truncate(count);
        names
    }

    pub(super) fn crash_machine(&mut self, name: &str) {
        if let Some(machine) = self.cloud.machines.get_mut(name) {
            machine.gone_at.get_or_insert(self.now);
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.dead = true;
            worker.crashed_with_tasks = !worker.tasks.is_empty();
            worker.tasks.clear();
        }
        self.failovers.record_machine_loss(name, self.now);
    }

    pub(super) fn refuses(&self, controller: usize) -> bool {
        self.network.any_active(
            |c| matches!(c, ActiveFault::StateRequestsRefused(n) if n.is_none_or(|n| n == controller)),
        )
    }

    pub(super) fn outage(&self) -> bool {
        self.network
            .is_active(&ActiveFault::StateRequestsRefused(None))
    }
}
