//! What a caller of HTTP/1.0 sees of answers that end in all ways.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io::{self, Read as _, Write as _};
use std::net;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, Version};
use http_body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::delimited::{Delimiter, Socket};

/// A piece that does not fit into the buffers of the system.
const LARGE_BYTES: usize = 16 << 20;

/// Time in which a connection that could be written to is written to.
const TIME_TO_WRITE: Duration = Duration::from_millis(200);

/// What a body does next.
#[derive(Clone, Debug)]
enum Step {
    Piece(Bytes),
    Fail,
    /// It brings nothing more.
    Wait,
}

/// A body that ends after its steps.
struct Steps(VecDeque<Step>);

impl http_body::Body for Steps {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.0.pop_front() {
            Some(Step::Piece(piece)) => Poll::Ready(Some(Ok(Frame::data(piece)))),
            Some(Step::Fail) => Poll::Ready(Some(Err(io::ErrorKind::Other.into()))),
            Some(Step::Wait) => {
                self.0.push_front(Step::Wait);
                Poll::Pending
            }
            None => Poll::Ready(None),
        }
    }
}

fn small() -> Step {
    Step::Piece(Bytes::from_static(b"piece"))
}

fn large() -> Step {
    Step::Piece(Bytes::from(vec![b'x'; LARGE_BYTES]))
}

/// Answers one request with these steps until the library is done, or for a time at most.
async fn serve(stream: TcpStream, steps: &[Step], time: Duration) {
    let delimiter = Delimiter::default();
    let service = service_fn(|req: Request<Incoming>| {
        let body = Steps(steps.iter().cloned().collect());
        let response = delimiter.answer(req.version(), Response::new(body));
        async { Ok::<_, Infallible>(response) }
    });
    let socket = Socket::new(stream, delimiter.clone());
    let serving = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    // An error, as of a body that fails, closes the connection.
    drop(tokio::time::timeout(time, serving).await);
}

/// What a caller reads of an answer that is served for a time at most. It begins to read after `pause`.
fn read(version: Version, steps: &[Step], time: Duration, pause: Duration) -> io::Result<Vec<u8>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let listener = net::TcpListener::bind("127.0.0.1:0")?;
    let mut caller = net::TcpStream::connect(listener.local_addr()?)?;
    let (stream, _) = listener.accept()?;
    stream.set_nonblocking(true)?;
    let head = format!("GET / {version:?}\r\nHost: a\r\nConnection: close\r\n\r\n");
    caller.write_all(head.as_bytes())?;
    let reading = thread::spawn(move || {
        thread::sleep(pause);
        let mut bytes = Vec::new();
        caller.read_to_end(&mut bytes)?;
        Ok(bytes)
    });
    runtime.block_on(async {
        let stream = TcpStream::from_std(stream)?;
        serve(stream, steps, time).await;
        io::Result::Ok(())
    })?;
    reading.join().expect("a caller")
}

const LONG: Duration = Duration::from_secs(10);

/// Guards against MIXED: a body that fails ends for a caller of HTTP/1.0 as a complete one does.
#[test]
fn connection_of_a_body_that_fails_is_reset() {
    for steps in [
        vec![small(), Step::Fail],
        vec![Step::Fail],
        vec![small(), large(), small(), Step::Fail],
    ] {
        match read(Version::HTTP_10, &steps, LONG, Duration::ZERO) {
            // The library had not written its head, without which it is no answer.
            Ok(bytes) => assert!(bytes.is_empty(), "{bytes:?}"),
            Err(e) => assert_eq!(e.kind(), io::ErrorKind::ConnectionReset),
        }
    }
}

/// Guards against MIXED: a process that ends, or a host that closes a connection, in the middle of an answer.
#[test]
fn connection_that_is_dropped_within_a_body_is_reset() {
    for steps in [
        vec![small(), Step::Wait],
        vec![small(), large(), Step::Wait],
    ] {
        let result = read(Version::HTTP_10, &steps, TIME_TO_WRITE, Duration::ZERO);
        let error = result.expect_err("a reset");
        assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    }
}

/// Guards against MIXED: all of a body is known, but not all of it is written when the connection is dropped.
#[test]
fn connection_that_is_dropped_before_all_is_written_is_reset() {
    let steps = [small(), large()];
    let result = read(Version::HTTP_10, &steps, TIME_TO_WRITE, 2 * TIME_TO_WRITE);
    assert_eq!(
        result.expect_err("a reset").kind(),
        io::ErrorKind::ConnectionReset
    );
}

/// A body that is complete ends in order, however slowly it is read.
#[test]
fn connection_of_a_whole_body_is_closed_in_order() {
    for steps in [vec![], vec![small()], vec![small(), large(), small()]] {
        for pause in [Duration::ZERO, TIME_TO_WRITE] {
            let bytes = read(Version::HTTP_10, &steps, LONG, pause).expect("a whole answer");
            let length = |step: &Step| match step {
                Step::Piece(piece) => piece.len(),
                Step::Fail | Step::Wait => 0,
            };
            let expected: usize = steps.iter().map(length).sum();
            let head = bytes.windows(4).position(|w| w == b"\r\n\r\n");
            assert_eq!(bytes.len() - head.expect("a head") - 4, expected);
        }
    }
}

/// Callers that know chunks see the end of a body in them.
#[test]
fn connections_of_other_callers_are_closed_in_order() {
    let steps = [small(), Step::Fail];
    let bytes = read(Version::HTTP_11, &steps, LONG, Duration::ZERO).expect("no reset");
    assert!(!bytes.ends_with(b"0\r\n\r\n"));
}
