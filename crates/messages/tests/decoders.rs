//! The decoders of messages between hosts accept arbitrary bytes without a panic and within bounded
//! memory: a length prefix above the bound is rejected before the frame arrives.

use pistachiochute_core::answer;
use pistachiochute_messages::{codec, forward};
use proptest::prelude::{any, proptest};
use proptest::test_runner::{Config, RngSeed};
use proptest::{collection, prop_assert};

fn config() -> Config {
    Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0xdec0de),
        cases: 2_000,
        ..Config::default()
    }
}

/// Decodes frames until the decoder needs more bytes or fails. Returns the number of frames.
fn decode_all<T>(decoder: &mut codec::Decoder) -> usize
where
    T: serde::de::DeserializeOwned,
{
    let mut frames = 0;
    while let Ok(Some(_)) = decoder.take::<T>() {
        frames += 1;
    }
    frames
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_bytes_decode_or_fail(bytes in collection::vec(any::<u8>(), 0..600)) {
        let _ = codec::decode::<forward::Forward>(&bytes);
        let _ = codec::decode::<answer::Frame>(&bytes);
    }

    #[test]
    fn any_stream_of_bytes_decodes_or_fails(
        reads in collection::vec(collection::vec(any::<u8>(), 0..80), 0..20),
    ) {
        let mut decoder = codec::Decoder::new();
        let mut received = 0;
        for read in reads {
            received += read.len();
            decoder.extend(&read);
            let frames = decode_all::<answer::Frame>(&mut decoder);
            prop_assert!(frames <= received);
        }
    }
}

#[test]
fn oversized_length_prefix_is_rejected() {
    let mut decoder = codec::Decoder::new();
    decoder.extend(&u32::MAX.to_le_bytes());
    let result = decoder.take::<answer::Frame>();
    assert_eq!(result, Err(codec::Error::TooLarge(u32::MAX as usize)));
}
