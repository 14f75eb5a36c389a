//! Requests to the administration API of a host.

use std::{env, fs, net, path, time::Duration};

use eyre::WrapErr as _;
use serde_json::Value;

/// Environment variable with the operator's credential.
const CREDENTIAL: &str = "PISTACHIOCHUTE_CREDENTIAL";

/// Longest time of a request.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Arguments that name the host and the credential.
pub(crate) fn args() -> [clap::Arg; 2] {
    [
        clap::Arg::new("admin")
            .long("admin")
            .value_name("ADDR")
            .required(true)
            .value_parser(clap::value_parser!(net::SocketAddr))
            .help("Address of a host for operators"),
        clap::Arg::new("credential-file")
            .long("credential-file")
            .value_name("FILE")
            .value_parser(clap::value_parser!(path::PathBuf))
            .help("File with the operator's credential [default: $PISTACHIOCHUTE_CREDENTIAL]"),
    ]
}

/// An answer of the API.
#[derive(Debug)]
pub(crate) struct Reply {
    /// HTTP status.
    pub(crate) status: u16,
    /// JSON body.
    pub(crate) body: Value,
}

impl Reply {
    /// The body of a successful answer.
    ///
    /// # Errors
    ///
    /// Returns the error that the host states.
    pub(crate) fn success(self) -> eyre::Result<Value> {
        if self.status == 200 {
            return Ok(self.body);
        }
        let error = &self.body["error"];
        let message = error["message"].as_str().unwrap_or("no message");
        Err(eyre::eyre!("the host answered {}: {message}", self.status))
    }
}

/// A client of the API.
#[derive(Debug)]
pub(crate) struct Client {
    addr: net::SocketAddr,
    credential: String,
}

impl Client {
    /// Makes a client from the arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if no credential is given or its file cannot be read.
    pub(crate) fn new(matches: &clap::ArgMatches) -> eyre::Result<Self> {
        let addr = *matches.get_one("admin").expect("required argument");
        let credential = match matches.get_one::<path::PathBuf>("credential-file") {
            Some(file) => fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?,
            None => env::var(CREDENTIAL)
                .wrap_err_with(|| format!("set {CREDENTIAL} or give --credential-file"))?,
        };
        Ok(Self {
            addr,
            credential: credential.trim().to_owned(),
        })
    }

    /// Reads a path.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot be reached or its answer is not JSON.
    pub(crate) fn get(&self, path: &str) -> eyre::Result<Reply> {
        let url = format!("http://{}{path}", self.addr);
        self.answer(self.with_credential(attohttpc::get(url)).send())
    }

    /// Writes JSON to a path, based on a revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot be reached or its answer is not JSON. The write may
    /// have been recorded then.
    pub(crate) fn put(&self, path: &str, revision: &str, body: String) -> eyre::Result<Reply> {
        let url = format!("http://{}{path}", self.addr);
        let builder = self
            .with_credential(attohttpc::put(url))
            .header("if-match", revision);
        self.answer(builder.text(body).send())
    }

    fn with_credential<B>(
        &self,
        builder: attohttpc::RequestBuilder<B>,
    ) -> attohttpc::RequestBuilder<B> {
        builder
            .header("authorization", format!("Bearer {}", self.credential))
            .timeout(TIMEOUT)
    }

    fn answer(&self, answer: attohttpc::Result<attohttpc::Response>) -> eyre::Result<Reply> {
        let resp = answer.wrap_err_with(|| format!("host at {}", self.addr))?;
        let status = resp.status().as_u16();
        let body = resp.json().wrap_err("the answer is not JSON")?;
        Ok(Reply { status, body })
    }
}
