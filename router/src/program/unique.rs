//! JSON whose objects say each key once: of two values one would be passed over in silence. It may take so much
//! memory and no more, which is reckoned while it is read: a short text can hold very many values.

use std::fmt;

use serde::de::{self, DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};

use crate::limits::MemoryBudget;

/// Bytes that a value takes beside its text, and an object for its entries, as JSON and as the settings' fields
/// (measured: 1,340 bytes for an object of three short values, 2,310 for one of seven).
const VALUE: usize = 256;
const OBJECT: usize = 640;

/// Reads one value.
pub struct Unique<'r> {
    pub budget: &'r mut MemoryBudget,
}

impl Unique<'_> {
    fn take<E: de::Error>(&mut self, bytes: usize) -> Result<(), E> {
        self.budget.reserve(bytes).map_err(|error| {
            E::custom(format!(
                "holds more than memory bears (limits.memory_mb is {})",
                error.memory_mb
            ))
        })
    }
}

impl<'de> DeserializeSeed<'de> for Unique<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(mut self, from: D) -> Result<Value, D::Error> {
        self.take(VALUE)?;
        from.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Unique<'_> {
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
        self.take(2 * value.len())?;
        Ok(value.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut from: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = from.next_element_seed(Unique {
            budget: &mut *self.budget,
        })? {
            items.push(item);
        }
        Ok(Value::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(mut self, mut from: A) -> Result<Value, A::Error> {
        self.take(OBJECT)?;
        let mut map = Map::new();
        while let Some(key) = from.next_key::<String>()? {
            if map.contains_key(&key) {
                return Err(de::Error::custom(format!("{key} stands twice")));
            }
            self.take(2 * key.len())?;
            let value = from.next_value_seed(Unique {
                budget: &mut *self.budget,
            })?;
            map.insert(key, value);
        }
        Ok(Value::Object(map))
    }
}
