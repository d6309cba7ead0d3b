//! Index of the partition's usable machines by free capacity and by cached image.
//!
//! A cycle needs the best machine with free capacity for a task. Machines that differ in free CPUs only form
//! a level: same class (type, zone, spot or on-demand), same number of replicas, same free GPUs. The levels
//! are ranges of one ordered map, which exists once for all machines and once for each image. So a cycle
//! checks a few machines however many there are, and none that is full.
//!
//! Invariants: a machine is in the index exactly if its `capacity_key` is set, under that key, and in the map of
//! each image that it has cached. The free capacity in the key is what placements leave, whether reserved or
//! not; the caller checks reservations, memory and whether the machine may be used now. Machines that were
//! not usable at the last refresh are not in the index: after a network partition hundreds of them have free
//! capacity, and each cycle would have to skip them.

use crate::machine::{CapacityKey, Machine};
use model::{JobSpec, MachineName, Resources, ZoneName};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::sync::Arc;

/// Number of replicas on a machine beyond which more make no difference for its rank.
pub(crate) const MAX_RANKED_REPLICAS: u64 = 64;

/// Machines of one type in one zone, all spot or all on-demand.
#[derive(Debug, Clone, PartialEq, Eq)]
struct MachineClass {
    machine_type: String,
    zone: ZoneName,
    spot: bool,
}

/// The names of machines by class, replicas, free GPUs and free CPUs, in this order of comparison.
type FreeCapacityMap = BTreeMap<CapacityKey, BTreeSet<MachineName>>;

/// The index; see the module's description for its invariants.
#[derive(Debug, Default)]
pub(crate) struct CapacityIndex {
    /// All classes seen so far; the index into this list is [`CapacityKey::class`].
    classes: Vec<MachineClass>,
    all: FreeCapacityMap,
    by_image: HashMap<Arc<str>, FreeCapacityMap>,
}

/// The key of a machine of this class.
fn place_of(machine: &Machine, class: u32) -> CapacityKey {
    let free = machine.free();
    CapacityKey {
        class,
        replica_count: machine.replica_count.min(MAX_RANKED_REPLICAS),
        milli_gpus: free.milli_gpus,
        milli_cpus: free.milli_cpus,
    }
}

fn insert(machines: &mut FreeCapacityMap, place: CapacityKey, name: &MachineName) {
    machines.entry(place).or_default().insert(name.clone());
}

