//! Reservations of machines for gangs.
//!
//! While a gang waits, smaller tasks would take any capacity that becomes free, and the gang would never
//! start. So machines are reserved for a gang that has failed to fit twice: those on which it could start
//! soonest, in whichever zone they are. They are chosen again every few seconds, and released after a minute
//! if the team's limit prevents the gang from being placed. Tasks that can be relied on to end before the last
//! of the machines is free may still run on them. Tasks that would still run by then are stopped if the gang
//! may preempt them.
//!
//! No two gangs can block each other: a gang takes no machine that is reserved for a gang with a better rank, and gives up
//! any machine that such a gang takes.

use crate::colocation::tasks_that_fit;
use crate::cycle::{fetch_time, PlacementFailure};
use crate::gang_precedence::GANG_FAILURES_BEFORE_RESERVATION;
use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::{EntryKey, Rank};
use crate::reserved_capacity::GangReservation;
use model::DurationExt;
use model::{JobId, JobKind, MachineName, Resources, TaskId, Timestamp};
use std::collections::BTreeSet;
use std::time::Duration;

/// How long machines are reserved for a gang that its team's limit prevents from being placed.
const RESERVATION_DURATION: Duration = Duration::from_secs(60);
/// Time after which the machines reserved for gangs are chosen again: tasks end sooner or later than expected.
const RESERVATION_REVIEW_INTERVAL: Duration = Duration::from_secs(2);
/// Scaling out takes longer than this: a gang whose machines are free within this time is not counted as
/// demand, and tasks that end within this time after its expected start are not preempted for it.
const ACCEPTABLE_WAIT: Duration = Duration::from_secs(15);
/// The estimate of an array's tasks is multiplied by this before they are relied on to end in time: estimates
/// are often wrong by half, and of an array's many tasks some run long.
const ESTIMATE_SAFETY_FACTOR: u32 = 2;

/// A gang whose reservation is being renewed; the best rank comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RenewedReservation {
    rank: Rank,
    gang: JobId,
    expires_at: Timestamp,
}

/// A task that a gang may preempt, ordered by the work that it would lose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Victim {
    lost_work_ms: u64,
    task: TaskId,
}

impl PartitionState {
    /// Whether a machine's reservation for a better-ranked gang prevents a job from running there. It does not
    /// if the job leaves enough capacity for the gang or ends before the gang can start.
    pub(crate) fn is_blocked_by_gang_reservation(
        &self,
        job: &Job,
        machine: &Machine,
        now: Timestamp,
    ) -> bool {
        let Some(reservation) = machine
            .reserved_for_gang
            .and_then(|gang| self.gang_reservations.get(&gang))
        else {
            return false;
        };
        if reservation.job == job.spec.id {
            return false;
        }
        let Some(gang) = self.jobs.get(&reservation.job) else {
            return false;
        };
        Rank::of_job(gang) < Rank::of_job(job)
            && !leaves_room_for_gang(job, gang, reservation, machine)
            && !ends_before(job, reservation.ready_at, machine, now)
    }

    /// Computes how much of each team's limit is reserved for its gangs. The tasks that end on a gang's
    /// machines free a part of the limit each; if it were not reserved, arrays would take every freed part.
    pub(crate) fn update_reserved_limits(&mut self) {
        for team in self.teams.values_mut() {
            team.reserved_for_gangs = Resources::default();
        }
        for reservation in self.gang_reservations.values() {
            let Some(job) = self.jobs.get(&reservation.job) else {
                continue;
            };
            let Some(team) = self.teams.get_mut(&job.spec.team) else {
                continue;
            };
            for (name, tasks) in &reservation.machines {
                let used = self
                    .machines
                    .get(name)
                    .map_or(Resources::default(), |machine| machine.used);
                team.reserved_for_gangs +=
                    job.spec.task_resources.times(*tasks).saturating_sub(&used);
            }
        }
    }

