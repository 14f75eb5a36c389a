//! An endpoint that is a process of its own, so that the system closes its connections when it ends.
//!
//! The process that started it writes lines to its input: a place in an answer, at which the endpoint
//! kills itself while it sends the next answer. It exits when its input ends.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use eyre::WrapErr as _;
use pistachiochute_standins::platform::endpoint::seal_of;
use pistachiochute_standins::platform::records;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::json;

use crate::processes::answers::{Asked, Point, Script};
use crate::processes::{CALL_PIECES, STREAM_ROUTE};
use crate::versions::EVENTS;

/// Name of the subcommand that is an endpoint.
pub(crate) const SUBCOMMAND: &str = "endpoint";

/// Pause before each piece of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(40);

/// Pause before each piece of the answer to a call.
const CALL_PAUSE: Duration = Duration::from_millis(8);

/// What a process is told when it starts.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub id: String,
    pub address: SocketAddr,
    pub version: String,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Whether the report names the start.
    pub names_start: bool,
    /// File with the ids of requests to which an endpoint that lived on sent less than it owed, in an
    /// answer that does not show it.
    pub falsely_whole: PathBuf,
}

impl Settings {
    /// Starts a process of this program as the endpoint.
    pub(crate) fn spawn(&self) -> eyre::Result<Child> {
        let program = std::env::current_exe().wrap_err("path of this program")?;
        let mut command = Command::new(program);
        command
            .arg(SUBCOMMAND)
            .arg(&self.id)
            .arg(self.address.to_string())
            .arg(&self.version)
            .arg(self.born.to_string())
            .arg(self.names_start.to_string())
            .arg(&self.falsely_whole)
            .stdin(Stdio::piped());
        command.spawn().wrap_err("start an endpoint")
    }

    /// What the process says of itself.
    pub(crate) fn report(&self) -> serde_json::Value {
        match self.names_start {
            true => json!({"busy": false, "born": self.born}),
            false => json!({"busy": false}),
        }
    }

    fn from_matches(matches: &clap::ArgMatches) -> Self {
        let text = |name: &str| {
            let value: &String = matches.get_one(name).expect("it is required");
            value.clone()
        };
        Self {
            id: text("id"),
            address: *matches.get_one("address").expect("it is required"),
            version: text("version"),
            born: *matches.get_one("born").expect("it is required"),
            names_start: *matches.get_one("names-start").expect("it is required"),
            falsely_whole: Path::new(&text("falsely-whole")).to_owned(),
        }
    }
}

/// The hidden subcommand of an endpoint.
pub(crate) fn command() -> clap::Command {
    let argument = |name: &'static str| clap::Arg::new(name).required(true);
    clap::Command::new(SUBCOMMAND)
        .hide(true)
        .arg(argument("id"))
        .arg(argument("address").value_parser(clap::value_parser!(SocketAddr)))
        .arg(argument("version"))
        .arg(argument("born").value_parser(clap::value_parser!(u64)))
        .arg(argument("names-start").value_parser(clap::value_parser!(bool)))
        .arg(argument("falsely-whole"))
}

/// Serves as an endpoint until the input ends.
pub(crate) fn run(matches: &clap::ArgMatches) -> eyre::Result<()> {
    let settings = Settings::from_matches(matches);
    let listener = TcpListener::bind(settings.address).wrap_err("address of the endpoint")?;
    let falsely_whole = File::options()
        .create(true)
        .append(true)
        .open(&settings.falsely_whole)
        .wrap_err("file of answers")?;
    let process = Arc::new(Process {
        settings,
        falsely_whole,
        next_cut: Mutex::default(),
        runs: AtomicU64::new(0),
    });
    let accepting = process.clone();
    thread::spawn(move || accepting.accept(&listener));
    for line in io::stdin().lines() {
        *process.next_cut() = Some(line?.parse()?);
    }
    Ok(())
}

/// Ends this process as a crash does.
fn crash() -> ! {
    let own = rustix::process::getpid();
    // A process may always kill itself.
    let _ = rustix::process::kill_process(own, Signal::KILL);
    std::process::abort()
}

struct Process {
    settings: Settings,
    falsely_whole: File,
    /// Place at which the process ends while it sends the next answer.
    next_cut: Mutex<Option<Point>>,
    runs: AtomicU64,
}