fn remove(machines: &mut FreeCapacityMap, place: CapacityKey, name: &MachineName) {
    if let Some(names) = machines.get_mut(&place) {
        names.remove(name);
        if names.is_empty() {
            machines.remove(&place);
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
            self.classes.push(MachineClass {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            });
            self.classes.len() - 1
        }) as u32
    }

    /// Adds a machine, or updates its free capacity if it is in the index.
    pub(crate) fn add_or_update(&mut self, machine: &mut Machine) {
        if machine.capacity_key.is_some() {
            self.update(machine);
            return;
        }
        let place = place_of(machine, self.class_of(machine));
        machine.capacity_key = Some(place);
        insert(&mut self.all, place, &machine.name);
        for (image, _) in &machine.images {
            insert(
                self.by_image.entry(image.clone()).or_default(),
                place,
                &machine.name,
            );
        }
    }

    /// Updates the free capacity of a machine, if that is in the index.
    pub(crate) fn update(&mut self, machine: &mut Machine) {
        let Some(old) = machine.capacity_key else {
            return;
        };
        let place = place_of(machine, old.class);
        if old == place {
            return;
        }
        machine.capacity_key = Some(place);
        let move_entry = |machines: &mut FreeCapacityMap| {
            remove(machines, old, &machine.name);
            insert(machines, place, &machine.name);
        };
        move_entry(&mut self.all);
        for (image, _) in &machine.images {
            self.by_image.get_mut(image).map(move_entry);
        }
    }

    /// Records that a machine has fetched or used an image, for which its cache may have evicted others.
    pub(crate) fn touch_image(&mut self, machine: &mut Machine, image: &Arc<str>, gb: f64) {
        if machine
            .images
            .last()
            .is_some_and(|(newest, _)| newest == image)
        {
            return;
        }
        let Some(place) = machine.capacity_key else {
            machine.touch_image(image, gb);
            return;
        };
        let is_new = !machine.has_image(image);
        for evicted in machine.touch_image(image, gb) {
            self.remove_image(&evicted, place, &machine.name);
        }
        if is_new {
            insert(
                self.by_image.entry(image.clone()).or_default(),
                place,
                &machine.name,
            );
        }
    }

    /// Removes a machine that leaves the partition or is not usable at present.
    pub(crate) fn remove(&mut self, machine: &mut Machine) {
        let Some(place) = machine.capacity_key.take() else {
            return;
        };
        remove(&mut self.all, place, &machine.name);
        for (image, _) in &machine.images {
            self.remove_image(image, place, &machine.name);
        }
    }

    fn remove_image(&mut self, image: &str, place: CapacityKey, name: &MachineName) {
        if let Some(machines) = self.by_image.get_mut(image) {
            remove(machines, place, name);
            if machines.is_empty() {
                self.by_image.remove(image);
            }
        }
    }

    /// Machines that have an image cached.
    pub(crate) fn machines_with_image(&self, image: &str) -> impl Iterator<Item = &MachineName> {
        self.by_image
            .get(image)
            .into_iter()
            .flat_map(|machines| machines.values().flatten())
    }

    /// Machines on which a job may run and whose free CPUs and GPUs suffice for one of its tasks.
    pub(crate) fn machines_with_capacity<'a>(
        &'a self,
        spec: &'a JobSpec,
    ) -> impl Iterator<Item = &'a MachineName> {
        Levels::new(&self.all, &self.classes, spec)
            .flat_map(|level| level.flat_map(|(_, names)| names))
    }

    /// The best machine for a task: of each level the first machine that is suitable, and of those the one
    /// with the least score and name. Machines without the task's image are considered only if no machine
    /// with it is suitable, and not at all if `with_image_only` is set.
    pub(crate) fn best_machine<'a, S: Ord>(
        &self,
        spec: &JobSpec,
        with_image_only: bool,
        find: impl Fn(&MachineName) -> Option<&'a Machine>,
        is_suitable: impl Fn(&Machine) -> bool,
        score: impl Fn(&Machine) -> S,
    ) -> Option<&'a Machine> {
        let first_of_level = |mut level: Level<'_>| {
            level.find_map(|(_, names)| {
                names
                    .iter()
                    .filter_map(&find)
                    .find(|machine| is_suitable(machine))
            })
        };
        let best_of = |machines: &FreeCapacityMap| {
            Levels::new(machines, &self.classes, spec)
                .filter_map(first_of_level)
                .min_by(|left, right| (score(left), &left.name).cmp(&(score(right), &right.name)))
        };
        let with_image = self.by_image.get(&spec.image).and_then(best_of);
        if with_image_only {
            return with_image;
        }
        with_image.or_else(|| best_of(&self.all))
    }
}

/// Machines of a level, those with the fewest free CPUs first.
type Level<'a> = std::collections::btree_map::Range<'a, CapacityKey, BTreeSet<MachineName>>;

/// Iterator over the levels on which a task may run, restricted to machines with enough free CPUs.
struct Levels<'a> {
    machines: &'a FreeCapacityMap,
    /// Whether the job may run on a class, for each class.
    allowed: Vec<bool>,
    needs: Resources,
    /// The end of the part of the map that has been visited.
    visited_until: Option<CapacityKey>,
}

impl<'a> Levels<'a> {
    fn new(machines: &'a FreeCapacityMap, classes: &[MachineClass], spec: &JobSpec) -> Self {
        let allowed = classes
            .iter()
            .map(|class| spec.allows(&class.machine_type, &class.zone, class.spot));
        Levels {
            machines,
            allowed: allowed.collect(),
            needs: spec.needs,
            visited_until: None,
        }
    }
}

impl<'a> Iterator for Levels<'a> {
    type Item = Level<'a>;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            let from = self.visited_until.map_or(Bound::Unbounded, Bound::Excluded);
            let (first, _) = self.machines.range((from, Bound::Unbounded)).next()?;
            let last = CapacityKey {
                milli_cpus: u64::MAX,
                ..*first
            };
            let allowed = self
                .allowed
                .get(first.class as usize)
                .copied()
                .unwrap_or(false);
            if !allowed {
                // Skip to the next class.
                self.visited_until = Some(CapacityKey {
                    replica_count: u64::MAX,
                    milli_gpus: u64::MAX,
                    ..last
                });
                continue;
            }
            self.visited_until = Some(last);
            if first.milli_gpus < self.needs.milli_gpus {
                continue;
            }
            let least = CapacityKey {
                milli_cpus: self.needs.milli_cpus,
                ..*first
            };
            return Some(self.machines.range(least..=last));
        }
    }
}

#[cfg(test)]
mod tests;
