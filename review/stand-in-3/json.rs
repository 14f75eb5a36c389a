//! A little JSON: reads the bodies of calls to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut at = 0;
        value(text, &mut at)
    }

    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Table(table) => table.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Self::Number(number) => *number,
            _ => 0.0,
        }
    }
}

fn space(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    space(text, at);
    match *text.get(*at)? {
        b'{' => table(text, at),
        b'[' => list(text, at),
        b'"' => string(text, at).map(Json::Text),
        b't' | b'n' => {
            let is_null = text[*at] == b'n';
            *at += 4;
            Some(if is_null { Json::Null } else { Json::Bool })
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool)
        }
        _ => {
            let start = *at;
            let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
            while text.get(*at).is_some_and(is_part) {
                *at += 1;
            }
            std::str::from_utf8(&text[start..*at])
                .ok()?
                .parse()
                .ok()
                .map(Json::Number)
        }
    }
}

fn table(text: &[u8], at: &mut usize) -> Option<Json> {
    let mut fields = BTreeMap::new();
    *at += 1;
    loop {
        space(text, at);
        match text.get(*at)? {
            b'}' => {
                *at += 1;
                return Some(Json::Table(fields));
            }
            b',' => *at += 1,
            _ => {
                let name = string(text, at)?;
                space(text, at);
                *at += 1;
                fields.insert(name, value(text, at)?);
            }
        }
    }
}

fn list(text: &[u8], at: &mut usize) -> Option<Json> {
    let mut entries = Vec::new();
    *at += 1;
    loop {
        space(text, at);
        match text.get(*at)? {
            b']' => {
                *at += 1;
                return Some(Json::List(entries));
            }
            b',' => *at += 1,
            _ => entries.push(value(text, at)?),
        }
    }
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    let mut bytes = Vec::new();
    *at += 1;
    loop {
        match *text.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(bytes).ok();
            }
            b'\\' => {
                let escaped = *text.get(*at + 1)?;
                bytes.push(match escaped {
                    b'n' => b'\n',
                    b't' => b'\t',
                    b'r' => b'\r',
                    other => other,
                });
                *at += 2;
            }
            byte => {
                bytes.push(byte);
                *at += 1;
            }
        }
    }
}
