//! Tests of flow tables, the directory, searches, the cache and packet parsing.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyssopdyke::connection::{
    self, Cache, Directory, Event, Flow, Miss, Offer, Openings, Protocol, Question, Record,
    Searches, Step, Table,
};
use hyssopdyke::request::{Packet, ParseError, Reset, Segment};
use hyssopdyke_wire::datagram;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CLASSES: [connection::Class; 3] =
    [connection::Class::Stream, connection::Class::Request, connection::Class::Exchange];

const SECOND: Duration = Duration::from_secs(1);

fn flow(port: u16) -> Flow {
    Flow {
        protocol: Protocol::Tcp,
        caller: ([10, 0, 0, 1], port).into(),
        service: ([10, 1, 0, 1], 80).into(),
    }
}

fn segment(sequence: u32, acknowledgement: Option<u32>, flags: &str, length: u32) -> Segment {
    Segment {
        sequence,
        acknowledgement,
        syn: flags.contains('S'),
        fin: flags.contains('F'),
        rst: flags.contains('R'),
        length,
    }
}

/// Creates a table with one established flow that has sent a request. The initial sequence numbers
/// are 100 and 500.
fn requested(start: Instant) -> Table {
    let mut table = Table::new();
    table.insert(flow(1), connection::State::new(100, start, connection::Class::Request));
    assert!(table.inbound(&flow(1), Some(&segment(100, None, "S", 0)), start));
    let event = table.outbound(&flow(1), Some(&segment(500, Some(101), "S", 0)), start + SECOND);
    assert_eq!(event, Some(Some(Event::Opened(SECOND))));
    table.inbound(&flow(1), Some(&segment(101, Some(501), "", 10)), start + SECOND);
    table
}

#[test]
fn table_request_ends() {
    let start = Instant::now();
    let mut table = requested(start);
    assert_eq!((table.connections(), table.slots()), (1, 1));
    let fin = segment(501, Some(111), "F", 20);
    let event = table.outbound(&flow(1), Some(&fin), start + 3 * SECOND);
    assert_eq!(event, Some(Some(Event::Answered(2 * SECOND))));
    assert_eq!((table.connections(), table.slots()), (1, 0));
    table.inbound(&flow(1), Some(&segment(111, Some(522), "F", 0)), start + 3 * SECOND);
    assert_eq!(table.connections(), 1, "closed before the caller's FIN was acknowledged");
    table.outbound(&flow(1), Some(&segment(522, Some(112), "", 0)), start + 3 * SECOND);
    assert_eq!(table.connections(), 0);
    assert_eq!(table.expired_flows(start + 5 * SECOND, 5 * SECOND, SECOND), []);
    assert_eq!(table.expired_flows(start + 8 * SECOND, 5 * SECOND, SECOND), [flow(1)]);
}

#[test]
fn table_resets() {
    let start = Instant::now();
    let mut table = requested(start);
    let event = table.outbound(&flow(1), Some(&segment(501, None, "R", 0)), start);
    assert_eq!(event, Some(Some(Event::Failed)));
    assert_eq!((table.connections(), table.slots()), (0, 0));

    let mut table = requested(start);
    table.inbound(&flow(1), Some(&segment(9999, None, "R", 0)), start);
    assert_eq!(table.connections(), 1, "a reset with a wrong sequence number was accepted");
    table.inbound(&flow(1), Some(&segment(111, None, "R", 0)), start);
    assert_eq!(table.connections(), 0);
}

#[test]
fn table_resets_unacknowledged() {
    let start = Instant::now();
    let mut table = requested(start);
    table.outbound(&flow(1), Some(&segment(501, Some(111), "", 20)), start);
    let resets = table.resets(&flow(1));
    let sequence = |reset: Option<Reset>| {
        let bytes = reset.unwrap().encode();
        Packet::parse(&bytes).unwrap().segment.unwrap().sequence
    };
    // The caller has received the 20 bytes, but its acknowledgement was not seen.
    assert_eq!((sequence(resets.upstream), sequence(resets.caller)), (111, 521));
}