impl Process {
    fn next_cut(&self) -> std::sync::MutexGuard<'_, Option<Point>> {
        self.next_cut.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let process = self.clone();
            // The host closing the connection is an expected end.
            thread::spawn(move || drop(process.serve(stream)));
        }
    }

    /// Serves the requests of a connection, one after the other.
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = Request::read(&mut reader)? {
            if let Some(answer) = self.answer_outside_runs(&request) {
                stream.write_all(answer.as_bytes())?;
                continue;
            }
            if !self.run_request(&request, &mut stream)? {
                break;
            }
        }
        Ok(())
    }

    /// Answer to what is no run: a report, a health check, or a request for another endpoint.
    fn answer_outside_runs(&self, request: &Request) -> Option<String> {
        let own = &self.settings.id;
        let (status, body) = match request.method.as_str() {
            "GET" if request.path == records::REPORT_PATH => {
                (200, self.settings.report().to_string())
            }
            "GET" => (200, String::new()),
            _ if request.header(records::EXPECTED_ENDPOINT) == own => return None,
            _ => (421, String::new()),
        };
        let id = request.header("x-request-id");
        let head = records::head_outside_runs(status, id, own);
        Some(format!(
            "{head}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ))
    }

    /// Runs a request. Returns whether the connection goes on.
    fn run_request(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let run = self.runs.fetch_add(1, Ordering::Relaxed);
        let Settings { id, born, .. } = &self.settings;
        let is_stream = request.path.contains(STREAM_ROUTE);
        let asked = Asked {
            id: request.header("x-request-id"),
            is_stream,
            last_event: request.header("last-event-id").parse().ok(),
            pieces: if is_stream { EVENTS } else { CALL_PIECES },
            run: &format!("{id}.{born}.{run}"),
            version: &self.settings.version,
            seal: &seal_of(id),
        };
        let mut rng = ChaCha8Rng::seed_from_u64(born ^ (run << 48));
        let mut script = Script::draw(&mut rng, &asked);
        let cut = self.next_cut().take();
        if let Some(point) = cut {
            script.cut(&mut rng, point);
        }
        if script.is_falsely_whole {
            writeln!(&self.falsely_whole, "{}", asked.id)?;
        }
        let pause = if is_stream { EVENT_PAUSE } else { CALL_PAUSE };
        let sent = script.send(stream, pause);
        if cut.is_some() {
            crash();
        }
        sent?;
        Ok(!script.closes)
    }
}

impl Script {
    /// Sends the answer, with a pause before each piece.
    fn send(&self, stream: &mut TcpStream, pause: Duration) -> io::Result<()> {
        stream.write_all(&self.head)?;
        for piece in &self.pieces {
            thread::sleep(pause);
            stream.write_all(piece)?;
        }
        stream.write_all(&self.end)
    }
}

/// A request without its body.
struct Request {
    method: String,
    path: String,
    /// Names are in lowercase.
    headers: HashMap<String, String>,
}

impl Request {
    /// Reads a request, with its body. Returns `None` if the connection ends.
    fn read<R>(reader: &mut R) -> io::Result<Option<Self>>
    where
        R: BufRead,
    {
        let first = read_line(reader)?;
        let Some((method, target)) = first.split_once(' ') else {
            return Ok(None);
        };
        let path = target.split(' ').next().unwrap_or("");
        let mut request = Self {
            method: method.to_owned(),
            path: path.to_owned(),
            headers: HashMap::new(),
        };
        loop {
            let line = read_line(reader)?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            let value = value.trim().to_owned();
            request.headers.insert(name.to_lowercase(), value);
        }
        request.skip_body(reader)?;
        Ok(Some(request))
    }

    /// Value of a header, or nothing.
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn skip_body<R>(&self, reader: &mut R) -> io::Result<()>
    where
        R: BufRead,
    {
        if !self.headers.contains_key("transfer-encoding") {
            let length = self.header("content-length").parse().unwrap_or(0);
            return skip(reader, length);
        }
        loop {
            let size = u64::from_str_radix(&read_line(reader)?, 16).unwrap_or(0);
            skip(reader, size)?;
            read_line(reader)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
}

/// Reads a line. It is empty at the end.
fn read_line<R>(reader: &mut R) -> io::Result<String>
where
    R: BufRead,
{
    let mut line = String::new();
    reader.read_line(&mut line)?;
    line.truncate(line.trim_end().len());
    Ok(line)
}

fn skip<R>(reader: &mut R, length: u64) -> io::Result<()>
where
    R: BufRead,
{
    io::copy(&mut reader.take(length), &mut io::sink())?;
    Ok(())
}
