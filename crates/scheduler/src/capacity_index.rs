//! The share's machines by the room they have left.
//!
//! A cycle asks for the best machine with room for a task. Machines that are alike as far as the
//! score goes (type, zone and kind, replicas on them, free GPUs, free CPUs) stand together in one
//! ordered map, once for all machines and once for those that have an image. So a cycle looks at
//! a few machines however many there are, and at none that is full.
//!
//! Room is what placements have left, promised or not: what is promised on a machine, whether the
//! memory suffices and whether it may be used at this moment is for whoever asks to check. Machines
//! that had fallen silent or may take nothing for another reason when they were last looked at are
//! not in the index: after a cut hundreds of them have room, and each cycle would pass them by.

use crate::machine::{Machine, Place};
use model::{JobSpec, MachineName, Resources, ZoneName};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::sync::Arc;

/// Replicas on a machine beyond which more make no difference.
pub(crate) const MAX_RANKED_REPLICAS: u64 = 64;

/// Machines of one type and kind in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Class {
    machine_type: String,
    zone: ZoneName,
    spot: bool,
}

type FreeCapacityMap = BTreeMap<Place, BTreeSet<MachineName>>;

/// The index.
#[derive(Debug, Default)]
pub(crate) struct CapacityIndex {
    classes: Vec<Class>,
    all: FreeCapacityMap,
    by_image: HashMap<Arc<str>, FreeCapacityMap>,
}

fn place_of(machine: &Machine, class: u32) -> Place {
    let free = machine.free();
    Place {
        class,
        pinned: machine.pinned.min(MAX_RANKED_REPLICAS),
        milli_gpus: free.milli_gpus,
        milli_cpus: free.milli_cpus,
    }
}

fn put(rooms: &mut FreeCapacityMap, place: Place, name: &MachineName) {
    rooms.entry(place).or_default().insert(name.clone());
}

fn take(rooms: &mut FreeCapacityMap, place: Place, name: &MachineName) {
    if let Some(names) = rooms.get_mut(&place) {
        names.remove(name);
        if names.is_empty() {
            rooms.remove(&place);
        }
    }
}

impl CapacityIndex {
    fn class_of(&mut self, machine: &Machine) -> u32 {
        let known = self.classes.iter().position(|class| {
            class.spot == machine.spot
                && class.zone == machine.zone
                && class.machine_type == machine.machine_type
        });
        known.unwrap_or_else(|| {
            self.classes.push(Class {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            });
            self.classes.len() - 1
        }) as u32
    }

    /// Takes a machine in, or notes what has changed about its room.
    pub(crate) fn enter(&mut self, machine: &mut Machine) {
        if machine.place.is_some() {
            self.update(machine);
            return;
        }
        let place = place_of(machine, self.class_of(machine));
        machine.place = Some(place);
        put(&mut self.all, place, &machine.name);
        for (image, _) in &machine.images {
            put(
                self.by_image.entry(image.clone()).or_default(),
                place,
                &machine.name,
            );
        }
    }

    /// Notes what has changed about the room of a machine, if that is in the index.
    pub(crate) fn update(&mut self, machine: &mut Machine) {
        let Some(old) = machine.place else { return };
        let place = place_of(machine, old.class);
        if old == place {
            return;
        }
        machine.place = Some(place);
        let shift = |rooms: &mut FreeCapacityMap| {
            take(rooms, old, &machine.name);
            put(rooms, place, &machine.name);
        };
        shift(&mut self.all);
        for (image, _) in &machine.images {
            self.by_image.get_mut(image).map(shift);
        }
    }

    /// A task with this image got past its fetch: the machine has it, and may have lost others.
    pub(crate) fn touch_image(&mut self, machine: &mut Machine, image: &Arc<str>, gb: f64) {
        if machine
            .images
            .last()
            .is_some_and(|(newest, _)| newest == image)
        {
            return;
        }
        let Some(place) = machine.place else {
            machine.touch_image(image, gb);
            return;
        };
        let new = !machine.has_image(image);
        for lost in machine.touch_image(image, gb) {
            self.lose_image(&lost, place, &machine.name);
        }
        if new {
            put(
                self.by_image.entry(image.clone()).or_default(),
                place,
                &machine.name,
            );
        }
    }

    /// The machine leaves the share, or takes nothing for a while.
    pub(crate) fn remove(&mut self, machine: &mut Machine) {
        let Some(place) = machine.place.take() else {
            return;
        };
        take(&mut self.all, place, &machine.name);
        for (image, _) in &machine.images {
            self.lose_image(image, place, &machine.name);
        }
    }

