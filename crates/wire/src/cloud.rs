//! Requests to the cloud API and its responses.

use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers. An amount that the cloud omits is read as 0, which means
/// unknown or none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "label")]
    pub name: String,
    /// Number of CPUs.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    /// Size of the local image cache in GB.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour of an on-demand machine.
    #[serde(rename = "hourly", default)]
    pub price_per_hour: f64,
    /// Price per hour of a spot machine.
    #[serde(rename = "market_price", default)]
    pub spot_price_per_hour: f64,
    /// Usual time from rental to the first heartbeat, in seconds.
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    /// Zones in which the type is offered.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Response to `GET /machine_types`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All types on offer.
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

/// Body of `POST /hosts`: a rental of machines of one type in one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Idempotency key: a repeated request with the same key rents no further machines.
    #[serde(rename = "ask")]
    pub idempotency_key: String,
    /// Name of the machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone in which the machines are rented.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are requested.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines.
    #[serde(rename = "how_many")]
    pub count: u32,
}

/// Names of machines: the response to a rental and the body of a release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// State of a rented machine as the cloud reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Rented, but not usable yet.
    #[serde(rename = "starting")]
    Booting,
    /// Usable.
    Running,
    /// Failed permanently; it stays in the list until it is released.
    Failed,
}

/// One rented machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "id")]
    pub name: String,
    /// Address of its worker, `host:port`; empty while it boots.
    #[serde(default)]
    pub address: String,
    /// Name of its machine type.
    #[serde(rename = "rig")]
    pub machine_type: String,
    /// Zone in which it runs.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// State of the machine.
    #[serde(rename = "status")]
    pub state: MachineState,
    /// Time since it was rented, in seconds.
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// One page of the response to `GET /hosts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines in the order of their names.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
}

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Read the machine types.
    MachineTypes,
    /// Rent machines.
    Rent(RentRequest),
    /// Return the machines with these names to the cloud.
    Release(Vec<String>),
    /// Read one page of the rented machines.
    ListMachines {
        /// Name after which the page starts; empty for the first page.
        after: String,
        /// Maximum number of machines on the page.
        limit: u32,
    },
}

/// Outcome of a request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// The machine types.
    MachineTypes(MachineTypes),
    /// Names of the machines that were rented.
    Rented(Vec<String>),
    /// The release was accepted.
    Released,
    /// One page of the rented machines.
    MachineList(MachineList),
    /// The rental was rejected because the cloud has no such machine left.
    NoCapacity,
    /// The request was certainly not executed: status 429, an outage, or another refusal.
    Refused,
    /// No usable response: the request may have been executed, or may still be executed later.
    Unknown,
}
