//! HTTP listeners for the load balancer's health checks and for metrics.

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

use crate::sockets;

/// Answer of an admin listener.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Plain-text body.
    pub body: String,
}

/// Answers every request on a listener with the result of `reply`, whatever its path.
///
/// # Errors
///
/// Returns an error if the listener cannot be registered with the runtime.
pub async fn serve<F>(listener: net::TcpListener, reply: F) -> eyre::Result<()>
where
    F: Fn() -> Reply + 'static,
{
    let listener = tokio::net::TcpListener::from_std(listener).wrap_err("listener")?;
    let reply = Rc::new(reply);
    loop {
        let stream = sockets::accept(&listener, sockets::Peer::Host).await;
        let reply = reply.clone();
        let service = service_fn(move |_| {
            let reply = reply();
            async move { Ok::<_, Infallible>(respond(reply)) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async { drop(connection.await) });
    }
}

fn respond(reply: Reply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() = reply.status;
    response
}
