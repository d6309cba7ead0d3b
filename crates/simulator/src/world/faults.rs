//! Injection of faults: what happens when a fault begins and when it ends.

use super::active_fault::ActiveFault;
use super::events::ScheduledEvent;
use super::scenario::{Fault, Mutation};
use super::World;
use crate::cloud::BootBehavior;
use crate::worker::MachineMemory;
use controller::UserRequest;
use rand::seq::SliceRandom;
use wire::state::{StateRequest, Transaction, Write};

/// A pause of a controller of at least this length counts as a stop of the leader of its partitions.
const LEADER_STOP_MS: u64 = 4_000;
/// Time after which users retry requests that a crashed controller left unanswered.
const RETRY_AFTER_CRASH_MS: u64 = 1_000;

/// The [`ActiveFault`] that a fault consists of, and its duration in ms. None for faults that act at one moment,
/// end by an event of their own, or concern machines that are chosen when the fault starts.
fn lasting_fault(fault: &Fault) -> Option<(ActiveFault, u64)> {
    Some(match *fault {
        Fault::DisconnectStateService {
            controller,
            duration_ms,
        } => (
            ActiveFault::StateServiceDisconnected(controller),
            duration_ms,
        ),
        Fault::RefuseStateRequests {
            controller,
            duration_ms,
        } => (ActiveFault::StateRequestsRefused(controller), duration_ms),
        Fault::DisconnectWorkers {
            controller,
            duration_ms,
        } => (ActiveFault::WorkersDisconnected(controller), duration_ms),
        Fault::DisconnectMesh {
            controller,
            duration_ms,
        } => (ActiveFault::MeshDisconnected(controller), duration_ms),
        Fault::PartitionZones { duration_ms } => (ActiveFault::ZonesPartitioned, duration_ms),
        Fault::IsolateZone { duration_ms } => (ActiveFault::ZoneIsolated, duration_ms),
        Fault::IsolateController {
            controller,
            duration_ms,
        } => (ActiveFault::UsersDisconnected(controller), duration_ms),
        Fault::DisconnectStateAndMesh {
            controller,
            duration_ms,
            refused: true,
        } => (
            ActiveFault::StateRequestsRefused(Some(controller)),
            duration_ms,
        ),
        Fault::DisconnectStateAndMesh {
            controller,
            duration_ms,
            refused: false,
        } => (
            ActiveFault::StateServiceDisconnected(controller),
            duration_ms,
        ),
        Fault::DropMessagesToZone { duration_ms } => (ActiveFault::ZoneUnreachable, duration_ms),
        Fault::DuplicateMessages { duration_ms } => (ActiveFault::DuplicatedMessages, duration_ms),
        Fault::SlowStateService {
            factor,
            duration_ms,
        } => (ActiveFault::SlowStateService(factor), duration_ms),
        Fault::DelayTransactions {
            percent,
            duration_ms,
        } => (ActiveFault::DelayedTransactions(percent), duration_ms),
        Fault::LongTasks {
            factor,
            duration_ms,
        } => (ActiveFault::LongTasks(factor), duration_ms),
        Fault::CloudOutage { duration_ms } => (ActiveFault::CloudOutage, duration_ms),
        Fault::ChangeBootBehavior { duration_ms, .. } => {
            (ActiveFault::ChangedBootBehavior, duration_ms)
        }
        Fault::SkewedLoad { duration_ms } => (ActiveFault::SkewedLoad, duration_ms),
        Fault::DropTransactionReplies {
            percent,
            duration_ms,
        } => (ActiveFault::LostTransactionReplies(percent), duration_ms),
        Fault::ReplayHeartbeats {
            percent,
            duration_ms,
        } => (ActiveFault::ReplayedHeartbeats(percent), duration_ms),
        Fault::DeliverOldHeartbeatsFirst {
            percent,
            cut_ms,
            duration_ms,
        } => (
            ActiveFault::OldHeartbeatsFirst(percent, cut_ms),
            duration_ms,
        ),
        Fault::HoldHeartbeats {
            percent,
            duration_ms,
        } => (ActiveFault::HeldHeartbeats(percent), duration_ms),
        Fault::DelayCommands {
            percent,
            duration_ms,
        } => (ActiveFault::DelayedCommands(percent), duration_ms),
        Fault::CopyLaunches { duration_ms } => (ActiveFault::CopiedLaunches, duration_ms),
        Fault::OneWayMeshPartition {
            from,
            to,
            duration_ms,
        } => (ActiveFault::OneWayMeshPartition(from, to), duration_ms),
        Fault::DuplicateMeshMessages {
            percent,
            duration_ms,
        } => (ActiveFault::DuplicatedMeshMessages(percent), duration_ms),
        Fault::SlowLinks {
            factor,
            duration_ms,
        } => (ActiveFault::SlowLinks(factor), duration_ms),
        Fault::FailingJobs { duration_ms } => (ActiveFault::FailingJobs, duration_ms),
        Fault::StatusRequestStorm { duration_ms } => (ActiveFault::StatusRequestStorm, duration_ms),
        Fault::FollowUpRequests { duration_ms } => (ActiveFault::FollowUpRequests, duration_ms),
        Fault::CancelAtCompletion {
            percent,
            duration_ms,
        } => (ActiveFault::CancelAtCompletion(percent), duration_ms),
        Fault::UnusualRequests { duration_ms } => (ActiveFault::UnusualRequests, duration_ms),
        Fault::OneTaskJobs { duration_ms } => (ActiveFault::OneTaskJobs, duration_ms),
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
        | Fault::SmallTasks { .. }
        | Fault::RestartMachines { .. }
        | Fault::CancelAllJobs { .. }
        | Fault::CancelRunningJobs { .. } => return None,
    })
}

