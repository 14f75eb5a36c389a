//! What endpoints have last said of their limits, as hosts tell each other.

use std::collections::HashMap;

use crate::rate_limits::RequestRate;
use crate::time;

/// Limit that an endpoint named in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Hash of the endpoint's identity: another incarnation begins without a limit.
    pub endpoint: u64,
    /// The limit, or `None` if the answer named none.
    pub limit: Option<RequestRate>,
    /// When the answer arrived.
    pub at: time::Time,
}

/// Last statement of each endpoint that has named a limit.
#[derive(Clone, Debug, Default)]
pub struct Statements {
    by_endpoint: HashMap<u64, Statement>,
}

impl Statements {
    /// Records a statement. Returns whether it is newer than the last one and says something else.
    pub fn record(&mut self, statement: Statement) -> bool {
        let Some(known) = self.by_endpoint.get_mut(&statement.endpoint) else {
            let is_limit = statement.limit.is_some();
            if is_limit {
                self.by_endpoint.insert(statement.endpoint, statement);
            }
            return is_limit;
        };
        if statement.at <= known.at {
            return false;
        }
        let differs = known.limit != statement.limit;
        *known = statement;
        differs
    }

    /// Whether no endpoint has named a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// All statements that name a limit.
    pub fn limits(&self) -> impl Iterator<Item = Statement> + '_ {
        let statements = self.by_endpoint.values();
        statements.filter(|s| s.limit.is_some()).copied()
    }

    /// Keeps only some of the statements.
    pub fn retain<F>(&mut self, is_kept: F)
    where
        F: Fn(&Statement) -> bool,
    {
        self.by_endpoint.retain(|_, statement| is_kept(statement));
    }
}
