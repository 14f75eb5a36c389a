//! Virtual time of fair queueing: tokens served to an account, divided by its weight.

use crate::units;

/// Units of virtual time per token at weight one. The fraction keeps the rounding error of the
/// division by a weight small.
const SCALE: u128 = 1 << 32;

/// A point or a span in virtual time. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct VirtualTime(u128);

impl VirtualTime {
    /// Span that `work` takes for an account with this weight. Weight zero counts as one.
    pub(super) fn span(work: units::Tokens, weight: u32) -> Self {
        Self(u128::from(work.0) * SCALE / u128::from(weight.max(1)))
    }

    /// The point a span later.
    pub(super) fn plus(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// The point a span earlier, or zero.
    pub(super) fn minus(self, span: Self) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}
