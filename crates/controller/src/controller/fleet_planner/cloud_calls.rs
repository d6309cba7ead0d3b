//! Calls to the cloud: rentals, releases and lists of machines, their replies and their retries.

use crate::controller::call_kind::FleetCall;
use crate::controller::machine_records::MachineChange;
use crate::controller::{CallKind, Controller};
use crate::rejections::{MessageFault, MessageSource};
use crate::request_budget::TokenBucket;
use autoscaler::Offer;
use model::{CallId, MachineName, PartitionId, Timestamp, ZoneName};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wire::cloud::{CloudReply, CloudRequest, ListedMachine, RentRequest};

use super::UnregisteredMachine;

/// Fraction of the cloud's request rate that the planner uses; the rest allows for bursts.
const CALL_RATE_FRACTION: f64 = 0.8;
/// Calls that a list of machines leaves for rentals and releases.
const LIST_CALL_RESERVE: f64 = 1.0;
/// Time between two lists of machines.
const LIST_INTERVAL: Duration = Duration::from_secs(4);
/// Machines per page of a list.
const LIST_PAGE_SIZE: u32 = 500;
/// How long an offer is not requested again after the cloud had no capacity for it.
const NO_CAPACITY_PAUSE: Duration = Duration::from_secs(6);
/// How long an offer is not requested again after the cloud refused the call.
const REFUSED_RENTAL_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause before a rental without a reply is requested again.
const RENTAL_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How long a release waits for its effect before it is requested again.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// Part of [`RELEASE_TIMEOUT`] that is skipped after a release has failed.
const FAILED_RELEASE_TIMEOUT_REDUCTION: Duration = Duration::from_secs(4);
/// Machines that one call releases at most.
const MAX_MACHINES_PER_RELEASE: usize = 100;

/// A rental that the cloud has not confirmed yet.
#[derive(Debug)]
struct PendingRental {
    request: RentRequest,
    partition: PartitionId,
}

/// A rental to be requested again.
#[derive(Debug)]
struct RentalRetry {
    due_at: Timestamp,
    rental: PendingRental,
}

/// The planner's calls to the cloud.
#[derive(Debug)]
pub(super) struct CloudCalls {
    budget: TokenBucket,
    /// Rentals that wait for their reply.
    rentals: BTreeMap<CallId, PendingRental>,
    rental_retries: Vec<RentalRetry>,
    /// Until when each refused offer is not requested again.
    refused_until: HashMap<Offer, Timestamp>,
    /// When the release of each machine was last requested.
    release_requested_at: HashMap<MachineName, Timestamp>,
    list_requested_at: Timestamp,
    is_listing: bool,
}

impl CloudCalls {
    /// Calls under the cloud's limit of requests per second.
    pub(super) fn new(requests_per_s: f64) -> Self {
        CloudCalls {
            budget: TokenBucket::new(requests_per_s * CALL_RATE_FRACTION, requests_per_s),
            rentals: BTreeMap::new(),
            rental_retries: Vec::new(),
            refused_until: HashMap::new(),
            release_requested_at: HashMap::new(),
            list_requested_at: Timestamp::default(),
            is_listing: false,
        }
    }

    /// Takes a call from the budget; false if none is left.
    pub(super) fn take_call(&mut self, now: Timestamp) -> bool {
        self.budget.take(now, 1.0, 0.0)
    }

    /// The partition of the oldest rental without a reply.
    pub(super) fn oldest_rental_partition(&self) -> Option<PartitionId> {
        let oldest = self.rentals.values().next();
        oldest.map(|rental| rental.partition)
    }

    /// Rentals that wait for their reply or for a retry.
    pub(super) fn open_rentals(&self) -> impl Iterator<Item = (&RentRequest, PartitionId)> {
        let retries = self.rental_retries.iter().map(|retry| &retry.rental);
        self.rentals
            .values()
            .chain(retries)
            .map(|rental| (&rental.request, rental.partition))
    }

    /// Offers that are not to be requested now.
    pub(super) fn refused_offers(&mut self, now: Timestamp) -> impl Iterator<Item = &Offer> {
        self.refused_until.retain(|_, until| *until > now);
        self.refused_until.keys()
    }

