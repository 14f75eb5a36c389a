//! Replays recorded cases against their stated outcomes.
