//! Place of a call in its stream of events, which tells whether an event goes on from there.

use crate::endpoint::events;

/// How far a stream has come over all connections of its call.
///
/// Endpoints count their pieces up by one, so that a piece of another run, a missing one and one
/// that is sent again are told from the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// No piece has arrived.
    Start,
    /// The connection was asked to go on after this piece, and has sent none yet.
    Resumed(u32),
    /// This is the last piece.
    After(u32),
    /// The last piece has no number. The last one before it that has a number is named.
    Unnumbered(Option<u32>),
}

impl Place {
    /// Place at the beginning of a connection that goes on after `piece`, or begins the stream.
    pub fn resumed_after(piece: Option<u32>) -> Self {
        piece.map_or(Self::Start, Self::Resumed)
    }

    /// Piece after which the stream can be resumed. There is none if a piece could then be missing
    /// or arrive twice.
    pub const fn resumable_after(self) -> Option<u32> {
        match self {
            Self::Resumed(piece) | Self::After(piece) => Some(piece),
            Self::Start | Self::Unnumbered(_) => None,
        }
    }

    /// Place after an event, or `None` if the event does not go on from here.
    ///
    /// What a resumption begins with has to have a number: an error or a piece of another run has no
    /// other mark. The end marker may come at once, since it may be all that was cut off.
    pub fn advance(self, event: events::Kind) -> Option<Self> {
        match event {
            events::Kind::Comment | events::Kind::End => Some(self),
            events::Kind::Numbered(id) => self.goes_on_with(id).then_some(Self::After(id)),
            events::Kind::Unnumbered if matches!(self, Self::Resumed(_)) => None,
            events::Kind::Unnumbered => Some(Self::Unnumbered(self.last_number())),
        }
    }

    fn goes_on_with(self, id: u32) -> bool {
        self.last_number()
            .is_none_or(|last| last.checked_add(1) == Some(id))
    }

    const fn last_number(self) -> Option<u32> {
        match self {
            Self::Start => None,
            Self::Resumed(piece) | Self::After(piece) => Some(piece),
            Self::Unnumbered(last) => last,
        }
    }
}
