//! HTTP/1.1 over blocking sockets: reads requests and answers.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line, or status line.
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Target of a request without its query, and the query.
    pub fn target(&self) -> (&str, &str) {
        let target = self.first.split(' ').nth(1).unwrap_or("/");
        target.split_once('?').unwrap_or((target, ""))
    }

    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Value of a parameter of a query.
pub fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}

/// A text without its percent encoding.
pub fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads a head. `None` at the end of the connection.
pub fn read_head<R: BufRead>(stream: &mut R) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return match head.first.is_empty() {
                true => Ok(None),
                false => Err(broken("the head is cut off")),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body that has a length or comes in chunks.
pub fn read_body<R: BufRead>(stream: &mut R, head: &Head) -> io::Result<Vec<u8>> {
    let is_chunked = head.get("transfer-encoding").is_some();
    if !is_chunked {
        let length = head
            .get("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        stream.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    while let Some(chunk) = read_chunk(stream)? {
        body.extend(chunk);
    }
    Ok(body)
}

/// Reads a chunk. `None` is the last one.
pub fn read_chunk<R: BufRead>(stream: &mut R) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(broken("cut off before a chunk"));
    }
    let digits = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(digits, 16).map_err(|_| broken("no size of a chunk"))?;
    let mut chunk = vec![0; size + 2];
    stream.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Writes an answer with a length.
pub fn answer<W: Write>(
    stream: &mut W,
    status: u16,
    fields: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// A connection of a client.
pub struct Connection {
    pub stream: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, text: &str, body: &[u8], patience: Duration) -> io::Result<()> {
        let stream = self.stream.get_mut();
        stream.set_read_timeout(Some(patience))?;
        let mut bytes = text.as_bytes().to_vec();
        bytes.extend(body);
        stream.write_all(&bytes)
    }

    /// Reads an answer with a length or in chunks.
    pub fn receive(&mut self) -> io::Result<(Head, Vec<u8>)> {
        let head =
            read_head(&mut self.stream)?.ok_or_else(|| broken("closed without an answer"))?;
        let body = read_body(&mut self.stream, &head)?;
        Ok((head, body))
    }
}
