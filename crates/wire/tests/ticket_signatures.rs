//! Tickets and connection proofs are valid only under a shared key.

use proptest::{prelude::*, test_runner::RngSeed};
use wire::{
    frame::{Hello, Role, VERSION},
    id::{Incarnation, Job},
    proof::{Keyring, constant_time_eq},
};

/// Generates the same cases in every run.
fn fixed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn job() -> Job {
    Job {
        home: Incarnation(0xfeed),
        sequence: 7,
        expires: 1_800_000_000,
    }
}

fn hello(role: Role, incarnation: u64) -> Hello {
    Hello {
        version: VERSION,
        role,
        name: "a".to_owned(),
        incarnation: Incarnation(incarnation),
        domain: "d".to_owned(),
        rack: String::new(),
        address: String::new(),
        processor: 0,
        number: 0,
        nonce: 0,
    }
}

#[test]
fn own_ticket_accepted() {
    let keys = Keyring::new("key-one-key-one-", None);
    assert_eq!(keys.verify_ticket(&keys.sign_ticket(job())), Some(job()));
}

#[test]
fn foreign_ticket_refused() {
    let theirs = Keyring::new("key-two-key-two-", None);
    let ours = Keyring::new("key-one-key-one-", None);
    assert_eq!(ours.verify_ticket(&theirs.sign_ticket(job())), None);
}

#[test]
fn key_change_overlaps() {
    let old = Keyring::new("key-one-key-one-", None);
    let new = Keyring::new("key-two-key-two-", Some("key-one-key-one-"));
    assert_eq!(new.verify_ticket(&old.sign_ticket(job())), Some(job()));
    assert_eq!(old.verify_ticket(&new.sign_ticket(job())), None);
}

#[test]
fn proof_binds_sender() {
    let keys = Keyring::new("key-one-key-one-", None);
    let mac = keys.sign_link(Role::Side, Incarnation(1), 99);
    assert!(keys.verify_link(&hello(Role::Side, 1), 99, &mac));
    assert!(!keys.verify_link(&hello(Role::Side, 1), 98, &mac));
    assert!(!keys.verify_link(&hello(Role::Side, 2), 99, &mac));
    assert!(!keys.verify_link(&hello(Role::Entry, 1), 99, &mac));
}

#[test]
fn secrets_compared() {
    assert!(constant_time_eq("token", "token"));
    assert!(!constant_time_eq("token", "tokem"));
    assert!(!constant_time_eq("", "token"));
}

#[test]
fn ticket_text_unique() {
    let keys = Keyring::new("key-one-key-one-", None);
    // An authentication code that starts with a zero digit, which a sign could
    // replace if the parser accepted one.
    let text = (0..100)
        .map(|sequence| keys.sign_ticket(Job { sequence, ..job() }))
        .find(|text| text.split_once('.').unwrap().1.starts_with('0'))
        .unwrap();
    let with_sign = text.replacen(".0", ".+", 1);
    assert!(keys.verify_ticket(&text).is_some());
    assert_eq!(keys.verify_ticket(&with_sign), None);
    assert_eq!(keys.verify_ticket(&text.to_uppercase()), None);
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn altered_ticket_refused(position in any::<prop::sample::Index>(), byte in 0x20_u8..0x7f) {
        let keys = Keyring::new("key-one-key-one-", None);
        let text = keys.sign_ticket(job());
        let mut altered = text.clone().into_bytes();
        let position = position.index(altered.len());
        altered[position] = byte;
        let altered = String::from_utf8(altered).unwrap();
        prop_assume!(altered != text);
        prop_assert_eq!(keys.verify_ticket(&altered), None);
    }

    #[test]
    fn arbitrary_text_refused(text in ".{0,80}") {
        let keys = Keyring::new("key-one-key-one-", None);
        prop_assert_eq!(keys.verify_ticket(&text), None);
    }

    #[test]
    fn identifier_round_trip(home in any::<u64>(), sequence in any::<u64>(), expires in any::<u64>()) {
        let job = Job { home: Incarnation(home), sequence, expires };
        prop_assert_eq!(job.to_string().parse::<Job>().unwrap(), job);
    }
}
