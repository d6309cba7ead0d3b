//! The stored form of a machine's record.

use super::packed_bytes;
use model::{MachineName, PartitionId};
use serde::{Deserialize, Serialize};

/// A rented machine and the partition that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineRecord {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub partition: PartitionId,
    /// The fencing token for commands to the machine.
    pub token: u64,
    /// Whether its partition leader has given it up, so that the fleet planner releases it.
    pub leaving: bool,
}

/// A machine on its page. It is stored as an array without field names, to fit many machines into one
/// value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedMachineFields", into = "PackedMachineFields")]
pub struct PackedMachine {
    /// The machine's name as stored; an empty one is invalid.
    pub name: String,
    pub record: MachineRecord,
}

impl PackedMachine {
    /// Packs a record.
    pub fn new(name: &MachineName, record: &MachineRecord) -> Self {
        PackedMachine {
            name: name.to_string(),
            record: record.clone(),
        }
    }

    /// Maximum size of the machine's entry on its page. The token and the partition change while the
    /// entry stays on the page, and a page that outgrows the limit could not be written any more.
    pub fn max_packed_bytes(name: &MachineName, record: &MachineRecord) -> usize {
        let widest = MachineRecord {
            partition: PartitionId(u32::MAX),
            token: u64::MAX,
            leaving: false,
            ..record.clone()
        };
        packed_bytes(&PackedMachine::new(name, &widest))
    }
}

/// The array as it is stored. The order of its elements is part of the stored form.
#[derive(Serialize, Deserialize)]
struct PackedMachineFields(
    /// `name`
    String,
    /// `machine_type`
    String,
    /// `zone`
    String,
    /// `spot`
    bool,
    PartitionId,
    /// `token`
    u64,
    /// `leaving`
    bool,
);

impl From<PackedMachine> for PackedMachineFields {
    fn from(packed: PackedMachine) -> Self {
        let record = packed.record;
        PackedMachineFields(
            packed.name,
            record.machine_type,
            record.zone,
            record.spot,
            record.partition,
            record.token,
            record.leaving,
        )
    }
}

impl From<PackedMachineFields> for PackedMachine {
    fn from(fields: PackedMachineFields) -> Self {
        let PackedMachineFields(name, machine_type, zone, spot, partition, token, leaving) = fields;
        let record = MachineRecord {
            machine_type,
            zone,
            spot,
            partition,
            token,
            leaving,
        };
        PackedMachine { name, record }
    }
}
