//! Calls to the cloud that rent, release and list machines, with their replies and retries.

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

/// Fraction of the cloud's request rate at which the planner makes calls on average. The rest allows for
/// bursts.
const CALL_RATE_FRACTION: f64 = 0.8;
/// Calls that a new list of machines must leave in the budget for rentals and releases.
const LIST_CALL_RESERVE: f64 = 1.0;
/// Time between two lists of machines.
const LIST_INTERVAL: Duration = Duration::from_secs(4);
/// Maximum number of machines on a page of a list.
const LIST_PAGE_SIZE: u32 = 500;
/// How long an offer is not requested again after the cloud had no capacity for it.
const NO_CAPACITY_PAUSE: Duration = Duration::from_secs(6);
/// How long an offer is not requested again after the cloud refused a rental.
const REFUSED_RENTAL_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause before a rental without a usable reply is requested again.
const RENTAL_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How long the release of a machine may take to have effect before it is requested again.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// How much sooner a release is requested again after it has failed.
const FAILED_RELEASE_RETRY_REDUCTION: Duration = Duration::from_secs(4);
/// Maximum number of machines that one call releases.
const MAX_MACHINES_PER_RELEASE: usize = 100;

/// A rental that the cloud has neither confirmed nor refused yet.
#[derive(Debug)]
struct PendingRental {
    request: RentRequest,
    partition: PartitionId,
}

/// A rental that is to be requested again.
#[derive(Debug)]
struct RentalRetry {
    due_at: Timestamp,
    rental: PendingRental,
}

/// The fleet planner's calls to the cloud.
#[derive(Debug)]
pub(super) struct CloudCalls {
    budget: TokenBucket,
    /// Rentals whose calls are in flight.
    rentals: BTreeMap<CallId, PendingRental>,
    rental_retries: Vec<RentalRetry>,
    /// Offers that the cloud refused, and until when each is not requested again.
    refused_until: HashMap<Offer, Timestamp>,
    /// When the release of each machine was last requested, or an earlier time if that request failed.
    release_requested_at: HashMap<MachineName, Timestamp>,
    list_requested_at: Timestamp,
    is_listing: bool,
}

impl CloudCalls {
    /// Creates the state for a cloud with this limit of requests per second.
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

    /// Takes one call from the budget. Returns false if none is left.
    pub(super) fn take_call(&mut self, now: Timestamp) -> bool {
        self.budget.take(now, 1.0, 0.0)
    }

    /// The partition of the oldest rental in flight.
    pub(super) fn oldest_rental_partition(&self) -> Option<PartitionId> {
        let oldest = self.rentals.values().next();
        oldest.map(|rental| rental.partition)
    }

    /// Rentals that wait for a reply or for a retry, with their partitions.
    pub(super) fn open_rentals(&self) -> impl Iterator<Item = (&RentRequest, PartitionId)> {
        let retries = self.rental_retries.iter().map(|retry| &retry.rental);
        self.rentals
            .values()
            .chain(retries)
            .map(|rental| (&rental.request, rental.partition))
    }

    /// Offers that must not be requested now because the cloud refused them recently.
    pub(super) fn refused_offers(&mut self, now: Timestamp) -> impl Iterator<Item = &Offer> {
        self.refused_until.retain(|_, until| *until > now);
        self.refused_until.keys()
    }

    /// Forgets a machine whose record has been deleted.
    pub(super) fn forget_machine(&mut self, name: &MachineName) {
        self.release_requested_at.remove(name);
    }

    fn record_refusal(&mut self, offer: Offer, until: Timestamp) {
        self.refused_until.insert(offer, until);
    }

    fn is_releasing(&self, name: &MachineName, now: Timestamp) -> bool {
        self.release_requested_at
            .get(name)
            .is_some_and(|at| now.duration_since(*at) < RELEASE_RETRY_INTERVAL)
    }
}

impl Controller {
    /// Requests a list of all rented machines if one is due.
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

    /// Requests the page after the machine `after`; `gathered` are the machines of the pages before it.
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

    /// Repeats the rentals whose retry is due.
    pub(super) fn retry_rentals(&mut self) {
        let now = self.now;
        let due_retries: Vec<RentalRetry> = self
            .fleet_planner
            .cloud
            .rental_retries
            .extract_if(.., |retry| retry.due_at <= now)
            .collect();
        for RentalRetry { rental, .. } in due_retries {
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

    /// Requests machines for a partition. A repeated request with the same idempotency key rents nothing
    /// twice.
    pub(super) fn rent_machines(&mut self, request: RentRequest, partition: PartitionId) {
        let kind = CallKind::Fleet(FleetCall::Rent {
            request: request.clone(),
            partition,
        });
        let call = self.send_cloud_request(CloudRequest::Rent(request.clone()), kind);
        let rental = PendingRental { request, partition };
        self.fleet_planner.cloud.rentals.insert(call, rental);
    }

    /// Handles a reply of the cloud. One whose call is not pending is counted and ignored.
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
                    cloud.record_refusal(offer, now + NO_CAPACITY_PAUSE);
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
            CloudReply::NoCapacity => cloud.record_refusal(offer, now + NO_CAPACITY_PAUSE),
            // The machines may have been rented: a request with the same key returns the same ones.
            CloudReply::Unknown => cloud.rental_retries.push(RentalRetry {
                due_at: now + RENTAL_RETRY_PAUSE,
                rental: PendingRental { request, partition },
            }),
            _ => cloud.record_refusal(offer, now + REFUSED_RENTAL_PAUSE),
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
        // An earlier time of the request lets the next one follow sooner.
        let reduction_ms = FAILED_RELEASE_RETRY_REDUCTION.as_millis() as u64;
        let requested_at = Timestamp::from_millis(now.as_millis().saturating_sub(reduction_ms));
        for name in names {
            let cloud = &mut self.fleet_planner.cloud;
            cloud.release_requested_at.insert(name, requested_at);
        }
    }

    fn handle_machine_list_page(&mut self, mut gathered: Vec<ListedMachine>, reply: CloudReply) {
        let CloudReply::MachineList(page) = reply else {
            self.fleet_planner.cloud.is_listing = false;
            return;
        };
        let previous_last = gathered.last().map(|machine| machine.name.as_str());
        let last = page.machines.last().map(|machine| machine.name.clone());
        if page.has_more && (last.is_none() || last.as_deref() == previous_last) {
            // A page that does not go further would be requested for ever. The list is discarded, because
            // machines that an incomplete list lacks must not count as gone.
            self.counters
                .rejections
                .add(MessageSource::Cloud, MessageFault::Malformed);
            self.fleet_planner.cloud.is_listing = false;
            return;
        }
        gathered.extend(page.machines);
        match last {
            Some(last) if page.has_more => self.request_machine_list_page(last, gathered),
            _ => self.handle_machine_list(gathered),
        }
    }

    /// Applies a complete list of the rented machines.
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