/// Time from a machine's restart to its first heartbeat.
const RESTART_MS: u64 = 300;

impl World {
    /// Starts a fault: acts at once, and activates what lasts.
    pub(super) fn start_fault(&mut self, fault: Fault) {
        let lasting = lasting_fault(&fault);
        match fault {
            Fault::CrashController {
                controller,
                restart_after_ms,
            } => self.crash_controller(controller, restart_after_ms),
            Fault::CrashBeforeEffect { controller, nth } => self.crash_points.set(controller, nth),
            Fault::PauseController {
                controller,
                duration_ms,
            } => self.pause_controller(controller, duration_ms),
            Fault::CorruptLogPage {
                partition,
                duration_ms,
            } => self.corrupt_log_page(partition, duration_ms),
            Fault::IsolateZone { duration_ms } => {
                self.activate(ActiveFault::UsersDisconnected(1), duration_ms)
            }
            Fault::DisconnectStateAndMesh {
                controller,
                duration_ms,
                ..
            } => self.activate(ActiveFault::MeshDisconnected(controller), duration_ms),
            Fault::IsolateController {
                controller,
                duration_ms,
            } => {
                self.activate(
                    ActiveFault::StateServiceDisconnected(controller),
                    duration_ms,
                );
                self.activate(ActiveFault::WorkersDisconnected(controller), duration_ms);
                self.activate(ActiveFault::MeshDisconnected(controller), duration_ms);
            }
            Fault::ChangeBootBehavior { behavior, .. } => self.cloud.boot_behavior = behavior,
            Fault::JobBurst { jobs } => (0..jobs).for_each(|_| self.submit_random_job()),
            Fault::GuestJobs { jobs } => (0..jobs).for_each(|_| self.submit_guest_job()),
            Fault::SmallTasks { tasks } => self.submit_small_tasks(tasks),
            Fault::CancelAllJobs { controller } => self.cancel_all_jobs(controller),
            Fault::CancelRunningJobs { count, hang_ms } => self.cancel_running_jobs(count, hang_ms),
            Fault::UnusualRequests { .. } => {
                self.schedule(self.now + 1, ScheduledEvent::SendUnusualRequest)
            }
            Fault::OneTaskJobs { .. } => {
                self.schedule(self.now + 1, ScheduledEvent::SubmitOneTaskJob)
            }
            other => self.start_machine_fault(other),
        }
        if let Some((active_fault, duration_ms)) = lasting {
            self.activate(active_fault, duration_ms);
        }
    }

    /// Starts a fault of machines; ignores other faults.
    fn start_machine_fault(&mut self, fault: Fault) {
        let names: Vec<String> = self
            .workers
            .values()
            .filter(|worker| !worker.dead)
            .map(|worker| worker.name.clone())
            .collect();
        let machine_at =
            |machine_index: usize| names.get(machine_index % names.len().max(1)).cloned();
        match fault {
            Fault::DisconnectMachine {
                machine_index,
                duration_ms,
            } => {
                if let Some(name) = machine_at(machine_index) {
                    self.activate(ActiveFault::MachineDisconnected(name), duration_ms);
                }
            }
            Fault::HangMachine {
                machine_index,
                duration_ms,
            } => {
                if let Some(name) = machine_at(machine_index) {
                    self.hang_machine(name, duration_ms);
                }
            }
            Fault::CrashMachine { machine_index } => {
                if let Some(name) = machine_at(machine_index) {
                    self.crash_machine(&name);
                }
            }
            Fault::FailTasksOnMachine { machine_index } => {
                if let Some(name) = machine_at(machine_index) {
                    self.fail_all_tasks(&name);
                }
            }
            Fault::CrashMachines { count } => {
                for name in self.random_choice(&names, count) {
                    self.crash_machine(&name);
                }
            }
            Fault::RestartMachines { count, memory } => {
                for name in self.random_choice(&names, count) {
                    self.restart_machine(&name, memory);
                }
            }
            Fault::FailTasksOnMachines { count } => {
                for name in self.random_choice(&names, count) {
                    self.fail_all_tasks(&name);
                }
            }
            Fault::HangMachines { count, duration_ms } => {
                for name in self.random_choice(&names, count) {
                    self.hang_machine(name, duration_ms);
                }
            }
            Fault::DropMessagesToMachines { count, duration_ms } => {
                for name in self.random_choice(&names, count) {
                    self.activate(ActiveFault::MachineUnreachable(name), duration_ms);
                }
            }
            Fault::RefuseMachineConnections { count, duration_ms } => {
                for name in self.random_choice(&names, count) {
                    self.activate(ActiveFault::MachineConnectionsRefused(name), duration_ms);
                }
            }
            _ => {}
        }
    }