    fn lose_image(&mut self, image: &str, place: Place, name: &MachineName) {
        if let Some(rooms) = self.by_image.get_mut(image) {
            take(rooms, place, name);
            if rooms.is_empty() {
                self.by_image.remove(image);
            }
        }
    }

    /// Machines that have the image.
    pub(crate) fn holders(&self, image: &str) -> impl Iterator<Item = &MachineName> {
        self.by_image
            .get(image)
            .into_iter()
            .flat_map(|rooms| rooms.values().flatten())
    }

    /// Machines with so many CPUs and GPUs free that a job of these needs may run on.
    pub(crate) fn with_room<'a>(
        &'a self,
        spec: &'a JobSpec,
    ) -> impl Iterator<Item = &'a MachineName> {
        Levels::new(&self.all, &self.classes, spec)
            .flat_map(|level| level.flat_map(|(_, names)| names))
    }

    /// The best of the machines that have room for a task: of each level the first that is
    /// `fit`, and of those the one of the least score and name. Only machines with the task's
    /// image are looked at while one of them is fit, and no others at all if `cached`.
    pub(crate) fn best<'a, S: Ord>(
        &self,
        spec: &JobSpec,
        cached: bool,
        find: impl Fn(&MachineName) -> Option<&'a Machine>,
        fit: impl Fn(&Machine) -> bool,
        score: impl Fn(&Machine) -> S,
    ) -> Option<&'a Machine> {
        let among = |rooms: &FreeCapacityMap| {
            let firsts = Levels::new(rooms, &self.classes, spec).filter_map(|mut level| {
                level.find_map(|(_, names)| names.iter().filter_map(&find).find(|m| fit(m)))
            });
            firsts.min_by(|a, b| (score(a), &a.name).cmp(&(score(b), &b.name)))
        };
        let with_image = self.by_image.get(&spec.image).and_then(among);
        with_image.or_else(|| if cached { None } else { among(&self.all) })
    }
}

/// Levels of a map that may hold a task: same class, replicas and free GPUs, rising free CPUs.
struct Levels<'a> {
    rooms: &'a FreeCapacityMap,
    allowed: Vec<bool>,
    needs: Resources,
    after: Option<Place>,
}

impl<'a> Levels<'a> {
    fn new(rooms: &'a FreeCapacityMap, classes: &[Class], spec: &JobSpec) -> Self {
        let allowed = classes
            .iter()
            .map(|c| spec.allows(&c.machine_type, &c.zone, c.spot));
        Levels {
            rooms,
            allowed: allowed.collect(),
            needs: spec.needs,
            after: None,
        }
    }
}

impl<'a> Iterator for Levels<'a> {
    type Item = std::collections::btree_map::Range<'a, Place, BTreeSet<MachineName>>;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            let from = self.after.map_or(Bound::Unbounded, Bound::Excluded);
            let (first, _) = self.rooms.range((from, Bound::Unbounded)).next()?;
            let last = Place {
                milli_cpus: u64::MAX,
                ..*first
            };
            let allowed = self
                .allowed
                .get(first.class as usize)
                .copied()
                .unwrap_or(false);
            if !allowed {
                // The next class.
                self.after = Some(Place {
                    pinned: u64::MAX,
                    milli_gpus: u64::MAX,
                    ..last
                });
                continue;
            }
            self.after = Some(last);
            if first.milli_gpus < self.needs.milli_gpus {
                continue;
            }
            let least = Place {
                milli_cpus: self.needs.milli_cpus,
                ..*first
            };
            return Some(self.rooms.range(least..=last));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::job::Job;
    use model::{FencingToken, JobId, TaskId, Timestamp};
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    use wire::cloud::MachineType;
    use wire::users::{JobKind, JobRequest, Priority};

