//! Cloud API bodies.

use serde::{Deserialize, Serialize};

/// One machine type on offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "label")]
    pub name: String,
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(rename = "ram_gb")]
    pub memory_gb: f64,
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly", default)]
    pub price: f64,
    #[serde(rename = "market_price", default)]
    pub spot_price: f64,
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// `GET /machine_types`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "rigs")]
    pub types: Vec<MachineType>,
}

/// `POST /hosts`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentRequest {
    #[serde(rename = "ask")]
    pub request: String,
    #[serde(rename = "rig")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "how_many")]
    pub count: u32,
}

/// Names of machines: the answer to a rental, the body of a release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// Cloud's view of a machine's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    #[serde(rename = "starting")]
    Booting,
    Running,
    Failed,
}

/// One machine in the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    pub id: String,
    #[serde(default)]
    pub address: String,
    #[serde(rename = "rig")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "status")]
    pub state: MachineState,
    #[serde(rename = "held_s", default)]
    pub age_s: f64,
}

/// `GET /hosts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "has_next", default)]
    pub more: bool,
}

/// A call to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    Types,
    Rent(RentRequest),
    Release(Vec<String>),
    List { after: String, limit: u32 },
}

/// What came back from the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    Types(MachineTypes),
    Rented(Vec<String>),
    Released,
    List(MachineList),
    /// Refused for want of machines.
    NoCapacity,
    /// 429, an outage, or anything else that was certainly not executed.
    Refused,
    /// No usable answer: the call may have been, or may yet be, carried out.
    Unknown,
}
