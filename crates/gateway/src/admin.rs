//! HTTP listeners for the load balancer's health checks and for metrics.

use std::cell::Cell;
use std::convert::Infallible;
use std::net;
use std::rc::Rc;

use bytes::Bytes;
use eyre::WrapErr as _;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use pistachiochute_core::time;
use pistachiochute_runtime::{clock, metrics};

use crate::sockets;

/// Answer of an admin listener.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Plain-text body.
    pub body: String,
}

/// Most connections of a listener.
const MAX_CONNECTIONS: usize = 64;

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// An open connection.
#[derive(Debug)]
struct Connection {
    /// Whether it has had an answer, and when it was accepted or had the last one. The least of all
    /// connections is closed to make room.
    last_answer: Rc<Cell<(bool, time::Time)>>,
    task: tokio::task::JoinHandle<()>,
}

/// Answers every request on a listener with the result of `reply`, whatever its path.
///
/// # Errors
///
/// Returns an error if the listener cannot be registered with the runtime.
pub async fn serve<F>(
    listener: net::TcpListener,
    metrics: metrics::Metrics,
    reply: F,
) -> eyre::Result<()>
where
    F: Fn() -> Reply + 'static,
{
    let listener = tokio::net::TcpListener::from_std(listener).wrap_err("listener")?;
    let reply = Rc::new(reply);
    let mut open: Vec<Connection> = Vec::new();
    loop {
        let stream = sockets::accept(&listener, sockets::Peer::Host).await;
        make_room(&mut open, &metrics);
        let reply = reply.clone();
        let last_answer = Rc::new(Cell::new((false, clock::now())));
        let answered = last_answer.clone();
        let service = service_fn(move |_| {
            let reply = reply();
            answered.set((true, clock::now()));
            async move { Ok::<_, Infallible>(respond(reply)) }
        });
        let connection = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let task = tokio::task::spawn_local(async { drop(connection.await) });
        open.push(Connection { last_answer, task });
    }
}

/// Closes a connection if there are too many: one without an answer first, and the oldest of these.
fn make_room(open: &mut Vec<Connection>, metrics: &metrics::Metrics) {
    open.retain(|connection| !connection.task.is_finished());
    if open.len() < MAX_CONNECTIONS {
        return;
    }
    let ages = open.iter().enumerate();
    let least = ages.min_by_key(|(_, connection)| connection.last_answer.get());
    if let Some((index, _)) = least {
        open.swap_remove(index).task.abort();
        metrics.decided(metrics::Decision::AdminConnectionClosed);
    }
}

fn respond(reply: Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() = reply.status;
    response
}