    fn job(rng: &mut SmallRng) -> Job {
        let request = JobRequest {
            id: format!("j-{:06}", rng.random_range(1..999_999)),
            class: "c".into(),
            team: "t".into(),
            kind: if rng.random_bool(0.5) {
                JobKind::Service
            } else {
                JobKind::Array
            },
            priority: Priority::Normal,
            tasks: 1,
            cpus: f64::from(rng.random_range(1..5)) / 2.0,
            gpus: f64::from(rng.random_range(0..2)),
            memory_gb: 1.0,
            image: format!("i{}", rng.random_range(0..4)),
            image_gb: 3.0,
            types: rng.random_bool(0.3).then(|| vec!["m1".into()]),
            zone: rng.random_bool(0.3).then(|| "a".into()),
            one_zone: false,
            spread: false,
            spot: rng.random_bool(0.5),
            estimate_s: 10.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        };
        Job::new(
            JobSpec::try_from(&request).expect("a good job"),
            0,
            Timestamp::from_millis(0),
        )
    }

    fn machine(n: u64, rng: &mut SmallRng) -> Machine {
        let kind = MachineType {
            name: format!("m{}", rng.random_range(0..2)),
            cpus: 4.0,
            gpus: 2.0,
            memory_gb: 6.0,
            cache_gb: 7.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.5,
            boot_s: 10.0,
            zones: vec!["a".into(), "b".into()],
        };
        let zone = ZoneName::from(if rng.random_bool(0.5) { "a" } else { "b" });
        let name = MachineName::from(format!("host-{n:06}").as_str());
        Machine::new(name, &kind, zone, rng.random_bool(0.4), FencingToken(1))
    }

    /// Less is better: the order in which levels, and the machines within them, stand.
    fn score(job: &Job, machine: &Machine) -> (bool, bool, u64, u64, u64) {
        let pinned = MAX_RANKED_REPLICAS - machine.pinned.min(MAX_RANKED_REPLICAS);
        let free = machine.free();
        let cached = machine.has_image(&job.spec.image);
        (
            !cached,
            !machine.spot,
            pinned,
            free.milli_gpus,
            free.milli_cpus,
        )
    }

    /// Whatever has come and gone, the index names the machine that a look at all would.
    #[test]
    fn the_best_is_the_one_that_a_scan_finds() {
        let mut found = 0;
        for seed in 0..40 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut index = CapacityIndex::default();
            let mut machines: BTreeMap<MachineName, Machine> = BTreeMap::new();
            let mut held: Vec<(MachineName, TaskId, Arc<JobSpec>)> = Vec::new();
            for step in 0..400u64 {
                let some = rng.random_range(0..machines.len().max(1));
                let some = machines.keys().nth(some).cloned();
                let job = job(&mut rng);
                match (rng.random_range(0..7), some) {
                    (0, Some(name)) if machines.len() > 25 => {
                        let mut gone = machines.remove(&name).expect("it is there");
                        held.retain(|(on, ..)| *on != name);
                        index.remove(&mut gone);
                    }
                    (0 | 1, _) => {
                        let mut new = machine(step, &mut rng);
                        index.enter(&mut new);
                        machines.insert(new.name.clone(), new);
                    }
                    (2, Some(name)) => {
                        let on = machines.get_mut(&name).expect("it is there");
                        match on.place {
                            Some(_) => index.remove(on),
                            None => index.enter(on),
                        }
                    }
                    (3, _) if !held.is_empty() => {
                        let at = rng.random_range(0..held.len());
                        let (name, task, spec) = held.swap_remove(at);
                        let on = machines.get_mut(&name).expect("it is there");
                        on.remove_task(task, &spec, Timestamp::from_millis(step));
                        index.update(on);
                    }
                    (4 | 5, Some(name)) => {
                        let on = machines.get_mut(&name).expect("it is there");
                        let task = TaskId {
                            job: JobId(step),
                            index: 0,
                        };
                        if job.spec.needs.fits(&on.free()) {
                            on.add_task(task, &job.spec);
                            index.update(on);
                            index.touch_image(on, &job.spec.image, job.spec.image_gb);
                            held.push((name, task, job.spec.clone()));
                        }
                    }
                    _ => {}
                }
                let fit = |m: &Machine| job.spec.needs.fits(&m.free());
                let scan = machines
                    .values()
                    .filter(|m| m.place.is_some() && fit(m))
                    .filter(|m| job.spec.allows(&m.machine_type, &m.zone, m.spot))
                    .min_by_key(|m| score(&job, m));
                let best = index.best(
                    &job.spec,
                    false,
                    |n| machines.get(n),
                    fit,
                    |m| score(&job, m),
                );
                assert_eq!(
                    best.map(|m| &m.name),
                    scan.map(|m| &m.name),
                    "seed {seed}, {step}"
                );
                found += u32::from(best.is_some());
            }
        }
        assert!(found > 5_000, "{found}");
    }
}
