//! Reservations of machines for gangs.
//!
//! While a gang waits, smaller tasks would take each piece of capacity that becomes free, and the gang would
//! never start. So machines are reserved for a gang that has failed to fit twice: of all zones those on which
//! it could start soonest. They are chosen anew every few seconds, and released after a minute if the team's
//! limit keeps the gang back. Tasks that surely end before the last of the machines is free may still run on
//! them; tasks that the gang may preempt and that would not be gone by then are stopped.
//!
//! No two gangs wait for each other: a gang takes nothing that is reserved for one with a better rank, and
//! keeps nothing that such a gang may take.

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

/// How long machines are reserved for a gang that its team's limit keeps back.
const RESERVATION_DURATION: Duration = Duration::from_secs(60);
/// Time after which the machines reserved for gangs are chosen anew: tasks end sooner or later than expected.
const RESERVATION_REVIEW_INTERVAL: Duration = Duration::from_secs(2);
/// Scaling out takes longer than this: a gang whose machines are free before is no demand.
const NEAR_RESERVATION: Duration = Duration::from_secs(15);
/// Estimates are often wrong by half, and of the many tasks of an array or service some run long: their
/// estimates are multiplied by this before they are trusted to end in time.
const ESTIMATE_SAFETY_FACTOR: u32 = 2;

/// A gang whose reservation is chosen anew, in the order of rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RenewedReservation {
    rank: Rank,
    gang: JobId,
    until: Timestamp,
}

/// A task that a gang may preempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Victim {
    lost_work_ms: u64,
    task: TaskId,
}

impl PartitionState {
    /// Whether a machine is reserved for a gang that ranks before this job, unless the job leaves the gang
    /// its room or ends there before the gang can start.
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

    /// Computes what is reserved of each team's limit for its gangs. As a gang's machines become empty, the
    /// tasks that used the limit there free it; if it were not reserved, arrays would take each freed part.
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
                team.reserved_for_gangs += job.spec.needs.times(*tasks).saturating_sub(&used);
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

    /// Chooses the reservations of all gangs anew, in the order of rank, if one of them is due for review or
    /// has a machine that its gang could not use now. All at one time: what is released before it is chosen
    /// again would be taken by entries that are tried in between.
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
                    until: reservation.until,
                })
            })
            .collect();
        renewed.sort_unstable();
        let reserved: Vec<JobId> = self.gang_reservations.keys().copied().collect();
        for gang in reserved {
            self.release_gang_reservation(gang);
        }
        for RenewedReservation { gang, until, .. } in renewed {
            if !self.is_queued_gang(gang) {
                continue;
            }
            if now < until {
                self.try_reserve_for_gang(gang, until, now);
            } else if self.gang_fits_limit(gang) {
                self.try_reserve_for_gang(gang, now + RESERVATION_DURATION, now);
            }
        }
    }

    /// Whether a reservation is not due for review, its gang still waits, and can use all of its machines.
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

    /// Whether its team's limit leaves room for a whole gang.
    fn gang_fits_limit(&self, id: JobId) -> bool {
        self.jobs
            .get(&id)
            .is_some_and(|job| self.fits_limit(EntryKey::Gang(id), job, u64::from(job.spec.tasks)))
    }

    fn is_queued_gang(&self, id: JobId) -> bool {
        self.queue.contains(EntryKey::Gang(id))
    }

    /// After a failed placement of a gang: reserves machines for it once it has failed often enough, and, if
    /// `preempt` is set, stops tasks there.
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

    /// Reserves machines for a gang, if there are enough for it. Reservations of gangs of a lower rank for
    /// some of them are released.
    fn try_reserve_for_gang(&mut self, id: JobId, until: Timestamp, now: Timestamp) -> bool {
        let chosen = self
            .jobs
            .get(&id)
            .and_then(|job| self.choose_gang_reservation(job, until, now));
        let Some(reservation) = chosen else {
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
        tracing::debug!(job = %id, machines = reservation.machines.len(), ready_in_ms, "machines reserved for a gang");
        self.gang_reservations.insert(id, reservation);
        true
    }

    /// Stops tasks that would not be gone from a gang's machines by the time that the last of them is free.
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
            tracing::debug!(job = %id, victim = %task, "preempting a task for a gang");
            let grace = self.grace_period_ms(task);
            self.stop_task(task, grace, now);
        }
    }

    /// The tasks on a machine that have to be stopped so that a task of the gang fits at `ready_at`, those
    /// first that lose the least work.
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
            if placement.stop.is_some() || ends_at <= ready_at + NEAR_RESERVATION {
                free += job.spec.needs;
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
                free += job.spec.needs;
            }
            victims.push(task);
        }
        victims
    }

    /// Whether the machines reserved for a gang will be free before others could be rented.
    pub(crate) fn is_gang_reservation_ready_soon(&self, id: JobId, now: Timestamp) -> bool {
        self.gang_reservations
            .get(&id)
            .is_some_and(|reservation| reservation.ready_at <= now + NEAR_RESERVATION)
    }
}

/// Whether a task of a job fits on a reserved machine beside the gang's tasks.
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
    let reserved = gang.spec.needs.times(*tasks);
    job.spec.needs.fits(&free) && reserved.fits(&free.saturating_sub(&job.spec.needs))
}

/// Whether a task of a job that is launched on a machine now has surely ended at `ready_at`.
fn ends_before(job: &Job, ready_at: Timestamp, machine: &Machine, now: Timestamp) -> bool {
    let factor = match job.spec.kind {
        JobKind::Service => return false,
        JobKind::Gang => 1,
        JobKind::Array => ESTIMATE_SAFETY_FACTOR,
    };
    let lasts = fetch_time(job, machine) + job.spec.estimate * factor;
    now + lasts <= ready_at
}
