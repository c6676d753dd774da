//! Parses JSON into a value and rejects objects in which a key occurs twice, since one of the two values would be
//! ignored silently. Memory for the values is reserved while they are parsed, since a short text can hold very many
//! values.

use std::fmt;

use serde::de::{self, DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};

use crate::limits::MemoryBudget;

/// Bytes reserved for a value in addition to its text: it exists as JSON and as a field of the settings.
const VALUE_BYTES: usize = 256;
/// Bytes reserved for an object in addition to its values. With [`VALUE_BYTES`] this covers the 1,340 bytes of an
/// object of three short values and the 2,310 bytes of one of seven.
const OBJECT_BYTES: usize = 640;

/// Deserializes one value.
pub struct UniqueKeys<'r> {
    /// The budget from which memory for the value is reserved.
    pub budget: &'r mut MemoryBudget,
}

impl UniqueKeys<'_> {
    /// Reserves memory for values, in bytes.
    fn reserve<E: de::Error>(&mut self, bytes: usize) -> Result<(), E> {
        self.budget.reserve(bytes).map_err(|error| {
            // Operators match this text, which means that the budget is exceeded.
            E::custom(format!(
                "holds more than memory bears (limits.memory_mb is {})",
                error.memory_mb
            ))
        })
    }
}

impl<'de> DeserializeSeed<'de> for UniqueKeys<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(mut self, deserializer: D) -> Result<Value, D::Error> {
        self.reserve(VALUE_BYTES)?;
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for UniqueKeys<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: de::Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: de::Error>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E: de::Error>(self, value: f64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_str<E: de::Error>(mut self, value: &str) -> Result<Value, E> {
        self.reserve(2 * value.len())?;
        Ok(value.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = elements.next_element_seed(UniqueKeys {
            budget: &mut *self.budget,
        })? {
            items.push(item);
        }
        Ok(Value::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(mut self, mut entries: A) -> Result<Value, A::Error> {
        self.reserve(OBJECT_BYTES)?;
        let mut map = Map::new();
        while let Some(key) = entries.next_key::<String>()? {
            if map.contains_key(&key) {
                return Err(de::Error::custom(format!("{key} stands twice")));
            }
            self.reserve(2 * key.len())?;
            let value = entries.next_value_seed(UniqueKeys {
                budget: &mut *self.budget,
            })?;
            map.insert(key, value);
        }
        Ok(Value::Object(map))
    }
}