#[test]
fn table_silence() {
    let start = Instant::now();
    let mut table = requested(start);
    let last_seen = start + SECOND;
    assert_eq!(table.probe_candidates(last_seen + 9 * SECOND, 10 * SECOND, SECOND), []);
    let late = last_seen + 10 * SECOND;
    for probes in 0..3 {
        let now = late + SECOND * probes;
        assert_eq!(table.probe_candidates(now, 10 * SECOND, SECOND), [(flow(1), probes)]);
        let probe = table.probe(&flow(1), now).unwrap();
        assert_eq!(probe.upstream.map(|p| (p.sequence, p.acknowledgement)), Some((111, 501)));
        assert_eq!(probe.caller.map(|p| (p.sequence, p.acknowledgement)), Some((501, 111)));
    }
    // The flow is still probed if only one end answers.
    let now = late + 5 * SECOND;
    table.outbound(&flow(1), Some(&segment(501, Some(111), "", 0)), now);
    assert_eq!(table.probe_candidates(now, 10 * SECOND, SECOND), [(flow(1), 3)]);
    table.inbound(&flow(1), Some(&segment(111, Some(501), "", 0)), now);
    assert_eq!(table.probe_candidates(now, 10 * SECOND, SECOND), []);
}

#[test]
fn table_adopted() {
    let start = Instant::now();
    let mut table = Table::new();
    table.insert(flow(1), connection::State::adopted(100, start, connection::Class::Request));
    assert_eq!(table.unverified_flows(), [flow(1)]);
    let probe = table.probe(&flow(1), start).unwrap();
    assert_eq!(probe.upstream.map(|probe| probe.sequence), Some(101));
    assert_eq!(probe.caller, None);
    let event = table.outbound(&flow(1), Some(&segment(0, None, "R", 0)), start);
    assert_eq!(event, Some(None), "a flow that had ended before was counted as a failure");
    assert_eq!((table.slots(), table.unverified_flows()), (0, vec![]));
}

#[test]
fn table_adopted_while_opening() {
    // The caller's acknowledgement of the handshake was lost with the former process. The upstream
    // answers the probe with a reset, and continues once the caller sends more.
    let start = Instant::now();
    let mut table = Table::new();
    for port in [1, 2] {
        let state = connection::State::adopted(100, start, connection::Class::Request);
        table.insert(flow(port), state);
        table.outbound(&flow(port), Some(&segment(0, None, "R", 0)), start);
        assert!(!table.get(&flow(port)).unwrap().is_closed(), "closed although it may continue");
    }
    table.inbound(&flow(1), Some(&segment(101, Some(501), "", 10)), start + SECOND);
    table.outbound(&flow(1), Some(&segment(501, Some(111), "", 10)), start + SECOND);
    assert_eq!(table.expired_flows(start + 5 * SECOND, 5 * SECOND, 9 * SECOND), [flow(2)]);
    // A reset in answer to the caller's packet as well is not a failure of the upstream.
    table.inbound(&flow(2), Some(&segment(101, Some(501), "", 10)), start + SECOND);
    let event = table.outbound(&flow(2), Some(&segment(501, None, "R", 0)), start + SECOND);
    assert_eq!(event, Some(None));
    assert!(table.get(&flow(2)).unwrap().is_closed());
}

#[test]
fn table_counts_match() {
    // After any sequence of packets, the counts match the flows in the table.
    for seed in 1..200_u64 {
        arbtest::arbtest(|source| {
            let start = Instant::now();
            let mut table = Table::new();
            for step in 0..source.int_in_range(1..=120)? {
                let flow = flow(source.int_in_range(1..=4)?);
                let now = start + SECOND * step;
                let flags = source.choose(&["S", "F", "R", "", "SF"])?;
                let acknowledgement = source.arbitrary::<Option<u8>>()?.map(u32::from);
                let sequence = u32::from(source.arbitrary::<u8>()?);
                let segment = segment(sequence, acknowledgement, flags, 3);
                match source.int_in_range(0..=4)? {
                    0 => table
                        .insert(flow, connection::State::new(1, now, *source.choose(&CLASSES)?)),
                    1 => drop(table.remove(&flow)),
                    2 => drop(table.inbound(&flow, Some(&segment), now)),
                    3 => drop(table.outbound(&flow, Some(&segment), now)),
                    _ => table.close(&flow, now),
                }
                let open = table.iter().filter(|(_, c)| !c.is_closed()).count();
                let slots = table.iter().filter(|(_, c)| c.has_slot()).count();
                let counts = (table.connections() as usize, table.slots() as usize);
                assert_eq!(counts, (open, slots));
            }
            Ok(())
        })
        .seed((seed << 32) | 0x800);
    }
}

