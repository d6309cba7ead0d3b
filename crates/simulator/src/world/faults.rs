//! Troubles at a time, and what is cut meanwhile.

use super::*;

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
            Fault::CrashController { node, back } => {
                self.record_leader_stop(node);
                if let Some(ended) = self.nodes[node].take() {
                    self.early.0 += ended.node.counters.early_takeovers;
                    self.early.1 += ended.node.counters.wrong_takeovers;
                }
                self.watches.retain(|w| w.0 != node);
                // Users repeat what has not been answered.
                let lost: Vec<_> = self
                    .user_requests
                    .extract_if(|key, _| key.0 == node)
                    .collect();
                let mut lost: Vec<_> = lost
                    .into_iter()
                    .map(|(key, asked)| (key.2, asked))
                    .collect();
                lost.sort_by_key(|(ticket, _)| *ticket);
                for (
                    _,
                    PendingRequest {
                        request, id, tries, ..
                    },
                ) in lost
                {
                    if !matches!(request, UserRequest::Get(_)) {
                        let what = ScheduledEvent::SendRequest {
                            request,
                            id,
                            tries: tries + 1,
                        };
                        self.at(self.now + 1_000, what);
                    }
                }
                self.at(self.now + back, ScheduledEvent::StartController { node });
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
                    self.end_machine(&name);
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
                self.some(&names, count)
                    .iter()
                    .for_each(|name| self.end_machine(name));
                return;
            }
            Fault::FailTasksOnMachines { count } => {
                self.some(&names, count)
                    .iter()
                    .for_each(|name| self.fail_all_tasks(name));
                return;
            }
            Fault::HangMachines { count, ms } => {
                for name in self.some(&names, count) {
                    self.hang(name, ms);
                }
                return;
            }
            Fault::IsolateZone { ms } => {
                self.cut(ActiveFault::UsersDisconnected(1), ms);
                (ActiveFault::ZoneIsolated, ms)
            }
            Fault::DropMessagesToMachines { count, ms } => {
                for name in self.some(&names, count) {
                    self.cut(ActiveFault::MachineUnreachable(name), ms);
                }
                return;
            }
            Fault::DropMessagesToZone { ms } => (ActiveFault::ZoneUnreachable, ms),
            Fault::DuplicateMessages { ms } => (ActiveFault::DuplicatedMessages, ms),
            Fault::DisconnectStateAndMesh { node, ms, refused } => {
                self.cut(ActiveFault::MeshDisconnected(node), ms);
                (
                    if refused {
                        ActiveFault::StateRequestsRefused(Some(node))
                    } else {
                        ActiveFault::StateServiceDisconnected(node)
                    },
                    ms,
                )
            }
            Fault::SlowStateService { times, ms } => (ActiveFault::SlowStateService(times), ms),
            Fault::CrashBeforeEffect { node, nth } => {
                self.crash_points.insert(node, (0, nth));
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
                    self.at(self.now + ms, ScheduledEvent::RestoreValue { key, value });
                }
                return;
            }
            Fault::DisconnectStateService { node, ms } => {
                (ActiveFault::StateServiceDisconnected(node), ms)
            }
            Fault::RefuseStateRequests { node, ms } => {
                (ActiveFault::StateRequestsRefused(node), ms)
            }
            Fault::DisconnectWorkers { node, ms } => (ActiveFault::WorkersDisconnected(node), ms),
            Fault::DisconnectMesh { node, ms } => (ActiveFault::MeshDisconnected(node), ms),
            Fault::PartitionZones { ms } => (ActiveFault::ZonesPartitioned, ms),
            Fault::DisconnectMachine { nth, ms } => match pick(nth) {
                Some(name) => (ActiveFault::MachineDisconnected(name), ms),
                None => return,
            },
            Fault::CloudOutage { ms } => (ActiveFault::CloudOutage, ms),
            Fault::PauseController { node, ms } => {
                if ms >= 4_000 {
                    self.record_leader_stop(node);
                }
                if let Some(running) = self.nodes[node].as_mut() {
                    running.paused.get_or_insert_default();
                    let incarnation = running.incarnation;
                    self.at(
                        self.now + ms,
                        ScheduledEvent::ResumeController { node, incarnation },
                    );
                }
                return;
            }
            Fault::IsolateController { node, ms } => {
                for cut in [
                    ActiveFault::StateServiceDisconnected(node),
                    ActiveFault::WorkersDisconnected(node),
                    ActiveFault::MeshDisconnected(node),
                ] {
                    self.cut(cut, ms);
                }
                (ActiveFault::UsersDisconnected(node), ms)
            }
            Fault::GuestJobs { jobs } => {
                (0..jobs).for_each(|_| self.guest_job());
                return;
            }
            Fault::ChangeBootBehavior { how, ms } => {
                self.cloud.boots = how;
                (ActiveFault::ChangedBootBehavior, ms)
            }
            Fault::SkewedLoad { ms } => (ActiveFault::SkewedLoad, ms),
            Fault::RefuseMachineConnections { count, ms } => {
                for name in self.some(&names, count) {
                    self.cut(ActiveFault::MachineConnectionsRefused(name), ms);
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
                self.at(self.now + 1, ScheduledEvent::SendUnusualRequest);
                (ActiveFault::UnusualRequests, ms)
            }
            Fault::OneTaskJobs { ms } => {
                self.at(self.now + 1, ScheduledEvent::SubmitOneTaskJob);
                (ActiveFault::OneTaskJobs, ms)
            }
            Fault::CancelRunningJobs { count, hang_ms } => {
                self.cancel_now(count, hang_ms);
                return;
            }
        };
        self.cut(cut, ms);
    }

    /// Writes a value past everybody.
    pub(super) fn write_directly(&mut self, key: &str, value: serde_json::Value) {
        let txn = Transaction::default().write(Write::put(key, value));
        self.state
            .execute(self.now, &StateRequest::Transaction(txn));
        self.answer_watches();
    }

    /// Cuts something for a time.
    pub(super) fn cut(&mut self, cut: ActiveFault, ms: u64) {
        self.active_faults.push(cut.clone());
        self.at(self.now + ms, ScheduledEvent::EndFault(cut));
    }

    /// A machine hangs: what is sent to it meanwhile waits.
    pub(super) fn hang(&mut self, name: String, ms: u64) {
        let until = self.now + ms;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.hangs_until = until;
            worker.ignores_stops = self.plan.mutation == Some(Mutation::HungMachinesIgnoreStops);
        }
        self.cut(ActiveFault::MachineDisconnected(name), ms);
    }

    /// A machine fails every task from now on.
    pub(super) fn fail_all_tasks(&mut self, name: &str) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.fails_all_tasks = true;
        }
    }

    /// Some of the machines, spread over all.
    pub(super) fn some(&mut self, names: &[String], count: usize) -> Vec<String> {
        let mut names = names.to_vec();
        names.shuffle(&mut self.rng);
        names.truncate(count);
        names
    }

    pub(super) fn end_machine(&mut self, name: &str) {
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

    pub(super) fn refuses(&self, node: usize) -> bool {
        self.active_faults.iter().any(
            |c| matches!(c, ActiveFault::StateRequestsRefused(n) if n.is_none_or(|n| n == node)),
        )
    }

    pub(super) fn outage(&self) -> bool {
        self.active_faults
            .contains(&ActiveFault::StateRequestsRefused(None))
    }
}
