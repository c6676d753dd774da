//! Assigns identifiers to the names of zones and kinds of machines.

use std::collections::BTreeMap;

use kestreltide::interface::{MachineKindId, ZoneId};

/// How the names of zones and kinds of machines are converted to identifiers.
pub enum NameTable {
    /// Numbers the names in the order in which they first occur. The table stores each name, so this is for input with
    /// few names, as of the simulator.
    Sequential(BTreeMap<String, u64>),
    /// Hashes the name, so that all threads get the same identifier and nothing is stored.
    Hashed,
}

impl NameTable {
    /// Returns the identifier of a zone.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        match self {
            NameTable::Sequential(numbers) => ZoneId(Self::number(numbers, name)),
            NameTable::Hashed => ZoneId::from_name(name),
        }
    }

    /// Returns the identifier of a kind of machine.
    pub fn kind(&mut self, name: &str) -> MachineKindId {
        match self {
            NameTable::Sequential(numbers) => MachineKindId(Self::number(numbers, name)),
            NameTable::Hashed => MachineKindId::from_name(name),
        }
    }

    fn number(numbers: &mut BTreeMap<String, u64>, name: &str) -> u64 {
        let next = numbers.len() as u64;
        *numbers.entry(name.into()).or_insert(next)
    }
}

impl Default for NameTable {
    fn default() -> Self {
        NameTable::Sequential(BTreeMap::new())
    }
}