#[test]
fn directory_second_owner() {
    let mut directory = Directory::new();
    assert_eq!(directory.record_owner(flow(1), 7, 100), None);
    assert_eq!(directory.record_owner(flow(1), 8, 100), Some(7), "the first owner stays");
    directory.remove_owned(&flow(1), 8, None);
    directory.remove_owned(&flow(1), 7, Some(99));
    assert_eq!(directory.len(), 1, "removed for another owner or sequence number");
    let now = Instant::now();
    directory.mark_absent(now, |vm| vm != 7);
    assert_eq!(directory.record_owner(flow(1), 8, 100), None, "an absent owner kept the flow");
    directory.mark_absent(now, |vm| vm != 8);
    directory.expire_absent(now + SECOND, 2 * SECOND);
    assert_eq!(directory.len(), 1);
    directory.expire_absent(now + 2 * SECOND, 2 * SECOND);
    assert!(directory.is_empty());
}

#[test]
fn directory_offers() {
    let now = Instant::now();
    let mut directory = Directory::new();
    let offer =
        Offer { candidate: Some(1), ..Offer::new(Bytes::from_static(b"x"), "a".into(), 4, now) };
    directory.insert_offer(flow(1), offer.clone());
    assert_eq!(directory.offered_flows(), [flow(1)]);
    directory.remove_owned(&flow(1), 1, None);
    assert_eq!(directory.offer_mut(&flow(1)), Some(&mut offer.clone()));
    directory.record_owner(flow(1), 1, 5);
    assert_eq!(directory.offered_flows(), []);
}

#[test]
fn cache_bounded() {
    let mut cache = Cache::new(100);
    for flow in 0..10_000 {
        cache.insert(flow, 1);
        assert!(cache.len() <= 101, "{}", cache.len());
        assert_eq!(cache.owner(0), Some((1, false)), "a line in use was evicted");
    }
    cache.remove(0);
    assert_eq!(cache.owner(0), None);
}

#[test]
fn cache_confirmed() {
    // Several members have accepted a flow. Late notices of the others replaced the one that the caller
    // has confirmed.
    let mut cache = Cache::new(100);
    cache.insert(1, 7);
    cache.confirm(1, 8);
    cache.insert(1, 7);
    assert_eq!(cache.owner(1), Some((8, true)));
    // A new flow between the same endpoints.
    cache.reopen(1);
    cache.insert(1, 7);
    assert_eq!(cache.owner(1), Some((7, false)));
}

#[test]
fn cache_repeated() {
    let mut cache = Cache::new(100);
    assert!(!cache.record_sequence(1, 5), "a flow that is not cached");
    cache.insert(1, 7);
    assert!(!cache.record_sequence(1, 5));
    assert!(cache.record_sequence(1, 5));
    assert!(!cache.record_sequence(1, 6));
    assert!(!cache.record_sequence(1, 5), "an older packet counted as a copy of the last one");
}

fn tcp(flags: fn(etherparse::PacketBuilderStep<etherparse::TcpHeader>) -> Vec<u8>) -> Vec<u8> {
    let ip = etherparse::PacketBuilder::ipv4([10, 0, 0, 1], [10, 1, 0, 1], 9);
    flags(ip.tcp(5, 80, 100, 9))
}

fn written(builder: etherparse::PacketBuilderStep<etherparse::TcpHeader>) -> Vec<u8> {
    let mut bytes = Vec::new();
    builder.write(&mut bytes, b"abc").unwrap();
    bytes
}

#[test]
fn parse_roundtrip() {
    let syn = Packet::parse(&tcp(|builder| written(builder.syn()))).unwrap();
    assert_eq!(syn.inbound_flow(), flow(5));
    assert!(syn.segment.unwrap().is_opening());
    assert_eq!(syn.segment.unwrap().next(), 104);
    let reset = Packet::parse(&Reset::reply_to(&syn).unwrap().encode()).unwrap();
    assert_eq!(reset.outbound_flow(), flow(5));
    let segment = reset.segment.unwrap();
    assert!(segment.rst && segment.acknowledgement == Some(104));
    let middle = Packet::parse(&tcp(|builder| written(builder.ack(77)))).unwrap();
    let reset = Packet::parse(&Reset::reply_to(&middle).unwrap().encode()).unwrap();
    assert_eq!(reset.segment.map(|s| (s.rst, s.sequence)), Some((true, 77)));
    assert_eq!(Reset::reply_to(&reset), None, "a reset was answered by a reset");
}

