//! Reads typed fields from a JSON object and collects findings about them.
//!
//! A reader does not stop at the first fault: reading a faulty field reports a
//! [`settings::Finding`] and returns `None`, and the caller continues with the next field.

use std::fmt;
use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use crate::settings;

/// Reader of the fields of one JSON object.
#[derive(Debug)]
pub struct Reader<'a> {
    /// JSON path of the object.
    place: String,
    fields: &'a Map<String, Value>,
    /// Names of the fields that were read. All other fields are unknown.
    requested: Vec<&'static str>,
    findings: &'a mut Vec<settings::Finding>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of the object `value` at JSON path `place`. Reports a finding if `value` is
    /// not an object.
    pub fn new(
        place: String,
        value: &'a Value,
        findings: &'a mut Vec<settings::Finding>,
    ) -> Option<Self> {
        let Some(fields) = value.as_object() else {
            let fault = format!("expected an object, found {}", kind(value));
            findings.push(settings::Finding { place, fault });
            return None;
        };
        Some(Self {
            place,
            fields,
            requested: Vec::new(),
            findings,
        })
    }

    /// Returns a reader of a field that holds an object. A missing field is a finding.
    pub fn section(&mut self, name: &'static str) -> Option<Reader<'_>> {
        let value = self.required(name)?;
        Reader::new(self.field_path(name), value, self.findings)
    }

    /// Returns the value of a field. A missing field is a finding.
    pub fn required(&mut self, name: &'static str) -> Option<&'a Value> {
        let value = self.optional(name);
        if value.is_none() {
            self.report(name, "is missing");
        }
        value
    }

    /// Returns the value of a field, if it is present.
    pub fn optional(&mut self, name: &'static str) -> Option<&'a Value> {
        self.requested.push(name);
        self.fields.get(name)
    }

    /// Decodes the value of a field. A missing field is a finding.
    pub fn typed<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: serde::de::DeserializeOwned,
    {
        let value = self.required(name)?;
        let place = self.field_path(name);
        self.decode(place, value)
    }

    /// Decodes the items of a field that holds an array, each with its own findings. A missing
    /// field is a finding.
    pub fn items<T>(&mut self, name: &'static str) -> Option<Vec<T>>
    where
        T: serde::de::DeserializeOwned,
    {
        self.items_with(name, |place, item, findings| decode(place, item, findings))
    }

    /// Reads the items of a field that holds an array with `read`. A missing field is a finding.
    pub fn items_with<T, F>(&mut self, name: &'static str, mut read: F) -> Option<Vec<T>>
    where
        F: FnMut(String, &Value, &mut Vec<settings::Finding>) -> Option<T>,
    {
        let value = self.required(name)?;
        let place = self.field_path(name);
        let Some(items) = value.as_array() else {
            self.report(
                name,
                format_args!("expected an array, found {}", kind(value)),
            );
            return None;
        };
        let read: Vec<_> = items
            .iter()
            .enumerate()
            .map(|(i, item)| read(format!("{place}[{i}]"), item, self.findings))
            .collect();
        read.into_iter().collect()
    }

    /// Decodes the value of a field, or returns the default if the field is missing. A value out of
    /// range is a finding.
    pub fn scalar<T>(
        &mut self,
        name: &'static str,
        default: T,
        range: RangeInclusive<T>,
    ) -> Option<T>
    where
        T: serde::de::DeserializeOwned + PartialOrd + fmt::Display,
    {
        let Some(value) = self.optional(name) else {
            return Some(default);
        };
        let place = self.field_path(name);
        let number: T = self.decode(place, value)?;
        if range.contains(&number) {
            return Some(number);
        }
        let (low, high) = range.into_inner();
        self.report(name, format_args!("{number} is not from {low} to {high}"));
        None
    }

    /// Reports a finding about a field.
    pub fn report<D>(&mut self, name: &str, fault: D)
    where
        D: fmt::Display,
    {
        let place = self.field_path(name);
        let fault = fault.to_string();
        self.findings.push(settings::Finding { place, fault });
    }

    /// Finishes reading the object, and reports a finding for each unknown field.
    pub fn close(mut self) {
        let unknown: Vec<_> = self
            .fields
            .keys()
            .filter(|name| !self.requested.contains(&name.as_str()))
            .collect();
        for name in unknown {
            self.report(name, "unknown field");
        }
    }

    fn decode<T>(&mut self, place: String, value: &Value) -> Option<T>
    where
        T: serde::de::DeserializeOwned,
    {
        decode(place, value, self.findings)
    }

    fn field_path(&self, name: &str) -> String {
        format!("{}.{name}", self.place)
    }
}

fn decode<T>(place: String, value: &Value, findings: &mut Vec<settings::Finding>) -> Option<T>
where
    T: serde::de::DeserializeOwned,
{
    match T::deserialize(value) {
        Ok(value) => Some(value),
        Err(e) => {
            let fault = e.to_string();
            findings.push(settings::Finding { place, fault });
            None
        }
    }
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    }
}
