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
            Fault::Crash { node, back } => {
                self.holder_stops(node);
                if let Some(ended) = self.nodes[node].take() {
                    self.early.0 += ended.node.counters.early_takeovers;
                    self.early.1 += ended.node.counters.wrong_takeovers;
                }
                self.watches.retain(|w| w.0 != node);
                // Users repeat what has not been answered.
                let lost: Vec<_> = self.tickets.extract_if(|key, _| key.0 == node).collect();
                let mut lost: Vec<_> = lost
                    .into_iter()
                    .map(|(key, asked)| (key.2, asked))
                    .collect();
                lost.sort_by_key(|(ticket, _)| *ticket);
                for (
                    _,
                    Asked {
                        request, id, tries, ..
                    },
                ) in lost
                {
                    if !matches!(request, UserRequest::Get(_)) {
                        let what = Happening::Ask {
                            request,
                            id,
                            tries: tries + 1,
                        };
                        self.at(self.now + 1_000, what);
                    }
                }
                self.at(self.now + back, Happening::Boot { node });
                return;
            }
            Fault::Hang { nth, ms } => {
                if let Some(name) = pick(nth) {
                    self.hang(name, ms);
                }
                return;
            }
            Fault::Kill { nth } => {
                if let Some(name) = pick(nth) {
                    self.end_machine(&name);
                }
                return;
            }
            Fault::Sick { nth } => {
                if let Some(name) = pick(nth) {
                    self.sicken(&name);
                }
                return;
            }
            Fault::Burst { jobs } => {
                (0..jobs).for_each(|_| self.new_job());
                return;
            }
            Fault::KillMany { count } => {
                self.some(&names, count)
                    .iter()
                    .for_each(|name| self.end_machine(name));
                return;
            }
            Fault::SickMany { count } => {
                self.some(&names, count)
                    .iter()
                    .for_each(|name| self.sicken(name));
                return;
            }
            Fault::HangMany { count, ms } => {
                for name in self.some(&names, count) {
                    self.hang(name, ms);
                }
                return;
            }
            Fault::CutZone { ms } => {
                self.cut(Cut::Users(1), ms);
                (Cut::Zone, ms)
            }
            Fault::Unreached { count, ms } => {
                for name in self.some(&names, count) {
                    self.cut(Cut::Unreached(name), ms);
                }
                return;
            }
            Fault::UnreachedZone { ms } => (Cut::UnreachedZone, ms),
            Fault::Copies { ms } => (Cut::Copies, ms),
            Fault::Blind { node, ms, refused } => {
                self.cut(Cut::Mesh(node), ms);
                (
                    if refused {
                        Cut::Refuse(Some(node))
                    } else {
                        Cut::State(node)
                    },
                    ms,
                )
            }
            Fault::SlowState { times, ms } => (Cut::Slow(times), ms),
            Fault::CrashAt { node, nth } => {
                self.ends_at.insert(node, (0, nth));
                return;
            }
            Fault::LateWrites { percent, ms } => (Cut::LateWrites(percent), ms),
            Fault::Long { times, ms } => (Cut::Long(times), ms),
            Fault::CancelAll { through } => {
                self.cancel_all(through);
                return;
            }
            Fault::SpoilPage { partition, ms } => {
                let key = format!("l/{partition}/0000");
                if let Some(value) = self.state.value(&key).cloned() {
                    self.write_past(&key, serde_json::json!({ "round": "garbage" }));
                    self.at(self.now + ms, Happening::Mend { key, value });
                }
                return;
            }
            Fault::CutState { node, ms } => (Cut::State(node), ms),
            Fault::Refuse { node, ms } => (Cut::Refuse(node), ms),
            Fault::CutWorkers { node, ms } => (Cut::Workers(node), ms),
            Fault::CutMesh { node, ms } => (Cut::Mesh(node), ms),
            Fault::CutZones { ms } => (Cut::Zones, ms),
            Fault::CutMachine { nth, ms } => match pick(nth) {
                Some(name) => (Cut::Machine(name), ms),
                None => return,
            },
            Fault::CloudOutage { ms } => (Cut::Cloud, ms),
            Fault::Freeze { node, ms } => {
                if ms >= 4_000 {
                    self.holder_stops(node);
                }
                if let Some(running) = self.nodes[node].as_mut() {
                    running.frozen.get_or_insert_default();
                    let life = running.life;
                    self.at(self.now + ms, Happening::Thaw { node, life });
                }
                return;
            }
            Fault::Isolate { node, ms } => {
                for cut in [Cut::State(node), Cut::Workers(node), Cut::Mesh(node)] {
                    self.cut(cut, ms);
                }
                (Cut::Users(node), ms)
            }
            Fault::Guests { jobs } => {
                (0..jobs).for_each(|_| self.guest_job());
                return;
            }
            Fault::Boots { how, ms } => {
                self.cloud.boots = how;
                (Cut::Boots, ms)
            }
            Fault::Heavy { ms } => (Cut::Heavy, ms),
            Fault::Mute { count, ms } => {
                for name in self.some(&names, count) {
                    self.cut(Cut::Mute(name), ms);
                }
                return;
            }
            Fault::LostAnswers { percent, ms } => (Cut::LostAnswers(percent), ms),
            Fault::KeptCopies { percent, ms } => (Cut::KeptCopies(percent), ms),
            Fault::HeldReports { percent, ms } => (Cut::HeldReports(percent), ms),
            Fault::LateCommands { percent, ms } => (Cut::LateCommands(percent), ms),
            Fault::OneWay { from, to, ms } => (Cut::OneWay(from, to), ms),
            Fault::MeshCopies { percent, ms } => (Cut::MeshCopies(percent), ms),
            Fault::SlowLinks { times, ms } => (Cut::SlowLinks(times), ms),
            Fault::Mistakes { ms } => (Cut::Mistakes, ms),
            Fault::Questions { ms } => (Cut::Questions, ms),
            Fault::CloseLooks { ms } => (Cut::CloseLooks, ms),
            Fault::CancelAtEnd { percent, ms } => (Cut::CancelAtEnd(percent), ms),
            Fault::OddRequests { ms } => {
                self.at(self.now + 1, Happening::OddRequest);
                (Cut::OddRequests, ms)
            }
            Fault::OneTaskJobs { ms } => {
                self.at(self.now + 1, Happening::OneTaskJob);
                (Cut::OneTaskJobs, ms)
            }
            Fault::CancelNow { count, hang_ms } => {
                self.cancel_now(count, hang_ms);
                return;
            }
        };
        self.cut(cut, ms);
    }

    /// Writes a value past everybody.
    pub(super) fn write_past(&mut self, key: &str, value: serde_json::Value) {
        let txn = Transaction::default().write(Write::put(key, value));
        self.state
            .execute(self.now, &StateRequest::Transaction(txn));
        self.answer_watches();
    }

    /// Cuts something for a time.
    pub(super) fn cut(&mut self, cut: Cut, ms: u64) {
        self.cuts.push(cut.clone());
        self.at(self.now + ms, Happening::Heal(cut));
    }

    /// A machine hangs: what is sent to it meanwhile waits.
    pub(super) fn hang(&mut self, name: String, ms: u64) {
        let until = self.now + ms;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.hangs_until = until;
            worker.ignores_stops = self.plan.sabotage == Some(Sabotage::HungMachinesIgnoreStops);
        }
        self.cut(Cut::Machine(name), ms);
    }

    /// A machine fails every task from now on.
    pub(super) fn sicken(&mut self, name: &str) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.fails_everything = true;
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
            worker.ended_busy = !worker.tasks.is_empty();
            worker.tasks.clear();
        }
        self.takeovers.gone(name, self.now);
    }

    pub(super) fn refuses(&self, node: usize) -> bool {
        self.cuts
            .iter()
            .any(|c| matches!(c, Cut::Refuse(n) if n.is_none_or(|n| n == node)))
    }

    pub(super) fn outage(&self) -> bool {
        self.cuts.contains(&Cut::Refuse(None))
    }
}
