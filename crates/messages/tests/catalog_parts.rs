//! Catalogs that take more than a frame, in parts.
//!
//! Guards against CONFIG: a configuration that the store takes, and that hosts cannot tell each other.

use std::time::Duration;

use pistachiochute_core::lists::KeyDigest;
use pistachiochute_core::{catalog, time};
use pistachiochute_messages::catalog_parts::{
    Assembly, CatalogPart, EncodedCatalog, MAX_CATALOG_BYTES, PART_BYTES, PATIENCE, PartError,
};
use pistachiochute_messages::{codec, frames, peer};

const NOW: time::Time = time::Time::from_secs(100);

/// Size of the largest value that the store takes, in bytes.
const VALUE_BYTES: usize = 1 << 20;

/// A catalog with one account of so many keys.
fn content(version: u64, keys: u32) -> catalog::Content {
    catalog::Content {
        version: catalog::Version(version),
        routes: Vec::new(),
        services: Vec::new(),
        accounts: catalog::Accounts::Keyed(vec![catalog::Account {
            name: "farm".into(),
            key_digests: (0..keys).map(|n| KeyDigest::of(&n.to_le_bytes())).collect(),
            priority: None,
        }]),
        limits: catalog::CallerLimits {
            max_head_bytes: 1 << 14,
            max_body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
    }
}

fn parts(content: &catalog::Content) -> Vec<CatalogPart> {
    let encoded = EncodedCatalog::new(content).expect("a catalog that the store takes");
    let mut parts = Vec::new();
    let mut offset = 0;
    while let Some(part) = encoded.part_at(offset) {
        offset += part.bytes.len();
        parts.push(part);
    }
    parts
}

fn add_all(assembly: &mut Assembly, parts: &[CatalogPart]) -> Option<catalog::Content> {
    let mut whole = None;
    for part in parts {
        assert!(whole.is_none(), "only the last part makes the whole");
        whole = assembly.add(part, NOW).expect("a part that belongs there");
    }
    whole
}

#[test]
fn a_catalog_of_the_largest_configuration_is_put_together() {
    // The shortest key takes 3 bytes in a configuration: two quotes and a comma.
    for keys in [1, 32_000, 36_000, VALUE_BYTES as u32 / 3] {
        let content = content(7, keys);
        let parts = parts(&content);
        assert_eq!(
            add_all(&mut Assembly::new(), &parts).as_ref(),
            Some(&content)
        );
    }
}

#[test]
fn each_part_fits_into_a_frame_that_every_receiver_decodes() {
    for part in parts(&content(7, 36_000)) {
        assert!(part.bytes.len() <= PART_BYTES);
        let message = peer::Message::CatalogPart(part);
        let frame = frames::encode_whole(&message).expect("a frame");
        assert_eq!(codec::decode_frame(&frame), Ok(message));
    }
}

#[test]
fn a_newer_version_takes_the_place_of_an_unfinished_one() {
    let (earlier, later) = (content(7, 40_000), content(8, 20_000));
    let mut assembly = Assembly::new();
    let first = &parts(&earlier)[..3];
    assert_eq!(add_all(&mut assembly, first), None);
    assert_eq!(add_all(&mut assembly, &parts(&later)), Some(later));
    assert!(assembly.is_empty());
}

#[test]
fn parts_that_do_not_belong_together_make_no_catalog() {
    let (earlier, later) = (parts(&content(7, 40_000)), parts(&content(8, 40_000)));
    let mut assembly = Assembly::new();
    assert_eq!(add_all(&mut assembly, &earlier[..2]), None);
    let lost = assembly.add(&earlier[3], NOW);
    let received = 2 * PART_BYTES;
    let offset = 3 * PART_BYTES as u32;
    assert_eq!(lost, Err(PartError::OutOfOrder { received, offset }));
    assert!(assembly.is_empty());

    assert_eq!(add_all(&mut assembly, &earlier[..2]), None);
    let of_another = assembly.add(&later[2], NOW);
    assert!(matches!(
        of_another,
        Err(PartError::OutOfOrder { received: 0, .. })
    ));
    assert!(assembly.is_empty());

    let twice = [&earlier[..1], &earlier[..1], &earlier[1..]].concat();
    assert!(add_all(&mut assembly, &twice).is_some(), "begun anew");
}

#[test]
fn what_is_no_catalog_is_dropped() {
    let part = |total: u32, bytes: &[u8]| CatalogPart {
        version: catalog::Version(7),
        total,
        offset: 0,
        bytes: bytes.to_vec().into(),
    };
    let mut assembly = Assembly::new();
    let too_large = MAX_CATALOG_BYTES as u32 + 1;
    assert_eq!(
        assembly.add(&part(too_large, b"a"), NOW),
        Err(PartError::TooLarge(too_large))
    );
    assert_eq!(assembly.add(&part(1, b"ab"), NOW), Err(PartError::TooLong));
    let malformed = assembly.add(&part(2, b"ab"), NOW);
    assert!(matches!(malformed, Err(PartError::Malformed(_))));
    let mut other = parts(&content(7, 1)).remove(0);
    other.version = catalog::Version(8);
    let version = catalog::Version(7);
    assert_eq!(
        assembly.add(&other, NOW),
        Err(PartError::OtherVersion(version))
    );
    assert!(assembly.is_empty());
}

/// A host must not hold what a sender that went silent has begun.
#[test]
fn what_is_not_finished_is_dropped_after_a_while() {
    let parts = parts(&content(7, 40_000));
    let mut assembly = Assembly::new();
    assert_eq!(add_all(&mut assembly, &parts[..2]), None);
    assembly.expire(NOW + PATIENCE / 2);
    assert!(!assembly.is_empty());
    assembly.expire(NOW + PATIENCE);
    assert!(assembly.is_empty());
}

/// Guards against ROUTE (review 15): a list without accounts that other hosts take for none, which lets everybody in.
/// A build that knows only lists of accounts reads an account without a key.
#[test]
fn lists_of_accounts_stay_what_they_are_between_hosts() {
    let catalog::Accounts::Keyed(some) = content(1, 2).accounts else {
        panic!("accounts");
    };
    for accounts in [
        catalog::Accounts::Open,
        catalog::Accounts::Keyed(Vec::new()),
        catalog::Accounts::Keyed(some.clone()),
    ] {
        let mut decoder = codec::Decoder::new();
        decoder.extend(&codec::encode(&accounts).expect("a message"));
        let read: Option<catalog::Accounts> = decoder.take().expect("accounts");
        assert_eq!(read, Some(accounts));
    }
    let empty = codec::encode(&catalog::Accounts::Keyed(Vec::new())).expect("a message");
    let mut decoder = codec::Decoder::new();
    decoder.extend(&empty);
    let read: Option<Vec<catalog::Account>> = decoder.take().expect("a list");
    let read = read.expect("all of it");
    assert_eq!((read.len(), read[0].key_digests.len()), (1, 0));
    let listed = codec::encode(&some).expect("a message");
    let keyed = codec::encode(&catalog::Accounts::Keyed(some)).expect("a message");
    assert_eq!(listed, keyed);
}
