//! Virtual time: the service that an account of weight one would have had.

use crate::units;

/// Units of virtual time in a token at weight one.
const SCALE: u128 = 1 << 32;

/// A point in virtual time, or a span of it. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct VirtualTime(u128);

impl VirtualTime {
    /// Span that the work takes for an account of the weight.
    pub(super) fn span(work: units::Tokens, weight: u32) -> Self {
        Self(u128::from(work.0) * SCALE / u128::from(weight.max(1)))
    }

    /// The point that lies a span later.
    pub(super) fn plus(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// The point that lies a span earlier, or the start.
    pub(super) fn minus(self, span: Self) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}
