//! Pings on a connection, with a deadline.

use std::time::Duration;

use tokio::time;

/// Sends pings until one is not answered in time or the connection ends.
///
/// Returns when the connection must be given up.
pub async fn watch(mut pings: h2::PingPong, span: Duration) {
    loop {
        match time::timeout(span, pings.ping(h2::Ping::opaque())).await {
            Ok(Ok(_)) => time::sleep(span).await,
            Ok(Err(_)) | Err(_) => return,
        }
    }
}
