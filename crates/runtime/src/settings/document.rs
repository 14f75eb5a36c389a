//! Parser for JSON documents that rejects duplicate fields.
//!
//! `serde_json::Value` keeps the last of two fields with the same name, which would hide a mistake
//! in the settings.

use std::fmt;

use serde::de::{self, Error as _};
use serde_json::{Map, Value};

/// Parses a JSON document and rejects duplicate fields.
///
/// # Errors
///
/// Returns an error with line and column if the text is not valid JSON or repeats a field.
pub(super) fn parse(text: &str) -> Result<Value, serde_json::Error> {
    let Document(value) = serde_json::from_str(text)?;
    Ok(value)
}

struct Document(Value);

impl<'de> serde::Deserialize<'de> for Document {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: de::Deserializer<'de>,
    {
        deserializer.deserialize_any(Visitor).map(Self)
    }
}

struct Visitor;

impl<'de> de::Visitor<'de> for Visitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<Value, A::Error>
    where
        A: de::SeqAccess<'de>,
    {
        let mut items = Vec::new();
        while let Some(Document(item)) = seq.next_element()? {
            items.push(item);
        }
        Ok(items.into())
    }

    fn visit_map<A>(self, mut map: A) -> Result<Value, A::Error>
    where
        A: de::MapAccess<'de>,
    {
        let mut fields = Map::new();
        while let Some((name, Document(value))) = map.next_entry::<String, _>()? {
            if fields.contains_key(&name) {
                return Err(A::Error::custom(format_args!(
                    "field {name:?} is given twice"
                )));
            }
            fields.insert(name, value);
        }
        Ok(fields.into())
    }
}
