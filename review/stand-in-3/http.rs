//! A little HTTP/1.1: reads messages from a socket, and writes them.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Head of a request or an answer, and the body if it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a socket with a buffer.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads more bytes. Returns whether there were any.
    fn fill(&mut self) -> io::Result<bool> {
        let mut piece = [0; 16 << 10];
        let read = self.stream.read(&mut piece)?;
        self.buf.extend_from_slice(&piece[..read]);
        Ok(read > 0)
    }

    fn take(&mut self, bytes: usize) -> Vec<u8> {
        let rest = self.buf.split_off(bytes);
        std::mem::replace(&mut self.buf, rest)
    }

    /// Reads a head, or returns `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n\r\n") {
                let head = self.take(end + 4);
                let text = String::from_utf8_lossy(&head).into_owned();
                let mut lines = text.trim_end().split("\r\n");
                let start = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
                let headers = headers.collect();
                return Ok(Some(Message {
                    start,
                    headers,
                    body: Vec::new(),
                }));
            }
            if !self.fill()? {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn exactly(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < bytes {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.take(bytes))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n") {
                let line = self.take(end + 2);
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let data = self.exactly(size)?;
        self.line()?;
        Ok(data)
    }

    /// Reads the body that follows a head. `to_end`: a body without length or chunks ends with its connection.
    pub fn body(&mut self, message: &mut Message, to_end: bool) -> io::Result<()> {
        if message
            .header("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"))
        {
            loop {
                let data = self.chunk()?;
                if data.is_empty() {
                    return Ok(());
                }
                message.body.extend(data);
            }
        }
        let length = message
            .header("content-length")
            .and_then(|v| v.parse().ok());
        match length {
            Some(length) => message.body = self.exactly(length)?,
            None if to_end => {
                while self.fill()? {}
                message.body = std::mem::take(&mut self.buf);
            }
            None => {}
        }
        Ok(())
    }

    /// Reads a whole request, or `None` at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut head) = self.head()? else {
            return Ok(None);
        };
        self.body(&mut head, false)?;
        Ok(Some(head))
    }

    /// Reads a whole answer.
    pub fn answer(&mut self) -> io::Result<Message> {
        let head = self.head()?;
        let mut head = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        self.body(&mut head, true)?;
        Ok(head)
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}

/// Writes an answer with a length.
pub fn respond(
    mut stream: &TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