    /// Forgets a machine whose record is gone.
    pub(super) fn forget_machine(&mut self, name: &MachineName) {
        self.release_requested_at.remove(name);
    }

    fn refuse_offer(&mut self, offer: Offer, until: Timestamp) {
        self.refused_until.insert(offer, until);
    }

    fn is_releasing(&self, name: &MachineName, now: Timestamp) -> bool {
        self.release_requested_at
            .get(name)
            .is_some_and(|at| now.duration_since(*at) < RELEASE_TIMEOUT)
    }
}

impl Controller {
    /// Requests a list of all machines if that is due.
    pub(super) fn request_machine_list(&mut self) {
        let now = self.now;
        let cloud = &mut self.fleet_planner.cloud;
        let is_due =
            now.duration_since(cloud.list_requested_at) >= LIST_INTERVAL && !cloud.is_listing;
        if !is_due || !cloud.budget.take(now, 1.0, LIST_CALL_RESERVE) {
            return;
        }
        cloud.list_requested_at = now;
        cloud.is_listing = true;
        self.request_machine_list_page(String::new(), Vec::new());
    }

    fn request_machine_list_page(&mut self, after: String, gathered: Vec<ListedMachine>) {
        let request = CloudRequest::ListMachines {
            after,
            limit: LIST_PAGE_SIZE,
        };
        self.send_cloud_request(
            request,
            CallKind::Fleet(FleetCall::ListMachines { gathered }),
        );
    }

    /// Requests rentals again whose retry is due.
    pub(super) fn retry_rentals(&mut self) {
        let now = self.now;
        let due: Vec<RentalRetry> = self
            .fleet_planner
            .cloud
            .rental_retries
            .extract_if(.., |retry| retry.due_at <= now)
            .collect();
        for RentalRetry { rental, .. } in due {
            self.rent_machines(rental.request, rental.partition);
        }
    }

    /// Requests the release of machines that their partition leaders have given up.
    pub(super) fn release_leaving_machines(&mut self) {
        let now = self.now;
        let cloud = &mut self.fleet_planner.cloud;
        let names: Vec<MachineName> = self
            .cache
            .machines
            .iter()
            .filter(|(name, machine)| {
                machine.record.leaving
                    && !self.machine_changes.has_change(name)
                    && !cloud.is_releasing(name, now)
            })
            .map(|(name, _)| name.clone())
            .take(MAX_MACHINES_PER_RELEASE)
            .collect();
        if names.is_empty() || !cloud.take_call(now) {
            return;
        }
        for name in &names {
            cloud.release_requested_at.insert(name.clone(), now);
        }
        let request = CloudRequest::Release(names.iter().map(MachineName::to_string).collect());
        self.send_cloud_request(request, CallKind::Fleet(FleetCall::Release(names)));
    }

    /// Requests machines for a partition. A request under the same name rents no further ones.
    pub(super) fn rent_machines(&mut self, request: RentRequest, partition: PartitionId) {
        let kind = CallKind::Fleet(FleetCall::Rent {
            request: request.clone(),
            partition,
        });
        let call = self.send_cloud_request(CloudRequest::Rent(request.clone()), kind);
        let rental = PendingRental { request, partition };
        self.fleet_planner.cloud.rentals.insert(call, rental);
    }

    /// Takes in a reply of the cloud.
    pub(in crate::controller) fn handle_cloud_reply(&mut self, call: CallId, reply: CloudReply) {
        let Some(kind) = self.calls.complete(call) else {
            self.counters
                .rejections
                .add(MessageSource::Cloud, MessageFault::Stale);
            return;
        };
        if reply == CloudReply::Refused {
            self.counters.cloud_refused += 1;
        }
        match kind {
            CallKind::Fleet(FleetCall::ListTypes) => {
                if let CloudReply::MachineTypes(types) = reply {
                    self.handle_machine_types(types);
                }
            }
            CallKind::Fleet(FleetCall::Rent { request, partition }) => {
                self.fleet_planner.cloud.rentals.remove(&call);
                self.handle_rental_reply(request, partition, reply);
            }
            CallKind::Fleet(FleetCall::Release(names)) => self.handle_release_reply(names, reply),
            CallKind::Fleet(FleetCall::ListMachines { gathered }) => {
                self.handle_machine_list_page(gathered, reply)
            }
            _ => {}
        }
    }

