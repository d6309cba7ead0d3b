//! Index of the partition's usable machines by free capacity and by cached image.
//!
//! Each scheduling cycle needs the best machine with free capacity for a task. Machines that differ only in
//! their free CPUs form a level: they have the same class (type, zone, spot or on-demand), the same number of
//! replicas and the same free GPUs. Levels are ranges of an ordered map; there is one map of all machines and
//! one of the machines that have an image, for each image. A cycle therefore checks only a few machines, however
//! many there are, and none without enough free CPUs and GPUs.
//!
//! Invariant: a machine is in the index if and only if its `capacity_key` is set. It is then in the map of all
//! machines and in the map of each of its cached images, under that key.
//!
//! The free capacity in the key is what placements leave free, even if it is reserved. The caller checks
//! reservations, memory and whether the machine may be used now. Machines that were not usable at the last
//! refresh are not in the index: after a network partition, hundreds of them have free capacity, and each cycle
//! would have to skip them.

use crate::machine::{CapacityKey, Machine};
use model::{JobSpec, MachineName, Resources, ZoneName};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::sync::Arc;

/// Number of replicas up to which machines with more replicas rank first; further ones make no difference.
pub(crate) const MAX_RANKED_REPLICAS: u64 = 64;

/// Machines of one type in one zone, all spot or all on-demand.
#[derive(Debug, Clone, PartialEq, Eq)]
struct MachineClass {
    machine_type: String,
    zone: ZoneName,
    spot: bool,
}

/// Names of machines by class, replicas, free GPUs and free CPUs, ordered in this sequence.
type FreeCapacityMap = BTreeMap<CapacityKey, BTreeSet<MachineName>>;

/// The index; see the module documentation for its invariant.
#[derive(Debug, Default)]
pub(crate) struct CapacityIndex {
    /// All classes seen so far. [`CapacityKey::class`] is an index into this list.
    classes: Vec<MachineClass>,
    /// All machines of the index.
    all: FreeCapacityMap,
    /// The machines that have an image cached, by image.
    by_image: HashMap<Arc<str>, FreeCapacityMap>,
}

/// The key of a machine whose class has the index `class`.
fn key_of(machine: &Machine, class: u32) -> CapacityKey {
    let free = machine.free();
    CapacityKey {
        class,
        replica_count: machine.replica_count.min(MAX_RANKED_REPLICAS),
        milli_gpus: free.milli_gpus,
        milli_cpus: free.milli_cpus,
    }
}

fn insert(machines: &mut FreeCapacityMap, key: CapacityKey, name: &MachineName) {
    machines.entry(key).or_default().insert(name.clone());
}

fn remove(machines: &mut FreeCapacityMap, key: CapacityKey, name: &MachineName) {
    if let Some(names) = machines.get_mut(&key) {
        names.remove(name);
        if names.is_empty() {
            machines.remove(&key);
        }
    }
}

impl CapacityIndex {
    /// The index of a machine's class, which is added to the list if it is new.
    fn class_index(&mut self, machine: &Machine) -> u32 {
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
        let key = key_of(machine, self.class_index(machine));
        machine.capacity_key = Some(key);
        insert(&mut self.all, key, &machine.name);
        for (image, _) in &machine.images {
            insert(
                self.by_image.entry(image.clone()).or_default(),
                key,
                &machine.name,
            );
        }
    }

    /// Updates the free capacity of a machine if the machine is in the index.
    pub(crate) fn update(&mut self, machine: &mut Machine) {
        let Some(old_key) = machine.capacity_key else {
            return;
        };
        let key = key_of(machine, old_key.class);
        if old_key == key {
            return;
        }
        machine.capacity_key = Some(key);
        let move_entry = |machines: &mut FreeCapacityMap| {
            remove(machines, old_key, &machine.name);
            insert(machines, key, &machine.name);
        };
        move_entry(&mut self.all);
        for (image, _) in &machine.images {
            self.by_image.get_mut(image).map(move_entry);
        }
    }

