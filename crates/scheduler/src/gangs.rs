//! Gangs: placed as a whole or not at all.
//!
//! While a gang waits, smaller tasks would take each freed slice, so that it would never start. So a
//! gang that has failed twice has machines kept for it: of all zones those on which it could start
//! soonest, for a minute at most; then they are chosen anew. What surely ends before the last of the machines is free may still run on them, and what the gang may stop
//! and would not be gone by then is stopped. No two gangs wait for each other: a gang takes nothing that
//! is kept for one before it in the order, and keeps nothing that one before it may take.

use crate::colocation::colocation_capacity;
use crate::cycle::{fetch_time, image_fetch_time, score, PlacementFailure};
use crate::job::{Job, Placement};
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::{EntryKey, Rank};
use crate::reserved_capacity::GangReservation;
use model::DurationExt;
use model::{JobId, JobKind, MachineName, Resources, TaskId, Timestamp, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wire::workers::TaskState;

/// How long machines are kept for a gang that its team's limit keeps back.
const RESERVATION_DURATION: Duration = Duration::from_secs(60);
/// Time after which the machines kept for gangs are chosen anew: tasks end sooner or later than expected.
const RESERVATION_REVIEW_INTERVAL: Duration = Duration::from_secs(2);
/// How long a job leaves machines to gangs for which it has others to run on.
const GANG_PRECEDENCE_DURATION: Duration = Duration::from_secs(120);
/// A machine on which tasks have to be stopped counts as free after so long: one that empties by itself
/// before costs nothing.
const PREEMPTION_ALLOWANCE: Duration = Duration::from_secs(20);
/// What is left of a task that has outrun its estimate, at the least.
const MIN_REMAINING_TIME: Duration = Duration::from_secs(5);
/// A task that has outrun its estimate takes this part of the time that it has run, once more.
const OVERRUN_DIVISOR: u64 = 4;
/// Rentals take longer than this: a gang whose machines are free before is no demand.
const NEAR_RESERVATION: Duration = Duration::from_secs(15);

impl PartitionState {
    /// Places a gang as a whole, or not at all.
    pub(crate) fn try_gang(&mut self, id: JobId, now: Timestamp) -> Result<(), PlacementFailure> {
        let Some(job) = self.jobs.get(&id) else {
            return Ok(());
        };
        // The old attempt's tasks keep their machines and zones until they are gone.
        if job.cancelled || job.all_done() || !job.placed.is_empty() {
            return Ok(());
        }
        if !self.fits_limit(EntryKey::Gang(id), job, u64::from(job.spec.tasks)) {
            return Err(PlacementFailure::Quota);
        }
        let places = self.fit_gang(job, now).ok_or(PlacementFailure::Room)?;
        let attempt = self.new_attempt();
        if let Some(job) = self.jobs.get_mut(&id) {
            job.gang_began = None;
        }
        self.release_reservation(id);
        for (index, machine) in places.into_iter().enumerate() {
            self.place(
                TaskId {
                    job: id,
                    index: index as u32,
                },
                &machine,
                attempt,
                now,
            );
        }
        Ok(())
    }

    /// Machines for all tasks of a gang, or none.
    fn fit_gang(&self, job: &Job, now: Timestamp) -> Option<Vec<MachineName>> {
        let entry = EntryKey::Gang(job.spec.id);
        let mut by_zone: BTreeMap<&ZoneName, Vec<(&Machine, u64)>> = BTreeMap::new();
        let roomy = self
            .capacity_index
            .with_room(&job.spec)
            .filter_map(|name| self.machines.get(name));
        for machine in
            roomy.filter(|m| self.admits(job, m, now) && !self.is_reserved_from(job, m, now))
        {
            let count = colocation_capacity(job, machine, self.free_capacity_for(entry, machine));
            if count > 0 {
                by_zone
                    .entry(&machine.zone)
                    .or_default()
                    .push((machine, count));
            }
        }
        let wanted = u64::from(job.spec.tasks);
        let per_zone = u64::from(job.spec.zone_limit());
        let total = |list: &[(&Machine, u64)]| list.iter().map(|(_, n)| *n).sum::<u64>();
        let mut zones: Vec<Vec<(&Machine, u64)>> = by_zone.into_values().collect();
        if job.spec.one_zone {
            // The zone that it fills best leaves the others whole for larger gangs.
            zones.retain(|list| total(list) >= wanted);
            zones.sort_by_key(|list| total(list));
            zones.truncate(1);
        } else {
            // The roomiest zone first keeps a gang together where it may be.
            zones.sort_by_key(|list| std::cmp::Reverse(total(list)));
        }
        let mut places = Vec::new();
        for mut list in zones {
            list.sort_by(|(a, _), (b, _)| (score(job, a), &a.name).cmp(&(score(job, b), &b.name)));
            let mut left = per_zone.min(wanted - places.len() as u64);
            for (machine, count) in list {
                let here = count.min(left);
                places.extend((0..here).map(|_| machine.name.clone()));
                left -= here;
            }
        }
        (places.len() as u64 == wanted).then_some(places)
    }

    /// Whether a machine is kept for a gang that goes before this job, unless the job is over on it
    /// before the gang can start.
    pub(crate) fn is_reserved_from(&self, job: &Job, machine: &Machine, now: Timestamp) -> bool {
        let Some(hold) = machine
            .held_for
            .and_then(|gang| self.gang_reservations.get(&gang))
        else {
            return false;
        };
        if hold.job == job.spec.id {
            return false;
        }
        let Some(gang) = self.jobs.get(&hold.job) else {
            return false;
        };
        let goes_before = Rank::of_job(gang) < Rank::of_job(job);
        // What leaves the gang its room beside it is not in its way.
        let kept = hold
            .machines
            .get(&machine.name)
            .map(|count| gang.spec.needs.times(*count));
        let free = machine.free();
        let beside = job.spec.needs.fits(&free)
            && kept.is_some_and(|kept| kept.fits(&free.saturating_sub(&job.spec.needs)));
        if beside {
            return false;
        }
        // Estimates are often wrong by half; of a gang's few tasks fewer are than of an array's many.
        let times = if job.spec.kind == JobKind::Gang { 1 } else { 2 };
        let lasts = fetch_time(job, machine) + job.spec.estimate * times;
        let ends = job.spec.kind != JobKind::Service && now + lasts <= hold.ready_at;
        goes_before && !ends
    }

    /// Why a gang waits, in words.
    pub(crate) fn explain_gang(&self, job: &Job, now: Timestamp) -> String {
        if job.spec.kind != JobKind::Gang || job.all_done() {
            return String::new();
        }
        if !job.placed.is_empty() {
            let waits = |p: &&crate::job::Placement| p.last_status == Some(TaskState::Waiting);
            let gathered = job.placed.values().filter(waits).count();
            let state = if job.gang_began.is_some() {
                "it has begun"
            } else {
                "it gathers"
            };
            return format!(
                "{state}: {gathered} of {} tasks wait for the others",
                job.spec.tasks
            );
        }
        if let Some(hold) = self.gang_reservations.get(&job.spec.id) {
            let first = hold
                .machines
                .keys()
                .next()
                .and_then(|name| self.machines.get(name));
            let zone = first.map(|m| m.zone.to_string()).unwrap_or_default();
            return format!(
                "{} machines are kept for it (the first in {zone}), free in {} s",
                hold.machines.len(),
                hold.ready_at.duration_since(now).whole_millis() / 1_000,
            );
        }
        let hold = self.machines.values().filter(|m| self.admits(job, m, now));
        let room: u64 = hold.map(|m| colocation_capacity(job, m, m.capacity)).sum();
        format!(
            "nothing is kept for it: the machines of its partition hold {room} of its {} tasks at most, \
             those kept for gangs before it included",
            job.spec.tasks
        )
    }

    /// Whether a gang's task that needs no fetch is launched later, when those that do are through: it would
    /// wait for longer than tasks of a gang wait for each other, and the gang would begin anew, again and
    /// again where an image is large.
    pub(crate) fn waits_for_fetches(&self, job: &Job, machine: &Machine) -> bool {
        if job.spec.kind != JobKind::Gang || !machine.has_image(&job.spec.image) {
            return false;
        }
        job.placed.values().any(|other| {
            let Some(on) = self.machines.get(&other.machine) else {
                return false;
            };
            let fetches = matches!(other.last_status, None | Some(TaskState::Fetching));
            fetches && fetch_time(job, on) * 2 > self.gang_wait
        })
    }

    /// A task of a gang is seen running, so that the gang has begun.
    pub(crate) fn record_gang_start(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.spec.kind != JobKind::Gang || job.gang_began.is_some() {
            return;
        }
        let waited_ms = now.duration_since(job.seen_at).whole_millis();
        tracing::debug!(job = %id, class = job.spec.class, tasks = job.spec.tasks, waited_ms, "a gang begins");
        job.gang_began = Some(now);
    }

    /// A task of a gang has its image: those that waited for that are launched.
    pub(crate) fn record_gang_fetch(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let waits = job
            .placed
            .values()
            .filter(|p| !p.launch.is_launched() && p.stop.is_none());
        let machines: Vec<MachineName> = waits.map(|p| p.machine.clone()).collect();
        self.urgent_machines.extend(machines);
    }

    /// Notes what is kept of each team's limit for its gangs. As a gang's machines empty, what used the
    /// limit there frees it; without this, arrays took each freed part of it.
    pub(crate) fn update_reserved_limits(&mut self) {
        self.teams
            .values_mut()
            .for_each(|team| team.held = Resources::default());
        for hold in self.gang_reservations.values() {
            let Some(job) = self.jobs.get(&hold.job) else {
                continue;
            };
            let Some(team) = self.teams.get_mut(&job.spec.team) else {
                continue;
            };
            for (name, count) in &hold.machines {
                let used = self
                    .machines
                    .get(name)
                    .map_or(Resources::default(), |m| m.used);
                team.held += job.spec.needs.times(*count).saturating_sub(&used);
            }
        }
    }

    /// Notes what kinds of gangs have failed to fit and still wait.
    pub(crate) fn update_waiting_gangs(&mut self) {
        self.waiting_gangs.clear();
        for (id, job) in self
            .jobs
            .iter()
            .filter(|(_, job)| job.spec.kind == JobKind::Gang)
        {
            let failed = self
                .queue
                .location(EntryKey::Gang(*id))
                .is_some_and(|(_, n)| n >= 2);
            let alike = |other: &JobId| {
                self.jobs
                    .get(other)
                    .is_some_and(|other| other.spec.is_placed_like(&job.spec))
            };
            if failed && !self.waiting_gangs.iter().any(alike) {
                self.waiting_gangs.push(*id);
            }
        }
    }

    /// Gangs that wait for machines of which a job has others to run on: arrays that take each freed one
    /// would be stopped as soon as a gang has enough of them. One of each kind, usually none.
    pub(crate) fn gangs_with_precedence(&self, job: &Job, now: Timestamp) -> Vec<&Job> {
        if job.spec.kind == JobKind::Gang
            || now.duration_since(job.seen_at) > GANG_PRECEDENCE_DURATION
        {
            return Vec::new();
        }
        let gangs = self.waiting_gangs.iter().filter_map(|id| self.jobs.get(id));
        let goes_before = |gang: &&Job| {
            Rank::of_job(gang) < Rank::of_job(job)
                && job.spec.fits_other_type(&gang.spec, &self.types)
        };
        gangs.filter(goes_before).collect()
    }

    /// Whether a machine is left to one of these gangs.
    pub(crate) fn is_left_to_gangs(
        &self,
        gangs: &[&Job],
        machine: &Machine,
        now: Timestamp,
    ) -> bool {
        let of_use = |gang: &&Job| {
            self.admits(gang, machine, now)
                && colocation_capacity(gang, machine, machine.capacity) > 0
        };
        gangs.iter().any(of_use)
    }

    /// Whether a machine is kept for a gang, or is empty and of use to one that waits.
    pub(crate) fn is_reserved_for_gangs(&self, machine: &Machine, now: Timestamp) -> bool {
        let of_use = || {
            let gangs: Vec<&Job> = self
                .waiting_gangs
                .iter()
                .filter_map(|id| self.jobs.get(id))
                .collect();
            self.is_left_to_gangs(&gangs, machine, now)
        };
        machine.held_for.is_some() || (machine.tasks.is_empty() && of_use())
    }

    /// Gives up what is kept for a gang.
    pub(crate) fn release_reservation(&mut self, id: JobId) {
        let Some(hold) = self.gang_reservations.remove(&id) else {
            return;
        };
        for name in hold.machines.into_keys() {
            if let Some(machine) = self.machines.get_mut(&name) {
                if machine.held_for == Some(id) {
                    machine.held_for = None;
                }
            }
        }
    }

    /// Chooses anew what is kept for the gangs that still wait, in their order, once it has been kept for
    /// long enough or on a machine that its gang could not use now. All at one time, since what was given
    /// up before it is chosen again goes to whatever is tried in between.
    pub(crate) fn renew_reservations(&mut self, now: Timestamp) {
        let stands = |hold: &GangReservation| {
            let usable = |name: &MachineName| {
                let Some(machine) = self.machines.get(name) else {
                    return false;
                };
                let admits = self
                    .jobs
                    .get(&hold.job)
                    .is_some_and(|j| self.admits(j, machine, now));
                machine.held_for == Some(hold.job) && admits
            };
            now < hold.chosen_at + RESERVATION_REVIEW_INTERVAL
                && self.waits(hold.job)
                && hold.machines.keys().all(usable)
        };
        if self.gang_reservations.values().all(stands) {
            return;
        }
        let mut gangs: Vec<(Rank, JobId, Timestamp)> = self
            .gang_reservations
            .values()
            .filter_map(|hold| {
                Some((
                    Rank::of_job(self.jobs.get(&hold.job)?),
                    hold.job,
                    hold.until,
                ))
            })
            .collect();
        gangs.sort_unstable();
        let held: Vec<JobId> = self.gang_reservations.keys().copied().collect();
        held.into_iter().for_each(|id| self.release_reservation(id));
        for (_, id, until) in gangs {
            if !self.waits(id) {
                continue;
            }
            if now < until {
                self.try_reserve_for_gang(id, until, now);
            } else if self.gang_has_limit(id) {
                self.try_reserve_for_gang(id, now + RESERVATION_DURATION, now);
            }
        }
    }

    /// Whether its team's limit leaves room for a whole gang.
    fn gang_has_limit(&self, id: JobId) -> bool {
        let room = |job: &Job| self.fits_limit(EntryKey::Gang(id), job, u64::from(job.spec.tasks));
        self.jobs.get(&id).is_some_and(room)
    }

    /// Whether a gang waits for room.
    fn waits(&self, id: JobId) -> bool {
        self.queue.contains(EntryKey::Gang(id))
    }

    /// A gang that has failed twice gets machines enough kept for it.
    pub(crate) fn reserve_for_gang(
        &mut self,
        id: JobId,
        why: PlacementFailure,
        stops: bool,
        now: Timestamp,
    ) {
        let failures = self
            .queue
            .location(EntryKey::Gang(id))
            .map_or(0, |(_, n)| n);
        if failures < 2 || why != PlacementFailure::Room {
            return;
        }
        if !self.gang_reservations.contains_key(&id)
            && !self.try_reserve_for_gang(id, now + RESERVATION_DURATION, now)
        {
            return;
        }
        if stops {
            self.clear_for_gang(id, now);
        }
    }

    /// Keeps machines for a gang, if there are enough for it. Gangs behind it that had some of them choose
    /// anew.
    fn try_reserve_for_gang(&mut self, id: JobId, until: Timestamp, now: Timestamp) -> bool {
        let chosen = self
            .jobs
            .get(&id)
            .and_then(|job| self.choose_reservation(job, until, now));
        let Some(hold) = chosen else { return false };
        let taken: BTreeSet<JobId> = hold
            .machines
            .keys()
            .filter_map(|name| self.machines.get(name)?.held_for)
            .collect();
        taken
            .into_iter()
            .for_each(|other| self.release_reservation(other));
        for name in hold.machines.keys() {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.held_for = Some(id);
            }
        }
        tracing::debug!(job = %id, machines = hold.machines.len(), in_ms = hold.ready_at.duration_since(now).whole_millis(), "machines kept for a gang");
        self.gang_reservations.insert(id, hold);
        true
    }

    /// The machines on which a gang could start soonest, of those that are kept for none before it.
    fn choose_reservation(
        &self,
        job: &Job,
        until: Timestamp,
        now: Timestamp,
    ) -> Option<GangReservation> {
        let rank = Rank::of_job(job);
        let goes_before =
            |gang: JobId| self.jobs.get(&gang).is_some_and(|g| Rank::of_job(g) < rank);
        let mut zones: BTreeMap<&ZoneName, Vec<(Timestamp, &Machine, u64)>> = BTreeMap::new();
        let mut all = Vec::new();
        for machine in self.machines.values().filter(|m| self.admits(job, m, now)) {
            let count = colocation_capacity(job, machine, machine.capacity);
            if count == 0 || machine.held_for.is_some_and(goes_before) {
                continue;
            }
            let Some(ready) = self.free_at(job, machine, now) else {
                continue;
            };
            if job.spec.one_zone {
                zones
                    .entry(&machine.zone)
                    .or_default()
                    .push((ready, machine, count));
            } else {
                all.push((ready, machine, count));
            }
        }
        let lists = zones.into_values().chain([all]);
        let (ready_at, machines) = lists
            .filter_map(|list| soonest(job, list))
            .min_by_key(|(ready, _)| *ready)?;
        Some(GangReservation {
            job: job.spec.id,
            machines,
            ready_at,
            chosen_at: now,
            until,
        })
    }

    /// When a task of a gang has room on a machine at the latest, as far as estimates tell, if what it may
    /// stop is stopped. None if what runs there does not end by itself.
    fn free_at(&self, job: &Job, machine: &Machine, now: Timestamp) -> Option<Timestamp> {
        let mut room = self.free_capacity_for(EntryKey::Gang(job.spec.id), machine);
        if colocation_capacity(job, machine, room) > 0 {
            return Some(now);
        }
        let mut ends: Vec<(Timestamp, Resources)> = machine
            .tasks
            .iter()
            .filter_map(|task| {
                let other = self.jobs.get(&task.job)?;
                let placement = other.placed.get(&task.index)?;
                let ends = if placement.stop.is_some() {
                    now + other.spec.save
                } else if self.may_stop(job, other, placement) {
                    self.ends_at(other, placement, now)
                        .min(now + PREEMPTION_ALLOWANCE)
                } else if other.spec.kind == JobKind::Service {
                    return None;
                } else {
                    self.ends_at(other, placement, now)
                };
                Some((ends, other.spec.needs))
            })
            .collect();
        ends.sort_unstable_by_key(|(at, _)| *at);
        ends.into_iter().find_map(|(at, needs)| {
            room += needs;
            (colocation_capacity(job, machine, room) > 0).then_some(at)
        })
    }

    /// When a task ends, as far as its estimate tells. Estimates are often wrong by half: what has run for
    /// long is not taken to end at once.
    fn ends_at(&self, job: &Job, placement: &Placement, now: Timestamp) -> Timestamp {
        let began = job
            .gang_began
            .unwrap_or_else(|| self.begins_at(job, placement));
        let overrun =
            Duration::from_millis(now.duration_since(began).whole_millis() / OVERRUN_DIVISOR)
                .max(MIN_REMAINING_TIME);
        (began + job.spec.estimate).max(now + overrun)
    }

    /// When a placed task has its image; a gang begins once all of its tasks have theirs.
    fn begins_at(&self, job: &Job, placement: &Placement) -> Timestamp {
        let fetched = |placement: &Placement| {
            let machine = self.machines.get(&placement.machine);
            let fetch = machine.map_or(Duration::ZERO, |machine| image_fetch_time(job, machine));
            placement.placed_at + fetch
        };
        if job.spec.kind != JobKind::Gang {
            return fetched(placement);
        }
        job.placed
            .values()
            .map(fetched)
            .max()
            .unwrap_or(placement.placed_at)
    }

    /// Stops what would not be gone from a gang's machines by the time that the last of them is free.
    fn clear_for_gang(&mut self, id: JobId, now: Timestamp) {
        let Some(hold) = self.gang_reservations.get(&id) else {
            return;
        };
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let mut stops = Vec::new();
        for machine in hold
            .machines
            .keys()
            .filter_map(|name| self.machines.get(name))
        {
            let mut room = self.free_capacity_for(EntryKey::Gang(id), machine);
            if colocation_capacity(job, machine, room) > 0 {
                continue;
            }
            let mut lasting: Vec<(u64, TaskId, Resources)> = Vec::new();
            for task in &machine.tasks {
                let Some(other) = self.jobs.get(&task.job) else {
                    continue;
                };
                let Some(placement) = other.placed.get(&task.index) else {
                    continue;
                };
                let ends = self.ends_at(other, placement, now);
                if placement.stop.is_some() || ends <= hold.ready_at + NEAR_RESERVATION {
                    room += other.spec.needs;
                } else if self.may_stop(job, other, placement) {
                    let lost = self.lost_work(other, placement, false, now);
                    lasting.push((lost, *task, other.spec.needs));
                }
            }
            lasting.sort_unstable_by_key(|(lost, task, _)| (*lost, *task));
            for (_, task, needs) in lasting {
                if colocation_capacity(job, machine, room) > 0 {
                    break;
                }
                room += needs;
                stops.push(task);
            }
        }
        for task in stops {
            tracing::debug!(job = %id, victim = %task, "stopping a task for a gang");
            let grace = self.grace_period(task);
            self.stop_task(task, grace, now);
        }
    }

    /// The zone kept for a gang, if it will be free before machines could be rented.
    pub(crate) fn reservation_is_near(&self, id: JobId, now: Timestamp) -> bool {
        self.gang_reservations
            .get(&id)
            .is_some_and(|hold| hold.ready_at <= now + NEAR_RESERVATION)
    }
}

