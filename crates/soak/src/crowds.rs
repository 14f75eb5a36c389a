//! Crowds of callers that misbehave. Nothing that they send may run.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use pistachiochute_standins::platform::caller::CallerRequest;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::load;

/// Most callers of a crowd.
const MAX_CALLERS: u64 = 60;

/// Longest time for which a crowd stays, in milliseconds.
const MAX_STAY_MS: u64 = 1_500;

/// Time that a write of a crowd may take.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// Bytes of a body, all but the last of which are sent.
const BODY_BYTES: usize = 100_000;

/// Distinguishes the long prompts of a seed from its crowds.
const LONG_PROMPT_SEED: u64 = 0x6c6f_6e67;

/// Parts of a long prompt, about as many as a head has room for.
const LONG_PROMPT_PARTS: usize = 1_750;

/// Pause between two long prompts.
const LONG_PROMPT_PAUSE: Duration = Duration::from_millis(60);

/// Kind of a crowd.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Silent,
    HalfHead,
    ManyFields,
    HalfBody,
    HalfBodyWithoutRoute,
    EndlessChunks,
    LengthBesideChunks,
    AheadWithoutRoute,
}

const KINDS: [Kind; 8] = [
    Kind::Silent,
    Kind::HalfHead,
    Kind::ManyFields,
    Kind::HalfBody,
    Kind::HalfBodyWithoutRoute,
    Kind::EndlessChunks,
    Kind::LengthBesideChunks,
    Kind::AheadWithoutRoute,
];

impl Kind {
    /// What each caller sends.
    fn bytes(self, key: &str) -> Vec<u8> {
        let head = |path: &str, fields: &str| {
            format!(
                "POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: crowd\r\n\
                 Authorization: Bearer {key}\r\n{fields}"
            )
        };
        let body = |path| {
            let fields = format!("Content-Length: {BODY_BYTES}\r\n\r\n");
            head(path, &fields) + &"x".repeat(BODY_BYTES - 1)
        };
        let text = match self {
            Self::Silent => String::new(),
            Self::HalfHead => head("/call/", "Content-"),
            Self::ManyFields => head("/call/", &"a:\r\n".repeat(3_500)) + "\r\n",
            Self::HalfBody => body("/call/"),
            Self::HalfBodyWithoutRoute => body("/nowhere/"),
            Self::EndlessChunks => {
                let chunks = "1;name=value\r\nx\r\n".repeat(1_000);
                head("/call/", "Transfer-Encoding: chunked\r\n\r\n") + &chunks
            }
            Self::LengthBesideChunks => {
                let fields = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
                head("/call/", fields)
            }
            Self::AheadWithoutRoute => head("/nowhere/", "\r\n").repeat(200),
        };
        text.into_bytes()
    }
}

/// Sends crowds to hosts, one after another, until the soak is over.
pub(crate) fn start(
    hosts: Vec<SocketAddr>,
    shared: Arc<load::Shared>,
    seed: u64,
) -> thread::JoinHandle<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    thread::spawn(move || {
        while !shared.is_over.load(Ordering::Relaxed) {
            let kind = KINDS[rng.random_range(0..KINDS.len())];
            let host = hosts[rng.random_range(0..hosts.len())];
            let key = load::key(shared.key.load(Ordering::Relaxed));
            let bytes = kind.bytes(&key);
            let callers = rng.random_range(1..=MAX_CALLERS);
            let crowd: Vec<_> = (0..callers).filter_map(|_| open(host, &bytes)).collect();
            let stay = rng.random_range(0..=MAX_STAY_MS);
            thread::sleep(Duration::from_millis(stay));
            drop(crowd);
        }
    })
}

/// Sends prompts of very many parts, one after another, which are served and whose parts are cached.
pub(crate) fn start_long_prompts(
    hosts: Vec<SocketAddr>,
    shared: Arc<load::Shared>,
    seed: u64,
) -> thread::JoinHandle<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ LONG_PROMPT_SEED);
    thread::spawn(move || {
        let mut number = 0;
        while !shared.is_over.load(Ordering::Relaxed) {
            number += 1;
            let host = hosts[rng.random_range(0..hosts.len())];
            let key = load::key(shared.key.load(Ordering::Relaxed));
            let part = |_| format!("{:06x}:1", rng.random_range(0..1 << 24));
            let parts: Vec<_> = (0..LONG_PROMPT_PARTS).map(part).collect();
            let prompt = CallerRequest::new(&format!("long-{number}"), "/call/", &key)
                .header("X-Model", "m")
                .header("X-Token-Usage", "2000,10")
                .header("X-Prompt-Prefix", &parts.join(","));
            let _ = prompt.send(host);
            thread::sleep(LONG_PROMPT_PAUSE);
        }
    })
}

/// Opens a connection and sends what the host takes. It may be down, or refuse.
fn open(host: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(host).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    let _ = stream.write_all(bytes);
    Some(stream)
}