    /// Records that a machine has fetched or used an image. The machine's cache may have evicted others for it.
    pub(crate) fn touch_image(&mut self, machine: &mut Machine, image: &Arc<str>, gb: f64) {
        if machine
            .images
            .last()
            .is_some_and(|(newest, _)| newest == image)
        {
            return;
        }
        let Some(key) = machine.capacity_key else {
            machine.touch_image(image, gb);
            return;
        };
        let is_new = !machine.has_image(image);
        for evicted in machine.touch_image(image, gb) {
            self.remove_image(&evicted, key, &machine.name);
        }
        if is_new {
            insert(
                self.by_image.entry(image.clone()).or_default(),
                key,
                &machine.name,
            );
        }
    }

    /// Removes a machine that leaves the partition or is not usable now.
    pub(crate) fn remove(&mut self, machine: &mut Machine) {
        let Some(key) = machine.capacity_key.take() else {
            return;
        };
        remove(&mut self.all, key, &machine.name);
        for (image, _) in &machine.images {
            self.remove_image(image, key, &machine.name);
        }
    }

    fn remove_image(&mut self, image: &str, key: CapacityKey, name: &MachineName) {
        if let Some(machines) = self.by_image.get_mut(image) {
            remove(machines, key, name);
            if machines.is_empty() {
                self.by_image.remove(image);
            }
        }
    }

    /// The machines that have an image cached.
    pub(crate) fn machines_with_image(&self, image: &str) -> impl Iterator<Item = &MachineName> {
        self.by_image
            .get(image)
            .into_iter()
            .flat_map(|machines| machines.values().flatten())
    }

    /// The machines of classes that the job allows whose free CPUs and GPUs suffice for one of its tasks.
    pub(crate) fn machines_with_capacity<'a>(
        &'a self,
        spec: &'a JobSpec,
    ) -> impl Iterator<Item = &'a MachineName> {
        Levels::new(&self.all, &self.classes, spec)
            .flat_map(|level| level.flat_map(|(_, names)| names))
    }

    /// The best machine for a task. From each level, the first suitable machine is a candidate; of the
    /// candidates, the one with the lowest score is chosen, and of equal ones the first by name. Machines
    /// without the task's image are considered only if no machine that has it is suitable, and not at all if
    /// `image_cached_only` is set.
    pub(crate) fn best_machine<'a, S: Ord>(
        &self,
        spec: &JobSpec,
        image_cached_only: bool,
        find_machine: impl Fn(&MachineName) -> Option<&'a Machine>,
        is_suitable: impl Fn(&Machine) -> bool,
        score: impl Fn(&Machine) -> S,
    ) -> Option<&'a Machine> {
        let first_suitable = |mut level: Level<'_>| {
            level.find_map(|(_, names)| {
                names
                    .iter()
                    .filter_map(&find_machine)
                    .find(|machine| is_suitable(machine))
            })
        };
        let best_of = |machines: &FreeCapacityMap| {
            Levels::new(machines, &self.classes, spec)
                .filter_map(first_suitable)
                .min_by(|left, right| (score(left), &left.name).cmp(&(score(right), &right.name)))
        };
        let with_image = self.by_image.get(&spec.image).and_then(best_of);
        if image_cached_only {
            return with_image;
        }
        with_image.or_else(|| best_of(&self.all))
    }
}

/// Iterator over the machines of a level, those with the fewest free CPUs first.
type Level<'a> = std::collections::btree_map::Range<'a, CapacityKey, BTreeSet<MachineName>>;

/// Iterator over the levels whose class the job allows and whose free GPUs suffice for a task, each restricted
/// to machines with enough free CPUs.
struct Levels<'a> {
    machines: &'a FreeCapacityMap,
    /// For each class, whether the job allows it.
    allowed_classes: Vec<bool>,
    /// Resources of one task.
    needs: Resources,
    /// The end of the visited part of the map.
    visited_until: Option<CapacityKey>,
}

impl<'a> Levels<'a> {
    fn new(machines: &'a FreeCapacityMap, classes: &[MachineClass], spec: &JobSpec) -> Self {
        let allowed_classes = classes
            .iter()
            .map(|class| spec.allows(&class.machine_type, &class.zone, class.spot));
        Levels {
            machines,
            allowed_classes: allowed_classes.collect(),
            needs: spec.task_resources,
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
            let is_allowed = self
                .allowed_classes
                .get(first.class as usize)
                .copied()
                .unwrap_or(false);
            if !is_allowed {
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
