//! The text of a case.

use std::fmt;

use pistachiochute_core::time;
use serde_json::Value;

use crate::machine;

/// Start of a line that is a comment.
const COMMENT: &str = "#";

/// A promise of the fleet to those who use it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// No engine carries more than the set multiple of the mean load.
    LoadBound,
    /// Every caller gets the whole answer to its own request.
    WholeAnswer,
    /// A request that is reported as not run did not run.
    NotRunIsTrue,
    /// A non-idempotent call runs at most once.
    AtMostOnce,
    /// A leaving endpoint gets no new work.
    Leaving,
    /// A planned stop cuts off no request.
    Drain,
    /// A change of the lists is in force everywhere within seconds and never reverts.
    InForce,
    /// Accounts are served fairly, within the limits of their plans.
    Fairness,
}

impl Promise {
    /// Every promise.
    pub const ALL: &'static [Self] = &[
        Self::LoadBound,
        Self::WholeAnswer,
        Self::NotRunIsTrue,
        Self::AtMostOnce,
        Self::Leaving,
        Self::Drain,
        Self::InForce,
        Self::Fairness,
    ];
}

/// A failure that the fleet has to withstand.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// Endpoints join, leave and flap.
    Churn,
    /// Hosts disagree about which hosts exist.
    Disagreement,
    /// Few accounts surge while others idle.
    Surge,
    /// The key-value service is down or slow.
    StoreOutage,
    /// A write took effect and its answer was lost.
    LostWriteAnswer,
    /// A lease lapsed while its holder was paused.
    LapsedLease,
    /// Operators edit the lists at the same time.
    OperatorRace,
    /// A connection went silent for good.
    SilentConnection,
    /// A failure domain is cut off.
    Partition,
}

impl Failure {
    /// Every failure.
    pub const ALL: &'static [Self] = &[
        Self::Churn,
        Self::Disagreement,
        Self::Surge,
        Self::StoreOutage,
        Self::LostWriteAnswer,
        Self::LapsedLease,
        Self::OperatorRace,
        Self::SilentConnection,
        Self::Partition,
    ];
}

/// A deployment whose sizes a case has.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Weighs an even load more than cache reuse.
    Bocage,
    /// Weighs cache reuse more than an even load.
    Lombardy,
}

/// First line of a case.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// What the case states, in one sentence.
    pub case: String,
    /// Promises that the case shows.
    #[serde(default)]
    pub promises: Vec<Promise>,
    /// Failures that the case has.
    #[serde(default)]
    pub failures: Vec<Failure>,
    /// Deployments that the case has the sizes of.
    pub deployments: Vec<Deployment>,
    /// State machine that the case drives.
    pub machine: machine::Config,
}

/// An event and its outcome.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time of the event, in milliseconds. Invariant: not before the step above.
    pub at_ms: u64,
    /// The event.
    #[serde(rename = "do")]
    pub event: Value,
    /// Exact outcome of the event; `null` for an event that has none.
    #[serde(default)]
    pub expect: Value,
}

impl Step {
    /// Time of the event.
    #[must_use]
    pub const fn at(&self) -> time::Time {
        time::Time::from_millis(self.at_ms)
    }
}

/// A fault of a case and the line where it stands.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Fault {
    /// Number of the line, from 1.
    pub line: usize,
    /// What is wrong.
    pub fault: String,
}

impl Fault {
    pub(crate) fn new<E>(line: usize, fault: &E) -> Self
    where
        E: fmt::Display + ?Sized,
    {
        Self {
            line,
            fault: fault.to_string(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.fault)
    }
}

/// A case with the line of each step.
#[derive(Clone, Debug)]
pub struct Case {
    /// The first line.
    pub header: Header,
    /// Lines and steps. Invariant: in the order of their times.
    pub steps: Vec<(usize, Step)>,
}

impl Case {
    /// Parses the text of a case. Blank lines and lines that start with `#` are comments.
    ///
    /// # Errors
    ///
    /// Returns every line that is faulty.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let mut lines = text
            .lines()
            .enumerate()
            .map(|(i, line)| (i + 1, line.trim()))
            .filter(|(_, line)| !line.is_empty() && !line.starts_with(COMMENT));
        let (line, header) = lines
            .next()
            .ok_or_else(|| vec![Fault::new(1, "the file holds no case")])?;
        let header = serde_json::from_str(header).map_err(|e| vec![Fault::new(line, &e)])?;
        Ok(Self {
            header,
            steps: parse_steps(lines)?,
        })
    }
}

fn parse_steps<'a, I>(lines: I) -> Result<Vec<(usize, Step)>, Vec<Fault>>
where
    I: Iterator<Item = (usize, &'a str)>,
{
    let mut steps: Vec<(usize, Step)> = Vec::new();
    let mut faults = Vec::new();
    for (line, text) in lines {
        let step: Step = match serde_json::from_str(text) {
            Ok(step) => step,
            Err(e) => {
                faults.push(Fault::new(line, &e));
                continue;
            }
        };
        if steps
            .last()
            .is_some_and(|(_, last)| last.at_ms > step.at_ms)
        {
            faults.push(Fault::new(line, "the time goes back"));
        }
        steps.push((line, step));
    }
    if steps.is_empty() && faults.is_empty() {
        faults.push(Fault::new(1, "the case holds no step"));
    }
    if faults.is_empty() {
        Ok(steps)
    } else {
        Err(faults)
    }
}
