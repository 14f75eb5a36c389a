//! Deployments whose traffic the traces follow.

/// A time of raised demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surge {
    /// Start, in seconds from the start of the trace.
    pub from_s: f64,
    /// End, in seconds from the start of the trace.
    pub until_s: f64,
    /// Factor on the rate of new chats.
    pub factor: f64,
    /// Share of the new chats of the surge that come from the largest account.
    pub largest_share: f64,
}

/// A deployment and its traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deployment {
    /// Name in the figures.
    pub name: &'static str,
    /// Failure domains of the region.
    pub domains: usize,
    /// Entry hosts.
    pub hosts: usize,
    /// Model replicas.
    pub endpoints: usize,
    /// Requests in flight for each endpoint, on average.
    pub in_flight: f64,
    /// Client accounts.
    pub accounts: u32,
    /// Exponent of the accounts' sizes: account `k` has a share in proportion to `k^-exponent`.
    pub account_exponent: f64,
    /// Median tokens of a chat's first prompt.
    pub first_prompt: f64,
    /// Spread of the first prompt: standard deviation of its logarithm.
    pub first_prompt_sigma: f64,
    /// Median tokens that each later turn adds to the prompt.
    pub next_prompt: f64,
    /// Median tokens of an answer.
    pub answer: f64,
    /// Spread of the answer: standard deviation of its logarithm.
    pub answer_sigma: f64,
    /// Turns of a chat, on average.
    pub turns: f64,
    /// Median pause before a chat returns, in seconds.
    pub pause_s: f64,
    /// Spread of the pause: standard deviation of its logarithm.
    pub pause_sigma: f64,
    /// Prefix tokens that one endpoint holds.
    pub cache_tokens: u64,
    /// Length of the trace in seconds.
    pub length_s: f64,
    /// Start of the trace that fills the caches and is not counted, in seconds.
    pub warm_up_s: f64,
    /// Multiple of the mean load in hundredths.
    pub multiple: u32,
    /// Weight of cache reuse against even load.
    pub reuse: f64,
    /// Time of raised demand.
    pub surge: Surge,
    /// Seed of the trace.
    pub seed: u64,
}

/// Reçus du Bocage: scanned paper, season end with one large account, even load first.
pub const BOCAGE: Deployment = Deployment {
    name: "bocage",
    domains: 3,
    hosts: 8,
    endpoints: 20,
    in_flight: 4.0,
    accounts: 10,
    account_exponent: 1.2,
    first_prompt: 1_200.0,
    first_prompt_sigma: 0.6,
    next_prompt: 120.0,
    answer: 260.0,
    answer_sigma: 0.5,
    turns: 5.0,
    pause_s: 60.0,
    pause_sigma: 1.0,
    cache_tokens: 300_000,
    length_s: 1_800.0,
    warm_up_s: 300.0,
    multiple: 125,
    reuse: 0.6,
    surge: Surge {
        from_s: 900.0,
        until_s: 1_200.0,
        factor: 1.6,
        largest_share: 0.7,
    },
    seed: 0x0b0c_a6e0,
};

/// Agenzia Regionale Supplenze Scuola Lombardia: long contract files, a surge before the first
/// bell, cache reuse first.
pub const LOMBARDY: Deployment = Deployment {
    name: "lombardy",
    first_prompt: 4_000.0,
    first_prompt_sigma: 0.7,
    next_prompt: 150.0,
    turns: 6.0,
    pause_s: 90.0,
    cache_tokens: 800_000,
    multiple: 150,
    reuse: 1.0,
    surge: Surge {
        from_s: 700.0,
        until_s: 1_300.0,
        factor: 1.8,
        largest_share: 0.5,
    },
    seed: 0x10b0_a4d1,
    ..BOCAGE
};

/// One failure domain at the size to design for.
pub const DESIGN: Deployment = Deployment {
    name: "design",
    domains: 1,
    hosts: 52,
    endpoints: 116,
    in_flight: 36.0,
    accounts: 430,
    account_exponent: 1.0,
    first_prompt: 1_500.0,
    first_prompt_sigma: 0.7,
    cache_tokens: 1_500_000,
    length_s: 300.0,
    warm_up_s: 100.0,
    multiple: 125,
    reuse: 0.6,
    surge: Surge {
        from_s: 180.0,
        until_s: 240.0,
        factor: 1.3,
        largest_share: 0.5,
    },
    seed: 0x0de5_1600,
    ..BOCAGE
};