    /// Crashes a controller and schedules its restart. Users retry their unanswered requests, except for status
    /// requests.
    pub(super) fn crash_controller(&mut self, controller: usize, restart_after_ms: u64) {
        self.record_leader_stop(controller);
        if let Some(crashed) = self.controllers[controller].take() {
            self.early_failovers_of_crashed.0 += crashed.controller.counters.early_failovers;
            self.early_failovers_of_crashed.1 += crashed.controller.counters.false_failovers;
        }
        self.watches
            .retain(|watch| watch.key.controller != controller);
        for unanswered in self.open_requests.take_user_requests_to(controller) {
            if matches!(unanswered.request, UserRequest::Get(_)) {
                continue;
            }
            let retry = ScheduledEvent::SendRequest {
                request: unanswered.request,
                id: unanswered.id,
                attempts: unanswered.attempts + 1,
            };
            self.schedule(self.now + RETRY_AFTER_CRASH_MS, retry);
        }
        self.record_running_controllers();
        let restart = ScheduledEvent::StartController { controller };
        self.schedule(self.now + restart_after_ms, restart);
    }

    /// Pauses a controller and schedules its resumption.
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

    /// Overwrites the first page of a partition's placement log, and schedules the restoration of its value.
    fn corrupt_log_page(&mut self, partition: u32, ms: u64) {
        let key = format!("l/{partition}/0000");
        let Some(value) = self.state.value(&key).cloned() else {
            return;
        };
        self.write_directly(&key, serde_json::json!({ "round": "garbage" }));
        self.schedule(self.now + ms, ScheduledEvent::RestoreValue { key, value });
    }

    /// Ends a fault, and releases the messages that were held back.
    pub(super) fn end_fault(&mut self, fault: &ActiveFault) {
        self.network.deactivate(fault);
        if *fault == ActiveFault::StateRequestsRefused(None) {
            self.state.renew_all_leases(self.now);
        }
        if *fault == ActiveFault::ChangedBootBehavior {
            self.cloud.boot_behavior = BootBehavior::Usual;
        }
        self.schedule(self.now + 1, ScheduledEvent::ReleaseHeldMessages);
    }

    /// Writes a value to the state service as no controller would.
    pub(super) fn write_directly(&mut self, key: &str, value: serde_json::Value) {
        let txn = Transaction::default().write(Write::put(key, value));
        self.state
            .execute(self.now, &StateRequest::Transaction(txn));
        self.answer_watches();
    }

    /// Activates a fault for some time.
    pub(super) fn activate(&mut self, fault: ActiveFault, duration_ms: u64) {
        self.network.activate(fault.clone());
        self.schedule(self.now + duration_ms, ScheduledEvent::EndFault(fault));
    }

    /// Lets a machine hang; messages from and to it are held back meanwhile.
    pub(super) fn hang_machine(&mut self, name: String, duration_ms: u64) {
        let until = self.now + duration_ms;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.hung_until = until;
            worker.ignores_stops = self.plan.mutation == Some(Mutation::HungMachinesIgnoreStops);
        }
        self.activate(ActiveFault::MachineDisconnected(name), duration_ms);
    }

    /// Lets a machine fail every task from now on.
    pub(super) fn fail_all_tasks(&mut self, name: &str) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.fails_all_tasks = true;
        }
    }

    /// Chooses up to `count` of the names at random.
    pub(super) fn random_choice(&mut self, names: &[String], count: usize) -> Vec<String> {
        let mut names = names.to_vec();
        names.shuffle(&mut self.rng);
        names.truncate(count);
        names
    }

    /// Crashes a machine with all its tasks for good.
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

    /// Restarts the worker of a machine, which is down for [`RESTART_MS`].
    fn restart_machine(&mut self, name: &str, memory: MachineMemory) {
        if let Some(worker) = self.workers.get_mut(name) {
            self.coverage.tasks_lost_by_restarts += worker.restart(memory, self.now + RESTART_MS);
        }
    }

    /// Whether the state service refuses the requests of a controller.
    pub(super) fn refuses_state_requests(&self, controller: usize) -> bool {
        self.network.any_active(
            |fault| matches!(fault, ActiveFault::StateRequestsRefused(n) if n.is_none_or(|n| n == controller)),
        )
    }

    /// Whether the state service refuses all requests; leases do not expire meanwhile.
    pub(super) fn is_state_service_down(&self) -> bool {
        self.network
            .is_active(&ActiveFault::StateRequestsRefused(None))
    }
}