    fn handle_rental_reply(
        &mut self,
        request: RentRequest,
        partition: PartitionId,
        reply: CloudReply,
    ) {
        let now = self.now;
        let offer = Offer {
            machine_type: request.machine_type.clone(),
            zone: ZoneName::from(request.zone.as_str()),
            spot: request.spot,
        };
        let cloud = &mut self.fleet_planner.cloud;
        match reply {
            CloudReply::Rented(names) => {
                if (names.len() as u32) < request.count {
                    cloud.refuse_offer(offer, now + NO_CAPACITY_PAUSE);
                }
                tracing::info!(
                    machine_type = request.machine_type,
                    zone = request.zone,
                    spot = request.spot,
                    requested = request.count,
                    rented = names.len(),
                    %partition,
                    "machines rented"
                );
                for name in names {
                    let name = MachineName::from(name.as_str());
                    self.fleet_planner
                        .inventory
                        .add_rented_machine(name, &request, partition, now);
                }
            }
            CloudReply::NoCapacity => cloud.refuse_offer(offer, now + NO_CAPACITY_PAUSE),
            // The reply is lost: a request under the same name returns the same machines.
            CloudReply::Unknown => cloud.rental_retries.push(RentalRetry {
                due_at: now + RENTAL_RETRY_PAUSE,
                rental: PendingRental { request, partition },
            }),
            _ => cloud.refuse_offer(offer, now + REFUSED_RENTAL_PAUSE),
        }
    }

    fn handle_release_reply(&mut self, names: Vec<MachineName>, reply: CloudReply) {
        let now = self.now;
        if reply == CloudReply::Released {
            for name in names {
                self.fleet_planner.inventory.mark_deleted(name.clone(), now);
                self.machine_changes.request(&name, MachineChange::Delete);
            }
            return;
        }
        let elapsed = FAILED_RELEASE_TIMEOUT_REDUCTION.as_millis() as u64;
        let released_at = Timestamp::from_millis(now.as_millis().saturating_sub(elapsed));
        for name in names {
            let cloud = &mut self.fleet_planner.cloud;
            cloud.release_requested_at.insert(name, released_at);
        }
    }

    fn handle_machine_list_page(&mut self, mut gathered: Vec<ListedMachine>, reply: CloudReply) {
        let CloudReply::MachineList(page) = reply else {
            self.fleet_planner.cloud.is_listing = false;
            return;
        };
        let before = gathered.last().map(|machine| machine.name.as_str());
        let after = page.machines.last().map(|machine| machine.name.clone());
        if page.has_more && (after.is_none() || after.as_deref() == before) {
            // The same page would be requested for ever; what it lacks must not count as gone.
            self.counters
                .rejections
                .add(MessageSource::Cloud, MessageFault::Malformed);
            self.fleet_planner.cloud.is_listing = false;
            return;
        }
        gathered.extend(page.machines);
        match after {
            Some(after) if page.has_more => self.request_machine_list_page(after, gathered),
            _ => self.handle_machine_list(gathered),
        }
    }

    fn handle_machine_list(&mut self, machines: Vec<ListedMachine>) {
        let now = self.now;
        self.fleet_planner.cloud.is_listing = false;
        for machine in machines {
            let name = MachineName::from(machine.name.as_str());
            if !self.cache.machines.contains_key(&name) {
                let unregistered = UnregisteredMachine {
                    name: &name,
                    machine_type: &machine.machine_type,
                    zone: &machine.zone,
                    spot: machine.spot,
                };
                self.fleet_planner
                    .record_unregistered_machine(unregistered, now);
            }
            self.fleet_planner
                .inventory
                .record_listed_machine(name, machine, now);
        }
        self.fleet_planner.inventory.expire(now);
    }
}
