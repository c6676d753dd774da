//! Identifiers of zones and machine kinds, by their names.

use std::collections::BTreeMap;

use kestreltide::interface::{MachineKindId, ZoneId};

/// Gives zones and machine kinds their identifiers.
pub enum NameTable {
    /// Numbers names in the order in which they are first met: small numbers for a peer that sends few names.
    Sequential(BTreeMap<String, u64>),
    /// Derives the identifier from the name itself, so that every thread comes to the same one and nothing is
    /// stored.
    Hashed,
}

impl NameTable {
    /// The identifier of a zone.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        match self {
            NameTable::Sequential(numbers) => ZoneId(Self::number(numbers, name)),
            NameTable::Hashed => ZoneId::from_name(name),
        }
    }

    /// The identifier of a machine kind.
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