    /// Releases the machines reserved for a gang.
    pub(crate) fn release_gang_reservation(&mut self, id: JobId) {
        let Some(reservation) = self.gang_reservations.remove(&id) else {
            return;
        };
        for name in reservation.machines.into_keys() {
            if let Some(machine) = self.machines.get_mut(&name) {
                if machine.reserved_for_gang == Some(id) {
                    machine.reserved_for_gang = None;
                }
            }
        }
    }

    /// Renews the reservations of all gangs, in the order of rank, if one of them is due for review or has a
    /// machine that its gang cannot use now. They are released and chosen again in one step: entries tried in
    /// between would take the released machines.
    pub(crate) fn renew_gang_reservations(&mut self, now: Timestamp) {
        let is_valid = |reservation: &GangReservation| self.is_valid_reservation(reservation, now);
        if self.gang_reservations.values().all(is_valid) {
            return;
        }
        let mut renewed: Vec<RenewedReservation> = self
            .gang_reservations
            .values()
            .filter_map(|reservation| {
                Some(RenewedReservation {
                    rank: Rank::of_job(self.jobs.get(&reservation.job)?),
                    gang: reservation.job,
                    expires_at: reservation.expires_at,
                })
            })
            .collect();
        renewed.sort_unstable();
        let gangs: Vec<JobId> = self.gang_reservations.keys().copied().collect();
        for gang in gangs {
            self.release_gang_reservation(gang);
        }
        for RenewedReservation {
            gang, expires_at, ..
        } in renewed
        {
            if !self.is_queued_gang(gang) {
                continue;
            }
            if now < expires_at {
                self.try_reserve_for_gang(gang, expires_at, now);
            } else if self.gang_fits_limit(gang) {
                self.try_reserve_for_gang(gang, now + RESERVATION_DURATION, now);
            }
        }
    }

    /// Whether a reservation is not due for review, and its gang is still queued and can use all of the
    /// machines.
    fn is_valid_reservation(&self, reservation: &GangReservation, now: Timestamp) -> bool {
        let is_usable = |name: &MachineName| {
            let Some(machine) = self.machines.get(name) else {
                return false;
            };
            let Some(gang) = self.jobs.get(&reservation.job) else {
                return false;
            };
            machine.reserved_for_gang == Some(reservation.job) && self.admits(gang, machine, now)
        };
        now < reservation.chosen_at + RESERVATION_REVIEW_INTERVAL
            && self.is_queued_gang(reservation.job)
            && reservation.machines.keys().all(is_usable)
    }

