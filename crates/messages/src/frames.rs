//! Frames of messages on a link. What does not fit into one frame is told in several.

use bytes::Bytes;
use smallvec::SmallVec;

use crate::codec;
use crate::peer::Message;

/// Frames of one message, in the order in which they are sent.
pub type Frames = SmallVec<[Bytes; 1]>;

/// Length up to which every frame can be decoded. A receiver counts what a value takes when it is decoded
/// against the same limit as its encoded length, which is shorter by a factor of eight at most.
const ALWAYS_DECODABLE_LEN: usize = codec::MAX_FRAME_LEN / 8;

/// Encodes a message whose frame every receiver can decode.
///
/// # Errors
///
/// As [`encode`], if the message takes more than one frame.
pub fn encode_whole(message: &Message) -> Result<Bytes, codec::Error> {
    let frame = codec::encode(message)?;
    if frame.len() > ALWAYS_DECODABLE_LEN && codec::decode_frame::<Message>(&frame).is_err() {
        return Err(codec::Error::TooLarge(frame.len()));
    }
    Ok(frame)
}

/// Encodes a message. A list that is too long for one frame becomes several messages of its kind, which say
/// the same.
///
/// # Errors
///
/// Returns [`codec::Error::TooLarge`] if the message is too large and is none that can be told in parts, and
/// [`codec::Error::Malformed`] if it cannot be encoded.
pub fn encode(message: &Message) -> Result<Frames, codec::Error> {
    let mut frames = Frames::new();
    add(message, &mut frames)?;
    Ok(frames)
}

fn add(message: &Message, frames: &mut Frames) -> Result<(), codec::Error> {
    let error = match encode_whole(message) {
        Ok(frame) => {
            frames.push(frame);
            return Ok(());
        }
        Err(e) => e,
    };
    match (&error, halves(message)) {
        (codec::Error::TooLarge(_), Some((first, second))) => {
            add(&first, frames)?;
            add(&second, frames)
        }
        _ => Err(error),
    }
}

/// The message as two that together say the same, if it is a list whose entries stand for themselves.
///
/// Endpoints are not told in halves here: what they say up to which revision is complete holds for all records
/// together. Statuses and loads replace what was said before, and the evidence of a crash belongs together.
fn halves(message: &Message) -> Option<(Message, Message)> {
    match message {
        Message::Holdings(list) => split(list, Message::Holdings),
        Message::StreamOrigins(list) => split(list, Message::StreamOrigins),
        Message::StreamBeginnings(list) => split(list, Message::StreamBeginnings),
        Message::EndpointLimits(list) => split(list, Message::EndpointLimits),
        Message::EndpointDepartures(list) => split(list, Message::EndpointDepartures),
        Message::Evacuations(list) => split(list, Message::Evacuations),
        Message::ColdEndpoints(list) => split(list, Message::ColdEndpoints),
        Message::Hello { .. }
        | Message::Status { .. }
        | Message::Carried(_)
        | Message::Want(_)
        | Message::Catalog(_)
        | Message::Endpoints { .. }
        | Message::OriginQuery { .. }
        | Message::OriginAnswer { .. }
        | Message::EndpointVersions(_)
        | Message::Quarantine(_)
        | Message::TimedQuarantine { .. }
        | Message::OriginClaim { .. }
        | Message::KnowledgeQuery { .. }
        | Message::KnowledgeAnswer { .. }
        | Message::StoreEpoch(_)
        | Message::CatalogPart(_) => None,
    }
}

fn split<T, F>(list: &[T], message: F) -> Option<(Message, Message)>
where
    T: Clone,
    F: Fn(Vec<T>) -> Message,
{
    let (first, second) = list.split_at(list.len() / 2);
    (!first.is_empty()).then(|| (message(first.to_vec()), message(second.to_vec())))
}
