use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Method, Request, Response, response};
use http_body::Body as _;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use pistachiochute_core::outcome::Framing;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::framing;

fn head(status: u16, fields: &[(&str, &str)]) -> response::Parts {
    let fields = fields.iter();
    let head = fields.fold(Response::builder().status(status), |head, (name, value)| {
        head.header(*name, *value)
    });
    head.body(()).expect("a head").into_parts().0
}

fn framing_of(fields: &[(&str, &str)]) -> Framing {
    framing(&Method::POST, &head(200, fields))
}

#[test]
fn length_or_last_chunk_delimits_a_body() {
    assert_eq!(framing_of(&[("content-length", "2")]), Framing::Explicit);
    let chunked = ("transfer-encoding", "Chunked");
    assert_eq!(framing_of(&[chunked]), Framing::Explicit);
    let coded = ("transfer-encoding", "gzip, chunked");
    assert_eq!(framing_of(&[coded]), Framing::Explicit);
    let apart = [("transfer-encoding", "gzip"), chunked];
    assert_eq!(framing_of(&apart), Framing::Explicit);
}

/// Guards against a cut answer that looks whole: a field that does not say where the body ends.
#[test]
fn connection_delimits_a_body_without_length_and_chunks() {
    assert_eq!(framing_of(&[]), Framing::Connection);
    let coded = ("transfer-encoding", "gzip");
    assert_eq!(framing_of(&[coded]), Framing::Connection);
    // The coding overrides the length.
    let both = [coded, ("content-length", "2")];
    assert_eq!(framing_of(&both), Framing::Connection);
    let order = ("transfer-encoding", "chunked, gzip");
    assert_eq!(framing_of(&[order]), Framing::Connection);
}

#[test]
fn answer_that_has_no_body_ends_with_its_head() {
    assert_eq!(framing(&Method::HEAD, &head(200, &[])), Framing::Explicit);
    for status in [204, 304] {
        let head = head(status, &[]);
        assert_eq!(framing(&Method::GET, &head), Framing::Explicit);
    }
}

/// Body of a request that is never written to its end, in bytes.
const LARGE_BODY_BYTES: usize = 4 << 20;

/// Bytes that the system takes of a request.
const WRITTEN_BYTES: usize = 1 << 10;

const ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 0\ndata: 0\n\n";

/// How far a reset has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Reset {
    #[default]
    None,
    /// It has come after the last read, so that a write is told of it.
    Untold,
    /// A write was told of it. Reads end in order.
    Told,
}

/// A connection to an endpoint that answers without framing before it has read the request.
struct Connection {
    unread: &'static [u8],
    room: usize,
    reset: Rc<Cell<Reset>>,
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let is_asked = self.room < WRITTEN_BYTES;
        let has_more = is_asked && !self.unread.is_empty();
        if !has_more && self.reset.get() != Reset::Told {
            return Poll::Pending;
        }
        let length = self.unread.len().min(buf.remaining());
        let (piece, rest) = self.unread.split_at(length);
        buf.put_slice(piece);
        self.unread = rest;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.reset.get() {
            Reset::None => {}
            Reset::Untold => {
                self.reset.set(Reset::Told);
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            Reset::Told => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
        }
        let length = self.room.min(buf.len());
        self.room -= length;
        match length {
            0 => Poll::Pending,
            _ => {
                // The answer comes then.
                cx.waker().wake_by_ref();
                Poll::Ready(Ok(length))
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

type Driver = Pin<Box<dyn Future<Output = hyper::Result<()>>>>;

/// An answer that has begun, the task of its connection, and the reset of it.
async fn begun() -> (Incoming, Driver, Rc<Cell<Reset>>) {
    let reset = Rc::<Cell<Reset>>::default();
    let connection = Connection {
        unread: ANSWER,
        room: WRITTEN_BYTES,
        reset: reset.clone(),
    };
    let handshake = http1::handshake(TokioIo::new(connection)).await;
    let (mut sender, driver) = handshake.expect("a connection");
    let body = Full::new(Bytes::from(vec![b'x'; LARGE_BODY_BYTES]));
    let request = Request::post("/").body(body).expect("a request");
    let mut sending = Box::pin(sender.send_request(request));
    let mut driver: Driver = Box::pin(driver);
    let answer = poll_fn(|cx| {
        drop(driver.as_mut().poll(cx));
        sending.as_mut().poll(cx)
    });
    let answer = answer.await.expect("a head");
    // Its connection goes on until it has ended.
    std::mem::forget(sender);
    (answer.into_body(), driver, reset)
}

/// Reads a body to its end or its error, while the task of its connection goes on.
async fn read(mut body: Incoming, mut driver: Option<Driver>) -> Result<usize, hyper::Error> {
    let mut length = 0;
    loop {
        let frame = poll_fn(|cx| {
            if let Some(running) = &mut driver
                && running.as_mut().poll(cx).is_ready()
            {
                driver = None;
            }
            Pin::new(&mut body).poll_frame(cx)
        });
        match frame.await {
            None => return Ok(length),
            Some(frame) => length += frame?.data_ref().map_or(0, Bytes::len),
        }
    }
}

/// Guards against ORDER and MIXED: a reset that the library is told of by a write, after which a read of the
/// body ends in order. The library makes it an error of the body.
#[tokio::test]
async fn reset_that_a_write_is_told_of_is_no_end_of_a_body() {
    // The body is read before the reset, and not.
    for is_read in [true, false] {
        let (mut body, mut driver, reset) = begun().await;
        if is_read {
            let first = poll_fn(|cx| {
                drop(driver.as_mut().poll(cx));
                Pin::new(&mut body).poll_frame(cx)
            });
            assert!(matches!(first.await, Some(Ok(_))));
        }
        reset.set(Reset::Untold);
        assert!(read(body, Some(driver)).await.is_err(), "{is_read}");
        assert_eq!(reset.get(), Reset::Told);
    }
}

/// Guards against ORDER and MIXED: a body that ends in order since the task of its connection was dropped, as
/// at the end of a process or after a panic. The library makes it an error of the body.
#[tokio::test]
async fn body_whose_connection_is_dropped_does_not_end_in_order() {
    for is_read in [true, false] {
        let (mut body, mut driver, _) = begun().await;
        if is_read {
            let first = poll_fn(|cx| {
                drop(driver.as_mut().poll(cx));
                Pin::new(&mut body).poll_frame(cx)
            });
            assert!(matches!(first.await, Some(Ok(_))));
        }
        drop(driver);
        assert!(read(body, None).await.is_err(), "{is_read}");
    }
}