#[test]
fn parse_malformed() {
    let whole = tcp(|builder| written(builder.syn()));
    for length in 0..whole.len() {
        assert_eq!(Packet::parse(&whole[..length]), Err(ParseError::Malformed), "{length} bytes");
    }
    let mut fragment = whole.clone();
    fragment[6] |= 0x20;
    assert_eq!(Packet::parse(&fragment), Err(ParseError::Fragment));
    for seed in 1..500_u64 {
        arbtest::arbtest(|source| {
            let bytes: Vec<u8> = source.arbitrary()?;
            // Any input is parsed or rejected without a panic.
            let _ = Packet::parse(&bytes);
            Ok(())
        })
        .seed((seed << 32) | 0x100);
    }
}

#[test]
fn table_exchange() {
    // A caller sends two requests on one flow. Each takes a slot until its answer begins.
    let start = Instant::now();
    let mut table = Table::new();
    table.insert(flow(1), connection::State::new(100, start, connection::Class::Exchange));
    assert_eq!(table.slots(), 1, "a new flow must take a slot for its first request");
    table.inbound(&flow(1), Some(&segment(100, None, "S", 0)), start);
    table.outbound(&flow(1), Some(&segment(500, Some(101), "S", 0)), start);
    table.inbound(&flow(1), Some(&segment(101, Some(501), "", 10)), start);
    let answer = segment(501, Some(111), "", 20);
    let event = table.outbound(&flow(1), Some(&answer), start + SECOND);
    assert_eq!(event, Some(Some(Event::Answered(SECOND))));
    assert_eq!(table.slots(), 0);
    table.inbound(&flow(1), Some(&segment(111, Some(521), "", 0)), start + SECOND);
    assert_eq!(table.slots(), 0, "an acknowledgement was counted as a request");
    table.inbound(&flow(1), Some(&segment(111, Some(521), "", 10)), start + 2 * SECOND);
    assert_eq!(table.slots(), 1);
    let event = table.outbound(&flow(1), Some(&segment(521, Some(121), "", 0)), start + 2 * SECOND);
    assert_eq!((event, table.slots()), (Some(None), 1), "an acknowledgement ended the request");
    let answer = segment(521, Some(121), "", 20);
    let event = table.outbound(&flow(1), Some(&answer), start + 5 * SECOND);
    assert_eq!(event, Some(Some(Event::Answered(3 * SECOND))));
    table.inbound(&flow(1), Some(&segment(121, Some(541), "", 10)), start + 6 * SECOND);
    table.outbound(&flow(1), Some(&segment(541, None, "R", 0)), start + 6 * SECOND);
    assert_eq!((table.slots(), table.connections()), (0, 0));
}

#[test]
fn state_second_opening() {
    // A first packet has reached two upstreams, and both have answered. The caller's next packet
    // belongs to the upstream whose sequence number it acknowledges.
    let start = Instant::now();
    let mut table = Table::new();
    table.insert(flow(1), connection::State::new(100, start, connection::Class::Exchange));
    table.inbound(&flow(1), Some(&segment(100, None, "S", 0)), start);
    table.outbound(&flow(1), Some(&segment(500, Some(101), "S", 0)), start);
    let accepts = |table: &Table, number| {
        table.get(&flow(1)).unwrap().accepts(&segment(101, Some(number), "", 10))
    };
    assert!(accepts(&table, 501));
    assert!(!accepts(&table, 901), "a packet to another upstream was accepted");
    table.inbound(&flow(1), Some(&segment(101, Some(501), "", 10)), start);
    assert!(accepts(&table, 480), "a late acknowledgement of a confirmed flow was rejected");
}

