//! Choice of another zone for gangs that must run in a single zone.

use crate::pending::PendingWork;
use crate::planner::Planner;

impl Planner<'_> {
    /// Moves a gang to another zone as a whole if it still lacks machines in the zone for which it is
    /// planned and none can be rented there. That zone is at first the one in which the fewest machines
    /// are missing.
    pub(crate) fn reconsider_zone(&mut self, work: &mut PendingWork<'_>) {
        let is_gang = work.shape.gang_size > 0;
        if !is_gang || work.waiting == 0 || self.cheapest_machine(work, false).is_some() {
            return;
        }
        let planned_zone = work.zone.clone();
        match self.zone_for_gang(work) {
            Some(zone) => {
                work.zone = Some(zone);
                work.waiting = work.shape.gang_size;
                self.assign_to_incoming(work);
            }
            None => work.zone = planned_zone,
        }
    }

    /// The first other zone in which enough machines for the gang are incoming, or else the first one
    /// in which machines can be rented. Leaves the zone that was tried last in `work.zone`.
    fn zone_for_gang(&self, work: &mut PendingWork<'_>) -> Option<String> {
        let mut rentable_zone = None;
        for zone in self.other_zones(work) {
            work.zone = Some(zone.clone());
            if self.incoming_slots(work) >= work.shape.gang_size {
                return Some(zone);
            }
            if rentable_zone.is_none() && self.cheapest_machine(work, false).is_some() {
                rentable_zone = Some(zone);
            }
        }
        rentable_zone
    }

    /// All zones except the one for which the work is planned, the partition's preferred zone first.
    fn other_zones(&self, work: &PendingWork<'_>) -> Vec<String> {
        let all = self
            .machine_types
            .iter()
            .flat_map(|machine_type| &machine_type.zones);
        let mut others: Vec<String> = all
            .filter(|zone| Some(*zone) != work.zone.as_ref())
            .cloned()
            .collect();
        let preferred_zone = self.needs[work.need_index].preferred_zone.as_str();
        others.sort_by_key(|zone| (zone != preferred_zone, zone.clone()));
        others.dedup();
        others
    }

    /// How many tasks of the work fit on those incoming machines of its partition that suit it.
    fn incoming_slots(&self, work: &PendingWork<'_>) -> u64 {
        let machines = self.incoming[work.need_index].iter();
        machines
            .filter(|machine| {
                work.suits(&machine.machine_type, machine.zone.as_str(), machine.spot)
            })
            .map(|machine| machine.free.how_many_fit(&work.task_size))
            .sum()
    }
}
