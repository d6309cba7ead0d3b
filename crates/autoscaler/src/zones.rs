//! Choice of another zone for gangs that must run in a single zone.

use crate::pending::PendingWork;
use crate::planner::Planner;

impl Planner<'_> {
    /// A gang is planned for the zone in which it lacks the least. If no more machines can be had
    /// there, all of it may go to another zone.
    pub(crate) fn reconsider_zone(&mut self, work: &mut PendingWork<'_>) {
        let is_gang = work.shape.gang > 0;
        if !is_gang || work.waiting == 0 || self.cheapest_machine(work, false).is_some() {
            return;
        }
        let preferred = work.zone.clone();
        match self.zone_for_gang(work) {
            Some(zone) => {
                work.zone = Some(zone);
                work.waiting = work.shape.gang;
                self.assign_to_incoming(work);
            }
            None => work.zone = preferred,
        }
    }

    /// A zone to which enough machines are coming already, or else the first one with an offer.
    /// Leaves the last zone that was tried in `work.zone`.
    fn zone_for_gang(&self, work: &mut PendingWork<'_>) -> Option<String> {
        let mut with_offer = None;
        for zone in self.other_zones(work) {
            work.zone = Some(zone.clone());
            if self.incoming_slots(work) >= work.shape.gang {
                return Some(zone);
            }
            if with_offer.is_none() && self.cheapest_machine(work, false).is_some() {
                with_offer = Some(zone);
            }
        }
        with_offer
    }

    /// All zones but the one that is planned for the work, the partition's home zone first.
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

    /// Tasks of the work that fit the machines that are coming to its partition.
    fn incoming_slots(&self, work: &PendingWork<'_>) -> u64 {
        let machines = self.incoming[work.need_index].iter();
        machines
            .filter(|m| work.suits(&m.machine_type, m.zone.as_str(), m.spot))
            .map(|machine| machine.free.how_many_fit(&work.task_size))
            .sum()
    }
}