#[test]
fn directory_acceptance() {
    // Several members accept a flow. The first one is on record until the caller confirms another.
    let mut directory = Directory::new();
    assert_eq!(directory.record_acceptance(flow(1), 7, 100), None);
    assert_eq!(directory.record_acceptance(flow(1), 8, 100), Some(7));
    assert_eq!(directory.record_owner(flow(1), 8, 100), None, "the caller uses this one");
    assert_eq!(directory.record_acceptance(flow(1), 7, 100), Some(8));
    // A late acceptance does not replace the owner, nor while it restarts.
    assert_eq!(directory.record_acceptance(flow(1), 8, 100), None);
    directory.mark_absent(Instant::now(), |vm| vm != 8);
    assert_eq!(directory.record_acceptance(flow(1), 7, 100), Some(8));
    assert!(matches!(
        directory.get(&flow(1)),
        Some(Record::Owned { owner: 8, is_confirmed: true, absent_since: Some(_), .. })
    ));
    // A new flow between the same endpoints.
    assert_eq!(directory.record_acceptance(flow(1), 7, 200), None);
    assert_eq!(directory.record_acceptance(flow(2), 7, 100), None);
    directory.mark_absent(Instant::now(), |vm| vm != 7);
    assert_eq!(
        directory.record_acceptance(flow(2), 8, 100),
        None,
        "it may never have had the flow"
    );
}

#[test]
fn directory_confirmed() {
    // Two members have accepted a flow and the first is recorded, but the caller continues with the
    // other.
    let mut directory = Directory::new();
    assert_eq!(directory.record_owner(flow(1), 7, 100), None);
    assert_eq!(directory.record_owner(flow(1), 8, 100), Some(7));
    directory.confirm_owner(flow(1), 8, 100);
    assert_eq!(directory.record_owner(flow(1), 8, 100), None);
    assert_eq!(directory.record_owner(flow(1), 7, 100), Some(8));
}

/// Starts a search for flow 1.
fn search(searches: &mut Searches, members: &[u64], now: Instant) -> bool {
    searches.start(flow(1), Bytes::from_static(b"packet"), members, now)
}

fn question(members: &[u64]) -> Question {
    let packet = Bytes::from_static(b"packet");
    Question { flow: flow(1), packet, members: members.to_vec() }
}

#[test]
fn searches_all_miss() {
    let start = Instant::now();
    let mut searches = Searches::new();
    let certain = |searches: &mut Searches, flow, member, at| {
        searches.record_miss(&flow, member, Miss::Certain, at)
    };
    assert!(search(&mut searches, &[1, 2], start));
    assert!(!search(&mut searches, &[1, 2], start), "two searches for a flow run concurrently");
    assert_eq!(certain(&mut searches, flow(1), 1, start), Step::Wait);
    assert_eq!(certain(&mut searches, flow(1), 1, start), Step::Wait, "an answer counted twice");
    assert_eq!(certain(&mut searches, flow(2), 2, start), Step::Wait);
    assert_eq!(certain(&mut searches, flow(1), 2, start), Step::NotFound);
    assert_eq!(certain(&mut searches, flow(1), 2, start), Step::Wait);
    assert!(search(&mut searches, &[1], start + SECOND), "a flow cannot be searched again");
    let late = certain(&mut searches, flow(1), 1, start + 2 * SECOND);
    assert_eq!(late, Step::Wait, "a late answer was counted");
}

#[test]
fn searches_found() {
    let start = Instant::now();
    let mut searches = Searches::new();
    search(&mut searches, &[1, 2], start);
    searches.record_miss(&flow(1), 1, Miss::Certain, start);
    searches.finish(&flow(1));
    let step = searches.record_miss(&flow(1), 2, Miss::Certain, start);
    assert_eq!(step, Step::Wait, "a flow that was found counted as missing");
}

#[test]
fn searches_ask_upstreams_last() {
    // A search sent the packet of an open flow to every upstream that might hold it, while other
    // members had the flow on record.
    let start = Instant::now();
    let mut searches = Searches::new();
    search(&mut searches, &[1, 2, 3], start);
    assert_eq!(searches.record_miss(&flow(1), 1, Miss::Unsure, start), Step::Wait);
    assert_eq!(searches.record_miss(&flow(1), 2, Miss::Certain, start), Step::Wait);
    assert!(searches.take_overdue(start).is_empty());
    let step = searches.record_miss(&flow(1), 3, Miss::Unsure, start);
    assert_eq!(step, Step::Ask(question(&[1, 3])));
    assert!(searches.take_overdue(start + SECOND / 2).is_empty(), "asked twice");
    assert_eq!(searches.record_miss(&flow(1), 3, Miss::Certain, start), Step::Wait);
    assert_eq!(searches.record_miss(&flow(1), 1, Miss::Certain, start), Step::NotFound);
}

