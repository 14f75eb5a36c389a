//! Traffic about streams between hosts.

use pistachiochute_measure::{bounds, figure, streams};

fn value(readings: &[figure::Reading], name: &str) -> f64 {
    let reading = readings.iter().find(|reading| reading.name == name);
    reading.unwrap().value
}

#[test]
fn readings_are_the_same_in_each_run() {
    assert_eq!(streams::run().unwrap(), streams::run().unwrap());
}

#[test]
fn every_reading_has_a_bound() {
    let bounds = bounds::Bounds::load().unwrap();
    for reading in streams::run().unwrap() {
        let bound = bounds.names().find(|name| *name == reading.name);
        assert!(bound.is_some(), "{}", reading.name);
    }
}

#[test]
fn a_relay_receives_what_the_other_hosts_of_its_domain_send_it() {
    let readings = streams::run().unwrap();
    let relay = value(&readings, "origin_bytes_relay_received_s_420");
    let member = value(&readings, "origin_bytes_member_sent_s_420");
    // 52 hosts send each relay one of their two copies; the rest are acknowledgements of the
    // relay's own messages, on one link of 53.
    let copies = 52.0 * member / 2.0;
    assert!(relay >= copies, "{relay} {copies}");
    assert!(relay <= copies * 1.02, "{relay} {copies}");
}

#[test]
fn a_relay_holds_the_streams_of_its_domain_for_the_retention() {
    let readings = streams::run().unwrap();
    let records = value(&readings, "origin_records_relay_420");
    // 53 hosts of 10 streams a second for 60 s.
    let expected = 53.0 * 10.0 * 60.0;
    assert!((records / expected - 1.0).abs() < 0.03, "{records}");
}
