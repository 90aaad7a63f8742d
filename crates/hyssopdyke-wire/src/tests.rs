use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

use crate::datagram::{Datagram, Ping, datagram::Body};
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