#[test]
fn searches_silent_member() {
    // A member that does not answer delays the second step, but nobody is told that the flow does not
    // exist.
    let start = Instant::now();
    let mut searches = Searches::new();
    search(&mut searches, &[1, 2], start);
    assert_eq!(searches.record_miss(&flow(1), 1, Miss::Unsure, start), Step::Wait);
    let later = start + SECOND * 2 / 5;
    assert_eq!(searches.take_overdue(later), [question(&[1])]);
    assert_eq!(searches.record_miss(&flow(1), 1, Miss::Certain, later), Step::Wait);
    assert_eq!(searches.record_miss(&flow(1), 2, Miss::Certain, later), Step::Wait);
}

#[test]
fn table_unconfirmed() {
    // A first packet has reached two upstreams, and the caller continues with the other one. The
    // slot at this upstream must be released.
    let start = Instant::now();
    let mut table = Table::new();
    for port in [1, 2] {
        let state = connection::State::new(100, start, connection::Class::Exchange);
        table.insert(flow(port), state);
        table.inbound(&flow(port), Some(&segment(100, None, "S", 0)), start);
        table.outbound(&flow(port), Some(&segment(500, Some(101), "S", 0)), start);
    }
    table.inbound(&flow(2), Some(&segment(101, Some(501), "", 10)), start);
    assert_eq!(table.slots(), 2);
    table.release_unconfirmed(&flow(1));
    table.release_unconfirmed(&flow(2));
    assert_eq!(table.slots(), 1);
    assert_eq!(table.unconfirmed_flows(start + SECOND, 2 * SECOND), []);
    assert_eq!(table.unconfirmed_flows(start + 2 * SECOND, 2 * SECOND), [flow(1)]);
    // A caller that continues late takes a slot again.
    table.inbound(&flow(1), Some(&segment(101, Some(501), "", 10)), start + SECOND);
    assert_eq!(table.slots(), 2);
}

#[test]
fn openings_waiting_and_crossed() {
    let start = Instant::now();
    let interval = Duration::from_millis(200);
    let mut openings = Openings::new();
    assert!(!openings.is_handled(1, interval, start), "no notice has come");
    openings.record(1, false, start);
    assert!(openings.is_handled(1, interval, start + interval / 2), "the answer crossed the copy");
    assert!(!openings.is_handled(1, interval, start + interval), "the owner does not answer");
    openings.record(1, true, start);
    assert!(openings.is_handled(1, interval, start + 3 * interval), "the flow waits");
    openings.expire(start + 20 * interval);
    assert!(!openings.is_handled(1, interval, start + 20 * interval));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any bytes after any header of an IP packet are malformed, or a packet whose reset, if it has one,
    /// is not answered.
    #[test]
    fn parse_any_packet(
        version in any::<u8>(),
        protocol in prop_oneof![Just(6), Just(17), any::<u8>()],
        mut bytes in prop::collection::vec(any::<u8>(), 0..120),
    ) {
        if bytes.len() > 9 {
            bytes[0] = if version < 200 { 0x45 } else { version };
            bytes[9] = protocol;
        }
        if let Ok(packet) = Packet::parse(&bytes)
            && let Some(reset) = Reset::reply_to(&packet)
        {
            let reset = Packet::parse(&reset.encode()).unwrap();
            prop_assert_eq!(reset.destination, packet.source);
            prop_assert!(Reset::reply_to(&reset).is_none());
        }
    }

    /// A flow in a message is one, or an error that says what was found.
    #[test]
    fn flow_any_message(
        protocol in prop_oneof![0..4_u32, any::<u32>()],
        caller in prop::collection::vec(any::<u8>(), 0..18),
        service in prop_oneof![prop::collection::vec(any::<u8>(), 4), prop::collection::vec(any::<u8>(), 16)],
        ports in (any::<u32>(), 65_530..65_540_u32),
    ) {
        let message = datagram::Flow {
            protocol,
            caller: caller.into(),
            caller_port: ports.0,
            service: service.into(),
            service_port: ports.1,
        };
        match Flow::try_from(&message) {
            Ok(flow) => prop_assert_eq!(datagram::Flow::from(flow), message),
            Err(error) => prop_assert!(error.to_string().contains("expected"), "{error}"),
        }
    }
}