/// The machines of a list on which a gang could start soonest, and when that is. Of those that are free by
/// then the ones that are free last: what is free now would stand idle until then.
fn soonest(
    job: &Job,
    mut list: Vec<(Timestamp, &Machine, u64)>,
) -> Option<(Timestamp, BTreeMap<MachineName, u64>)> {
    list.sort_by(|a, b| (a.0, score(job, a.1), &a.1.name).cmp(&(b.0, score(job, b.1), &b.1.name)));
    let (ready_at, _) = first_enough(job, &list)?;
    list.retain(|(ready, ..)| *ready <= ready_at);
    list.sort_by_key(|(ready, ..)| std::cmp::Reverse(*ready));
    let (_, machines) = first_enough(job, &list)?;
    Some((ready_at, machines))
}

/// The first machines of a list that are enough for a gang, and when the last of them is free.
fn first_enough(
    job: &Job,
    list: &[(Timestamp, &Machine, u64)],
) -> Option<(Timestamp, BTreeMap<MachineName, u64>)> {
    let mut zones: BTreeMap<&ZoneName, u64> = BTreeMap::new();
    let mut left = u64::from(job.spec.tasks);
    let (mut kept, mut last) = (BTreeMap::new(), Timestamp::default());
    for (ready, machine, count) in list {
        let here = zones.entry(&machine.zone).or_default();
        let cap = u64::from(job.spec.zone_limit()).saturating_sub(*here);
        let count = (*count).min(left).min(cap);
        if count > 0 {
            *here += count;
            left -= count;
            last = last.max(*ready);
            kept.insert(machine.name.clone(), count);
        }
        if left == 0 {
            return Some((last, kept));
        }
    }
    None
}
