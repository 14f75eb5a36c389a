//! The little of JSON and Base64 that the store's calls need.

/// A JSON value. Numbers are kept as `f64`.
#[derive(Clone, Debug)]
pub enum Value {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Object(fields) => fields
                .iter()
                .find(|(n, _)| n == name)
                .map_or(&Value::Null, |(_, v)| v),
            _ => &Value::Null,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Value::Number(n) => *n,
            _ => 0.0,
        }
    }
}

pub fn parse(text: &[u8]) -> Option<Value> {
    let mut p = Parser { text, at: 0 };
    p.value()
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let end = self.at + word.len();
        (self.text.get(self.at..end)? == word.as_bytes()).then(|| {
            self.at = end;
            value
        })
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.array(),
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true", Value::Bool),
            b'f' => self.word("false", Value::Bool),
            b'n' => self.word("null", Value::Null),
            _ => {
                let start = self.at;
                while self
                    .text
                    .get(self.at)
                    .is_some_and(|b| b"+-.eE0123456789".contains(b))
                {
                    self.at += 1;
                }
                let number = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                number.parse().ok().map(Value::Number)
            }
        }
    }

    fn object(&mut self) -> Option<Value> {
        let mut fields = Vec::new();
        self.at += 1;
        loop {
            match self.peek()? {
                b'}' => break,
                b',' => self.at += 1,
                _ => {
                    let name = self.string()?;
                    (self.peek()? == b':').then_some(())?;
                    self.at += 1;
                    fields.push((name, self.value()?));
                }
            }
        }
        self.at += 1;
        Some(Value::Object(fields))
    }

    fn array(&mut self) -> Option<Value> {
        let mut items = Vec::new();
        self.at += 1;
        loop {
            match self.peek()? {
                b']' => break,
                b',' => self.at += 1,
                _ => items.push(self.value()?),
            }
        }
        self.at += 1;
        Some(Value::List(items))
    }

    fn string(&mut self) -> Option<String> {
        (self.peek()? == b'"').then_some(())?;
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let hex =
                                std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            bytes.extend_from_slice(c.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk
            .iter()
            .chain(&[0, 0])
            .take(3)
            .fold(0_u32, |n, b| n << 8 | u32::from(*b));
        for i in 0..4 {
            match i <= chunk.len() {
                true => text.push(char::from(ALPHABET[(n >> (18 - 6 * i)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut n, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|a| *a == byte) else {
            continue;
        };
        n = n << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    bytes
}
