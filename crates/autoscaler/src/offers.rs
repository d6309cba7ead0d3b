//! Rentals: the choice of the cheapest machine that the cloud offers for some work.

use crate::capacity::{capacity_of, IncomingMachine};
use crate::machine::Offer;
use crate::pending::PendingWork;
use crate::planner::{Planner, RentalKey};
use model::ZoneName;
use wire::cloud::MachineType;

/// Factor on the price of machines outside the partition's preferred zone: a machine close to the
/// partition leader is worth slightly more, but a clearly cheaper offer elsewhere wins.
const OTHER_ZONE_PRICE_FACTOR: f64 = 1.05;

/// Upper limit on the number of slots of a machine when prices per task are compared.
const MAX_SLOTS: u64 = 1_000_000;

/// A machine that can be rented.
pub(crate) struct RentableMachine<'a> {
    machine_type: &'a MachineType,
    zone: ZoneName,
    spot: bool,
}

impl RentableMachine<'_> {
    fn offer(&self) -> Offer {
        Offer {
            machine_type: self.machine_type.name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
        }
    }

    fn price(&self) -> f64 {
        if self.spot {
            self.machine_type.spot_price_per_hour
        } else {
            self.machine_type.price_per_hour
        }
    }
}

impl<'a> Planner<'a> {
    /// The machine with the lowest price per task among those that can be rented for the work.
    pub(crate) fn cheapest_machine(
        &self,
        work: &PendingWork<'_>,
        spot_only: bool,
    ) -> Option<RentableMachine<'a>> {
        let preferred_zone = &self.needs[work.need_index].preferred_zone;
        let mut cheapest: Option<(f64, RentableMachine<'a>)> = None;
        for machine in self.rentable_machines(work, spot_only) {
            let slots = capacity_of(machine.machine_type).how_many_fit(&work.task_size);
            let zone_factor = if machine.zone == *preferred_zone {
                1.0
            } else {
                OTHER_ZONE_PRICE_FACTOR
            };
            let cost = machine.price() * zone_factor / slots.min(MAX_SLOTS) as f64;
            if cheapest.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                cheapest = Some((cost, machine));
            }
        }
        cheapest.map(|(_, machine)| machine)
    }

    /// Machines that suit the work, are not left to gangs, and were not refused recently.
    fn rentable_machines(
        &self,
        work: &PendingWork<'_>,
        spot_only: bool,
    ) -> Vec<RentableMachine<'a>> {
        let mut rentable = Vec::new();
        for machine_type in self.machine_types {
            for (zone, spot) in machine_type
                .zones
                .iter()
                .flat_map(|zone| [(zone, true), (zone, false)])
            {
                if !work.suits(&machine_type.name, zone, spot)
                    || (spot_only && !spot)
                    || self.is_left_to_gangs(work, &machine_type.name, spot)
                {
                    continue;
                }
                let zone = ZoneName::from(zone.as_str());
                let machine = RentableMachine {
                    machine_type,
                    zone,
                    spot,
                };
                if self.may_rent(&machine.offer()) {
                    rentable.push(machine);
                }
            }
        }
        rentable
    }

    /// Whether gangs wait for machines of this type while the work can run on other types.
    fn is_left_to_gangs(&self, work: &PendingWork<'_>, machine_type: &str, spot: bool) -> bool {
        let mut gang_types = self.gang_types.iter();
        work.shape.gang_size == 0
            && work.machine_types.len() > 1
            && gang_types
                .any(|gang_type| gang_type.name == machine_type && (gang_type.spot || !spot))
    }

    /// Whether one more machine may be requested of an offer.
    fn may_rent(&self, offer: &Offer) -> bool {
        let limit = self.refused.get(offer).copied().unwrap_or(u32::MAX);
        self.rented_by_offer.get(offer).copied().unwrap_or(0) < limit
    }

    /// Rents the cheapest machine for the work, if any can be rented.
    pub(crate) fn rent(
        &mut self,
        work: &PendingWork<'_>,
        spot_only: bool,
    ) -> Option<IncomingMachine> {
        let machine = self.cheapest_machine(work, spot_only)?;
        let offer = machine.offer();
        *self.rented_by_offer.entry(offer.clone()).or_default() += 1;
        *self
            .rentals
            .entry(RentalKey {
                need_index: work.need_index,
                offer,
            })
            .or_default() += 1;
        Some(IncomingMachine::new(
            machine.machine_type,
            machine.zone,
            machine.spot,
        ))
    }
}
