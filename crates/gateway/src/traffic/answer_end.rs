//! How answers end: where their framing says, with their connection, or before their end.
//!
//! A process that ends closes its connections in order, just as one does that has written the whole of
//! an answer without a length. Only what the endpoint does afterwards tells the two apart.

use std::fmt;

use http::{HeaderMap, Method, StatusCode, header, response};
use pistachiochute_core::{directory, outcome, unread};
use pistachiochute_runtime::metrics;

use crate::adapter;
use crate::traffic::endpoint_report::ReportedProcess;
use crate::traffic::{Context, life, pool};

/// How the body of an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AnswerEnd {
    /// Where its framing says. It is whole.
    Framed,
    /// With its connection, which the endpoint closed in order. It is whole if it is not empty and the
    /// endpoint lives on.
    ClosedByEndpoint,
    /// Before its end, for this reason.
    Broken(String),
}

impl AnswerEnd {
    /// End of a body that was read up to the end of its connection or of its framing.
    pub(super) const fn of(framing: outcome::Framing) -> Self {
        match framing {
            outcome::Framing::Explicit => Self::Framed,
            outcome::Framing::Connection => Self::ClosedByEndpoint,
        }
    }
}

/// What shows that an endpoint lives on after it has closed the connection of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProofOfLife {
    /// The process of the endpoint's entry answered on a new connection.
    SameProcess,
    /// A process answered on a new connection at once, and does not say when it started. One that has
    /// taken the place of another would have to start first.
    Answer,
}

impl fmt::Display for ProofOfLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let process = match self {
            Self::SameProcess => ReportedProcess::Same,
            Self::Answer => ReportedProcess::Unknown,
        };
        write!(f, "process that answers afterwards: {}", process.as_str())
    }
}

/// Why an answer may not be whole whose connection its endpoint closed.
#[derive(Debug)]
pub(super) enum NoProofOfLife {
    /// No connection to it could be made.
    Unconnected(pool::AcquireError),
    /// It did not answer on a new connection.
    Unanswered,
    /// Another process has its address.
    Replaced,
    /// The answer stayed unread for so long that the endpoint, which may live on, may have cut it off.
    LeftUnread,
    /// The end came while this process did not look, and the process that answers may have started since.
    Unattended,
}

impl fmt::Display for NoProofOfLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unconnected(e) => write!(f, "closed by its endpoint, then {e}"),
            Self::Unanswered => f.write_str("closed by its endpoint, which does not answer"),
            Self::Replaced => f.write_str("closed by its endpoint, which was replaced"),
            Self::LeftUnread => f.write_str("closed by its endpoint after it had stayed unread"),
            Self::Unattended => f.write_str("closed by its endpoint while this host stood still"),
        }
    }
}

impl std::error::Error for NoProofOfLife {}

/// Finds out whether an endpoint lives on after it has closed the connection of an answer, which was read in this way.
/// The wait is bounded by the times for a connection and for a report.
pub(super) async fn check_life<D>(
    cx: &Context<D>,
    endpoint: &directory::Endpoint,
    max_connections: u32,
    end: unread::End,
) -> Result<ProofOfLife, NoProofOfLife>
where
    D: adapter::Dialect,
{
    let proof = match end {
        unread::End::MayBeCut => Err(NoProofOfLife::LeftUnread),
        unread::End::Attended => prove_life(cx, endpoint, max_connections).await,
        unread::End::Unattended => {
            let proof = prove_life(cx, endpoint, max_connections).await;
            proof.and_then(of_the_same_process)
        }
    };
    cx.metrics.decided(match proof {
        Ok(_) => metrics::Decision::AnswerEndProven,
        Err(_) => metrics::Decision::AnswerEndUnproven,
    });
    proof
}

async fn prove_life<D>(
    cx: &Context<D>,
    endpoint: &directory::Endpoint,
    max_connections: u32,
) -> Result<ProofOfLife, NoProofOfLife>
where
    D: adapter::Dialect,
{
    let hosts = cx.shared.view().hosts;
    let opened = cx.pool.open(endpoint, max_connections, hosts).await;
    let mut connection = opened.map_err(NoProofOfLife::Unconnected)?;
    let process = life::ask_and_record(cx, &mut connection, endpoint).await;
    if connection.is_free() {
        connection.release(None);
    }
    match process {
        ReportedProcess::Same => Ok(ProofOfLife::SameProcess),
        ReportedProcess::Unknown => Ok(ProofOfLife::Answer),
        ReportedProcess::Other { .. } => Err(NoProofOfLife::Replaced),
        ReportedProcess::NoAnswer => Err(NoProofOfLife::Unanswered),
    }
}

/// A proof that holds also if the answer ended some time ago.
const fn of_the_same_process(proof: ProofOfLife) -> Result<ProofOfLife, NoProofOfLife> {
    match proof {
        ProofOfLife::SameProcess => Ok(proof),
        ProofOfLife::Answer => Err(NoProofOfLife::Unattended),
    }
}

/// What delimits the body of the answer to a request with this method.
pub(super) fn framing(method: &Method, head: &response::Parts) -> outcome::Framing {
    let is_explicit = has_no_body(method, head.status)
        || match head.headers.contains_key(header::TRANSFER_ENCODING) {
            true => is_chunked(&head.headers),
            false => head.headers.contains_key(header::CONTENT_LENGTH),
        };
    match is_explicit {
        true => outcome::Framing::Explicit,
        false => outcome::Framing::Connection,
    }
}

/// Whether an answer ends with its head, whatever its fields say.
fn has_no_body(method: &Method, status: StatusCode) -> bool {
    let no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    method == Method::HEAD || no_body.contains(&status)
}

/// Whether the last transfer coding is the one that marks the end of a body.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let last = codings.next_back().and_then(|value| value.to_str().ok());
    let last = last.and_then(|value| value.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

#[cfg(test)]
mod tests;