    /// Whether the team's limit allows a whole gang to be placed.
    fn gang_fits_limit(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| {
            self.fits_limit(EntryKey::Gang(id), job, u64::from(job.spec.task_count))
        })
    }

    fn is_queued_gang(&self, id: JobId) -> bool {
        self.queue.contains(EntryKey::Gang(id))
    }

    /// Handles a failed placement of a gang: once it has failed often enough, reserves machines for it and, if
    /// `preempt` is set, preempts tasks there.
    pub(crate) fn reserve_for_gang(
        &mut self,
        id: JobId,
        failure: PlacementFailure,
        preempt: bool,
        now: Timestamp,
    ) {
        if self.gang_failures(id) < GANG_FAILURES_BEFORE_RESERVATION
            || failure != PlacementFailure::NoFreeCapacity
        {
            return;
        }
        let is_reserved = self.gang_reservations.contains_key(&id)
            || self.try_reserve_for_gang(id, now + RESERVATION_DURATION, now);
        if is_reserved && preempt {
            self.preempt_for_gang(id, now);
        }
    }

    /// Reserves machines for a gang, if there are enough of them, and releases the reservations of worse-ranked
    /// gangs that include any of these machines. Returns whether machines were reserved.
    fn try_reserve_for_gang(&mut self, id: JobId, expires_at: Timestamp, now: Timestamp) -> bool {
        let reservation = self
            .jobs
            .get(&id)
            .and_then(|job| self.choose_gang_reservation(job, expires_at, now));
        let Some(reservation) = reservation else {
            return false;
        };
        let displaced: BTreeSet<JobId> = reservation
            .machines
            .keys()
            .filter_map(|name| self.machines.get(name)?.reserved_for_gang)
            .collect();
        for gang in displaced {
            self.release_gang_reservation(gang);
        }
        for name in reservation.machines.keys() {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.reserved_for_gang = Some(id);
            }
        }
        let ready_in_ms = reservation.ready_at.duration_since(now).whole_millis();
        tracing::debug!(job = %id, machines = reservation.machines.len(), ready_in_ms, "machines reserved for gang");
        self.gang_reservations.insert(id, reservation);
        true
    }

    /// Preempts the tasks on a gang's machines that would still run when the last of the machines is free.
    fn preempt_for_gang(&mut self, id: JobId, now: Timestamp) {
        let Some(reservation) = self.gang_reservations.get(&id) else {
            return;
        };
        let Some(gang) = self.jobs.get(&id) else {
            return;
        };
        let victims: Vec<TaskId> = reservation
            .machines
            .keys()
            .filter_map(|name| self.machines.get(name))
            .flat_map(|machine| self.gang_victims(gang, reservation.ready_at, machine, now))
            .collect();
        for task in victims {
            tracing::debug!(job = %id, victim = %task, "preempting task for gang");
            let grace_ms = self.grace_period_ms(task);
            self.stop_task(task, grace_ms, now);
        }
    }

    /// The tasks on a machine that have to be stopped so that a task of the gang fits at `ready_at`. Those that
    /// lose the least work are chosen first.
    fn gang_victims(
        &self,
        gang: &Job,
        ready_at: Timestamp,
        machine: &Machine,
        now: Timestamp,
    ) -> Vec<TaskId> {
        let mut free = self.free_capacity_for(EntryKey::Gang(gang.spec.id), machine);
        if tasks_that_fit(gang, machine, free) > 0 {
            return Vec::new();
        }
        let mut candidates: Vec<Victim> = Vec::new();
        for task in &machine.tasks {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let Some(placement) = job.placed.get(&task.index) else {
                continue;
            };
            let ends_at = self.estimated_end(job, placement, now);
            if placement.stop.is_some() || ends_at <= ready_at + ACCEPTABLE_WAIT {
                free += job.spec.task_resources;
            } else if self.may_preempt(gang, job, placement) {
                candidates.push(Victim {
                    lost_work_ms: self.lost_work_ms(job, placement, false, now),
                    task: *task,
                });
            }
        }
        candidates.sort_unstable();
        let mut victims = Vec::new();
        for Victim { task, .. } in candidates {
            if tasks_that_fit(gang, machine, free) > 0 {
                break;
            }
            if let Some(job) = self.jobs.get(&task.job) {
                free += job.spec.task_resources;
            }
            victims.push(task);
        }
        victims
    }

    /// Whether the machines reserved for a gang will be free before others could be rented.
    pub(crate) fn is_gang_reservation_ready_soon(&self, id: JobId, now: Timestamp) -> bool {
        self.gang_reservations
            .get(&id)
            .is_some_and(|reservation| reservation.ready_at <= now + ACCEPTABLE_WAIT)
    }
}

/// Whether a task of a job fits on a reserved machine in addition to the gang's tasks.
fn leaves_room_for_gang(
    job: &Job,
    gang: &Job,
    reservation: &GangReservation,
    machine: &Machine,
) -> bool {
    let Some(tasks) = reservation.machines.get(&machine.name) else {
        return false;
    };
    let free = machine.free();
    let reserved = gang.spec.task_resources.times(*tasks);
    job.spec.task_resources.fits(&free)
        && reserved.fits(&free.saturating_sub(&job.spec.task_resources))
}

/// Whether a task of a job, if launched on a machine now, can be relied on to end by `ready_at`.
fn ends_before(job: &Job, ready_at: Timestamp, machine: &Machine, now: Timestamp) -> bool {
    let factor = match job.spec.kind {
        JobKind::Service => return false,
        JobKind::Gang => 1,
        JobKind::Array => ESTIMATE_SAFETY_FACTOR,
    };
    let max_duration = fetch_time(job, machine) + job.spec.estimated_run_time * factor;
    now + max_duration <= ready_at
}
