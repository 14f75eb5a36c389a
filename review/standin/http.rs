//! HTTP/1.1 over blocking sockets: requests on the side of a server, answers on that of a client.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub type Headers = Vec<(String, String)>;

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(text.trim_end().to_owned())
}

fn headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let text = line(reader)?;
        match text.split_once(':') {
            _ if text.is_empty() => return Ok(headers),
            Some((name, value)) => headers.push((name.trim().to_owned(), value.trim().to_owned())),
            None => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

fn chunked(reader: &mut impl BufRead, mut each: impl FnMut(&[u8])) -> io::Result<()> {
    loop {
        let size = line(reader)?;
        let size = size.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        each(&chunk);
        line(reader)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads the next request of a connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Request> {
    let first = line(reader)?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let headers = headers(reader)?;
    let mut body = Vec::new();
    if header(&headers, "transfer-encoding").is_some() {
        chunked(reader, |chunk| body.extend_from_slice(chunk))?;
    } else if let Some(length) = header(&headers, "content-length") {
        body.resize(length.parse().map_err(|_| io::ErrorKind::InvalidData)?, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(Request {
        method,
        target,
        headers,
        body,
    })
}

/// Writes a complete answer.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    extra: &str,
    body: &[u8],
) -> io::Result<()> {
    let reason = match status {
        200 => "OK",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut bytes = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n{extra}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended, or the client gave up, before a head came.
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the end of the body came.
    pub is_complete: bool,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Sends a request on a connection of its own and reads the answer, for at most `patience`.
pub fn call(
    addr: SocketAddr,
    (method, target): (&str, &str),
    fields: &str,
    body: &[u8],
    patience: Duration,
) -> Answer {
    let started = Instant::now();
    let mut answer = Answer::default();
    // An error ends the answer where it is.
    let _ = exchange(
        addr,
        (method, target),
        fields,
        body,
        started + patience,
        &mut answer,
    );
    answer.took = started.elapsed();
    answer
}

/// A stream whose reads end at a point in time.
struct Until(TcpStream, Instant);

impl Read for Until {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = self.1.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.0.set_read_timeout(Some(left))?;
        self.0.read(buf)
    }
}

fn exchange(
    addr: SocketAddr,
    (method, target): (&str, &str),
    fields: &str,
    body: &[u8],
    end: Instant,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let mut bytes =
        format!("{method} {target} HTTP/1.1\r\nHost: a.example\r\n{fields}{length}\r\n")
            .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(Until(stream, end));
    let first = line(&mut reader)?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    answer.headers = headers(&mut reader)?;
    answer.status = status.ok_or(io::ErrorKind::InvalidData)?;
    if answer.header("transfer-encoding").is_some() {
        chunked(&mut reader, |chunk| answer.body.extend_from_slice(chunk))?;
    } else if let Some(length) = answer.header("content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        reader.take(length as u64).read_to_end(&mut answer.body)?;
        if answer.body.len() < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    } else {
        reader.read_to_end(&mut answer.body)?;
    }
    answer.is_complete = true;
    Ok(())
}
