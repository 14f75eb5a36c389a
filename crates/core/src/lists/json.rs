//! JSON values that preserve the order of object members and duplicate keys.
//!
//! The maps of `serde_json` keep only one of two members with the same key, so that an entry that
//! was pasted twice would be dropped silently.

use std::fmt;

use serde::de;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Node {
    Null,
    Bool,
    /// A nonnegative integer.
    Integer(u64),
    /// Any other number.
    Number,
    Text(String),
    Array(Vec<Node>),
    /// Members in the order of the text, with duplicate keys.
    Object(Vec<(String, Node)>),
}

impl Node {
    /// Name of the value's type in a finding.
    pub(super) const fn kind(&self) -> &'static str {
        match self {
            Self::Null => "null",
            Self::Bool => "a boolean",
            Self::Integer(_) => "a whole number",
            Self::Number => "a negative or fractional number",
            Self::Text(_) => "a text",
            Self::Array(_) => "an array",
            Self::Object(_) => "an object",
        }
    }
}

struct NodeVisitor;

impl<'de> de::Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_bool<E>(self, _: bool) -> Result<Node, E> {
        Ok(Node::Bool)
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Integer(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(u64::try_from(value).map_or(Node::Number, Node::Integer))
    }

    fn visit_f64<E>(self, _: f64) -> Result<Node, E> {
        Ok(Node::Number)
    }

    fn visit_str<E>(self, text: &str) -> Result<Node, E> {
        Ok(Node::Text(text.to_owned()))
    }

    fn visit_string<E>(self, text: String) -> Result<Node, E> {
        Ok(Node::Text(text))
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<Node, A::Error>
    where
        A: de::SeqAccess<'de>,
    {
        let mut nodes = Vec::new();
        while let Some(node) = seq.next_element()? {
            nodes.push(node);
        }
        Ok(Node::Array(nodes))
    }

    fn visit_map<A>(self, mut map: A) -> Result<Node, A::Error>
    where
        A: de::MapAccess<'de>,
    {
        let mut members = Vec::new();
        while let Some(member) = map.next_entry()? {
            members.push(member);
        }
        Ok(Node::Object(members))
    }
}

impl<'de> serde::Deserialize<'de> for Node {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        deserializer.deserialize_any(NodeVisitor)
    }
}
