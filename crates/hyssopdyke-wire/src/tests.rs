use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};

use crate::datagram::{Datagram, Ping, Report, datagram::Body};
use crate::ledger::{self, Append, Batch, Entry, Snapshot};
use crate::range::{Check, MAX_COUNT};
use crate::resource::{self, Page, Resource, Upstream};
use crate::session::{Frame, Granted, Renew, frame};
use crate::{Codec, Error, Key, Purpose, TAG_BYTES};

fn key() -> Key {
    Key::derive("test", Purpose::Datagram)
}

fn sample() -> Datagram {
    Datagram { revision: 3, body: Some(Body::Ping(Ping { nonce: 9, load: None })) }
}

fn sealed() -> Bytes {
    let mut buffer = BytesMut::new();
    key().seal(&sample(), &mut buffer);
    buffer.freeze()
}

#[test]
fn open_sealed() {
    assert_eq!(key().open::<Datagram>(sealed()).unwrap(), sample());
}

#[test]
fn open_truncated() {
    for length in 0..sealed().len() {
        let error = key().open::<Datagram>(sealed().slice(..length)).unwrap_err();
        match error {
            Error::Truncated(seen) => assert!(seen == length && length < TAG_BYTES),
            Error::InvalidTag => assert!(length >= TAG_BYTES),
            other => panic!("{other}"),
        }
    }
}

#[test]
fn open_flipped() {
    for bit in 0..sealed().len() * 8 {
        let mut bytes = sealed().to_vec();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert!(matches!(key().open::<Datagram>(bytes.into()), Err(Error::InvalidTag)));
    }
}

#[test]
fn open_other_purpose() {
    let session = Key::derive("test", Purpose::Session);
    assert!(matches!(session.open::<Datagram>(sealed()), Err(Error::InvalidTag)));
}

#[test]
fn decode_random() {
    for seed in 1..500_u64 {
        arbtest::arbtest(|source| {
            let bytes: Vec<u8> = source.arbitrary()?;
            let mut codec = Codec::<Datagram>::new(key());
            let mut buffer = BytesMut::from(&bytes[..]);
            // Random bytes never decode to a message: they are incomplete or rejected.
            assert!(!matches!(codec.decode(&mut buffer), Ok(Some(_))));
            Ok(())
        })
        .seed((seed << 32) | 0x100);
    }
}

#[test]
fn decode_split() {
    let mut whole = BytesMut::new();
    let mut codec = Codec::<Datagram>::new(key());
    codec.encode(sample(), &mut whole).unwrap();
    let mut buffer = BytesMut::new();
    let mut decoded = None;
    for byte in whole {
        assert!(decoded.is_none());
        buffer.extend_from_slice(&[byte]);
        decoded = codec.decode(&mut buffer).unwrap();
    }
    assert_eq!(decoded, Some(sample()));
}

#[test]
fn decode_oversized() {
    let mut buffer = BytesMut::from(&u32::MAX.to_be_bytes()[..]);
    assert!(matches!(Codec::<Datagram>::new(key()).decode(&mut buffer), Err(Error::Io(_))));
}

/// Any number of a counter, often at the end of its range.
fn any_count() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(MAX_COUNT),
        Just(MAX_COUNT + 1),
        Just(u64::MAX),
        0..9_u64,
        any::<u64>()
    ]
}

/// Returns whether a message comes through only if its numbers are in their ranges.
fn is_held<M: Message + Default + Check + PartialEq>(message: &M) -> bool {
    let mut buffer = BytesMut::new();
    key().seal(message, &mut buffer);
    match (message.check(), key().open::<M>(buffer.freeze())) {
        (Ok(()), Ok(opened)) => opened == *message,
        (Err(expected), Err(Error::Range(found))) => expected == found,
        _ => false,
    }
}

fn resource(revision: u64, count: u64) -> Resource {
    let upstream = Upstream { incarnation: count, ..Upstream::default() };
    let body = Some(resource::resource::Body::Upstream(upstream));
    Resource { revision, generation: count, body, ..Resource::default() }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn open_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let bytes = Bytes::from(bytes);
        prop_assert!(key().open::<Datagram>(bytes.clone()).is_err());
        for held in [
            Datagram::decode(bytes.clone()).is_ok_and(|message| !is_held(&message)),
            Frame::decode(bytes.clone()).is_ok_and(|message| !is_held(&message)),
            ledger::Message::decode(bytes.clone()).is_ok_and(|message| !is_held(&message)),
            Snapshot::decode(bytes.clone()).is_ok_and(|message| !is_held(&message)),
            Batch::decode(bytes.clone()).is_ok_and(|message| !is_held(&message)),
        ] {
            prop_assert!(!held);
        }
    }

    #[test]
    fn open_any_counts(
        counts in prop::array::uniform5(any_count()),
        parts in (any::<u32>(), any::<u32>()),
        indexes in prop::collection::vec((any_count(), any_count()), 0..4),
    ) {
        let [first, second, third, fourth, fifth] = counts;
        let page = Page {
            after: second,
            upto: third,
            resources: vec![resource(fourth, fifth)],
            ..Page::default()
        };
        let report = Report { sequence: second, epoch: third, part: parts.0, parts: parts.1, ..Report::default() };
        for body in [Body::Page(page.clone()), Body::Report(report)] {
            let message = Datagram { revision: first, body: Some(body) };
            prop_assert!(is_held(&message));
        }
        let renew = Renew { sequence: first, revision: second, usage: None };
        let granted = Granted { sequence: first, revision: second, ..Granted::default() };
        for body in [frame::Body::Page(page), frame::Body::Renew(renew), frame::Body::Granted(granted)] {
            let message = Frame { body: Some(body) };
            prop_assert!(is_held(&message));
        }
        let entries: Vec<Entry> =
            indexes.iter().map(|(index, term)| Entry { index: *index, term: *term, command: None }).collect();
        let append = Append {
            term: first,
            previous_index: second,
            previous_term: third,
            commit: fourth,
            round: fifth,
            entries: entries.clone(),
        };
        let next = |at: usize| second.checked_add(at as u64 + 1);
        let is_contiguous = entries.iter().enumerate().all(|(at, entry)| Some(entry.index) == next(at));
        prop_assert!(append.check().is_err() || is_contiguous);
        let body = Some(ledger::message::Body::Append(append));
        let message = ledger::Message { body, ..ledger::Message::default() };
        prop_assert!(is_held(&message));
        let batch = Batch { previous: first, entries };
        prop_assert!(is_held(&batch));
        let snapshot = Snapshot {
            index: first,
            term: second,
            revision: third,
            floor: fourth,
            resources: vec![resource(fifth, first)],
            ..Snapshot::default()
        };
        prop_assert!(is_held(&snapshot));
    }
}

#[test]
fn open_out_of_range() {
    // A revision that is too high left no higher one to control: the copy was never updated again.
    let page = Page { upto: u64::MAX, complete: true, ..Page::default() };
    let message = Datagram { revision: 3, body: Some(Body::Page(page)) };
    let mut buffer = BytesMut::new();
    key().seal(&message, &mut buffer);
    let error = key().open::<Datagram>(buffer.freeze()).unwrap_err();
    let expected = "message out of range: page.upto: expected at most 9007199254740992, found 18446744073709551615";
    assert_eq!(error.to_string(), expected);
}
