//! Injection of faults.

use super::events::{PendingRequest, ScheduledEvent};
use super::network::ActiveFault;
use super::scenario::{Fault, Mutation};
use super::World;
use controller::UserRequest;
use rand::seq::SliceRandom;
use wire::state::{StateRequest, Transaction, Write};

impl World {
    pub(super) fn fault(&mut self, fault: Fault) {
        let names: Vec<String> = self
            .workers
            .values()
            .filter(|w| !w.dead)
            .map(|w| w.name.clone())
            .collect();
        let pick = |nth: usize| names.get(nth % names.len().max(1)).cloned();
        let (cut, ms) = match fault {
            Fault::CrashController {
                controller,
                restart_after_ms,
            } => {
                self.record_leader_stop(controller);
                if let Some(ended) = self.controllers[controller].take() {
                    self.early.0 += ended.controller.counters.early_takeovers;
                    self.early.1 += ended.controller.counters.wrong_takeovers;
                }
                self.watches
                    .retain(|watch| watch.key.controller != controller);
                // Users retry requests that have not been answered.
                for lost in self.open_requests.take_user_requests_to(controller) {
                    let PendingRequest {
                        request, id, tries, ..
                    } = lost;
                    if !matches!(request, UserRequest::Get(_)) {
                        let what = ScheduledEvent::SendRequest {
                            request,
                            id,
                            tries: tries + 1,
                        };
                        self.schedule(self.now + 1_000, what);
                    }
                }
                self.schedule(
                    self.now + restart_after_ms,
                    ScheduledEvent::StartController { controller },
                );
                return;
            }
            Fault::HangMachine { nth, ms } => {
                if let Some(name) = pick(nth) {
                    self.hang(name, ms);
                }
                return;
            }
            Fault::CrashMachine { nth } => {
                if let Some(name) = pick(nth) {
                    self.crash_machine(&name);
                }
                return;
            }
            Fault::FailTasksOnMachine { nth } => {
                if let Some(name) = pick(nth) {
                    self.fail_all_tasks(&name);
                }
                return;
            }
            Fault::JobBurst { jobs } => {
                (0..jobs).for_each(|_| self.new_job());
                return;
            }
            Fault::CrashMachines { count } => {
                self.random_choice(&names, count)
                    .iter()
                    .for_each(|name| self.crash_machine(name));
                return;
            }
            Fault::FailTasksOnMachines { count } => {
                self.random_choice(&names, count)
                    .iter()
                    .for_each(|name| self.fail_all_tasks(name));
                return;
            }
            Fault::HangMachines { count, ms } => {
                for name in self.random_choice(&names, count) {
                    self.hang(name, ms);
                }
                return;
            }
            Fault::IsolateZone { ms } => {
                self.activate(ActiveFault::UsersDisconnected(1), ms);
                (ActiveFault::ZoneIsolated, ms)
            }
            Fault::DropMessagesToMachines { count, ms } => {
                for name in self.random_choice(&names, count) {
                    self.activate(ActiveFault::MachineUnreachable(name), ms);
                }
                return;
            }
            Fault::DropMessagesToZone { ms } => (ActiveFault::ZoneUnreachable, ms),
            Fault::DuplicateMessages { ms } => (ActiveFault::DuplicatedMessages, ms),
            Fault::DisconnectStateAndMesh {
                controller,
                ms,
                refused,
            } => {
                self.activate(ActiveFault::MeshDisconnected(controller), ms);
                (
                    if refused {
                        ActiveFault::StateRequestsRefused(Some(controller))
                    } else {
                        ActiveFault::StateServiceDisconnected(controller)
                    },
                    ms,
                )
            }
            Fault::SlowStateService { times, ms } => (ActiveFault::SlowStateService(times), ms),
            Fault::CrashBeforeEffect { controller, nth } => {
                self.crash_points.set(controller, nth);
                return;
            }
            Fault::DelayTransactions { percent, ms } => {
                (ActiveFault::DelayedTransactions(percent), ms)
            }
            Fault::LongTasks { times, ms } => (ActiveFault::LongTasks(times), ms),
            Fault::CancelAllJobs { through } => {
                self.cancel_all(through);
                return;
            }
            Fault::CorruptLogPage { partition, ms } => {
                let key = format!("l/{partition}/0000");
                if let Some(value) = self.state.value(&key).cloned() {
                    self.write_directly(&key, serde_json::json!({ "round": "garbage" }));
                    self.schedule(self.now + ms, ScheduledEvent::RestoreValue { key, value });
                }
                return;
            }
            Fault::DisconnectStateService { controller, ms } => {
                (ActiveFault::StateServiceDisconnected(controller), ms)
            }
            Fault::RefuseStateRequests { controller, ms } => {
                (ActiveFault::StateRequestsRefused(controller), ms)
            }
            Fault::DisconnectWorkers { controller, ms } => {
                (ActiveFault::WorkersDisconnected(controller), ms)
            }
            Fault::DisconnectMesh { controller, ms } => {
                (ActiveFault::MeshDisconnected(controller), ms)
            }
            Fault::PartitionZones { ms } => (ActiveFault::ZonesPartitioned, ms),
            Fault::DisconnectMachine { nth, ms } => match pick(nth) {
                Some(name) => (ActiveFault::MachineDisconnected(name), ms),
                None => return,
            },
            Fault::CloudOutage { ms } => (ActiveFault::CloudOutage, ms),
            Fault::PauseController { controller, ms } => {
                if ms >= 4_000 {
                    self.record_leader_stop(controller);
                }
                if let Some(running) = self.controllers[controller].as_mut() {
                    running.paused.get_or_insert_default();
                    let incarnation = running.incarnation;
                    self.schedule(
                        self.now + ms,
                        ScheduledEvent::ResumeController {
                            controller,
                            incarnation,
                        },
                    );
                }
                return;
            }
            Fault::IsolateController { controller, ms } => {
                for cut in [
                    ActiveFault::StateServiceDisconnected(controller),
                    ActiveFault::WorkersDisconnected(controller),
                    ActiveFault::MeshDisconnected(controller),
                ] {
                    self.activate(cut, ms);
                }
                (ActiveFault::UsersDisconnected(controller), ms)
            }
            Fault::GuestJobs { jobs } => {
                (0..jobs).for_each(|_| self.guest_job());
                return;
            }
            Fault::ChangeBootBehavior { behavior, ms } => {
                self.cloud.boots = behavior;
                (ActiveFault::ChangedBootBehavior, ms)
            }
            Fault::SkewedLoad { ms } => (ActiveFault::SkewedLoad, ms),
            Fault::RefuseMachineConnections { count, ms } => {
                for name in self.random_choice(&names, count) {
                    self.activate(ActiveFault::MachineConnectionsRefused(name), ms);
                }
                return;
            }
            Fault::DropTransactionReplies { percent, ms } => {
                (ActiveFault::LostTransactionReplies(percent), ms)
            }
            Fault::ReplayHeartbeats { percent, ms } => {
                (ActiveFault::ReplayedHeartbeats(percent), ms)
            }
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
            Fault::CancelAtCompletion { percent, ms } => {
                (ActiveFault::CancelAtCompletion(percent), ms)
            }
            Fault::UnusualRequests { ms } => {
                self.schedule(self.now + 1, ScheduledEvent::SendUnusualRequest);
                (ActiveFault::UnusualRequests, ms)
            }
            Fault::OneTaskJobs { ms } => {
                self.schedule(self.now + 1, ScheduledEvent::SubmitOneTaskJob);
                (ActiveFault::OneTaskJobs, ms)
            }
            Fault::CancelRunningJobs { count, hang_ms } => {
                self.cancel_now(count, hang_ms);
                return;
            }
        };
        self.activate(cut, ms);
    }

    /// Writes a value without the controllers.
    pub(super) fn write_directly(&mut self, key: &str, value: serde_json::Value) {
        let txn = Transaction::default().write(Write::put(key, value));
        self.state
            .execute(self.now, &StateRequest::Transaction(txn));
        self.answer_watches();
    }

    /// Activates a fault for a time.
    pub(super) fn activate(&mut self, cut: ActiveFault, ms: u64) {
        self.network.activate(cut.clone());
        self.schedule(self.now + ms, ScheduledEvent::EndFault(cut));
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
