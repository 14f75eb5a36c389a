//! Query of a call, read as a strict server reads a form.

use std::collections::BTreeMap;

/// Parameters by their names.
#[derive(Debug, Default)]
pub(super) struct Query(BTreeMap<String, String>);

impl Query {
    /// Reads a query. `None` if it is no form: a parameter without a value or that comes twice, an escape
    /// that is none, or text that is not UTF-8.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let mut query = Self::default();
        for pair in text.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=')?;
            if query.0.insert(decode(name)?, decode(value)?).is_some() {
                return None;
            }
        }
        Some(query)
    }

    /// Value of a parameter.
    pub(super) fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// Whether there are no parameters but these.
    pub(super) fn has_only(&self, names: &[&str]) -> bool {
        self.0.keys().all(|name| names.contains(&name.as_str()))
    }
}

/// Decodes a name or a value: `+` is a blank, and `%` begins two hexadecimal digits.
fn decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'+' => b' ',
            b'%' => hex_digit(rest.next()?)? << 4 | hex_digit(rest.next()?)?,
            byte => byte,
        });
    }
    String::from_utf8(bytes).ok()
}

fn hex_digit(byte: u8) -> Option<u8> {
    let digit = char::from(byte).to_digit(16)?;
    u8::try_from(digit).ok()
}
