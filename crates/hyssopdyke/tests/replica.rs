//! Tests of stores and of copies that follow them page by page.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, VecDeque};

use hyssopdyke::version::{Cursor, Replica, Source, Store};
use hyssopdyke_wire::resource::{Domain, Kind, Page, Resource, resource::Body};

fn domain(name: &str, revision: u64, out: bool) -> Resource {
    let body = Some(Body::Domain(Domain { out }));
    Resource { name: name.into(), revision, generation: revision, body }
}

fn removed(name: &str, revision: u64) -> Resource {
    let body = Some(Body::Deleted(Kind::Domain as i32));
    Resource { name: name.into(), revision, generation: revision, body }
}

fn names(store: &Store) -> BTreeMap<String, u64> {
    store.list(Kind::Domain).map(|r| (r.name.clone(), r.revision)).collect()
}

/// Returns fixed seeds for the randomized tests; the low 32 bits are the size.
fn seeds() -> impl Iterator<Item = u64> {
    (1..200).map(|seed: u64| (seed << 32) | 0x200)
}

#[test]
fn apply_any_pages() {
    // A copy that applies pages of any size, at any time, ends up equal to the store.
    for seed in seeds() {
        arbtest::arbtest(|source| {
            let mut store = Store::new();
            let mut replica = Replica::new();
            for revision in 1..=source.int_in_range(1..=60)? {
                let name = format!("d{}", source.int_in_range(0..=8)?);
                let resource = if source.ratio(1, 4)? {
                    removed(&name, revision)
                } else {
                    domain(&name, revision, false)
                };
                store.put(resource);
                if source.ratio(1, 3)? {
                    let max_bytes = source.int_in_range(1..=60)?;
                    let before = replica.store().revision();
                    let page = store.changes_since(replica.cursor(Source::Control), max_bytes);
                    let has_moved = replica.apply(Source::Control, page).unwrap();
                    assert!(replica.store().revision() >= before);
                    assert_eq!(has_moved, replica.store().revision() > before);
                }
            }
            while replica.store().revision() < store.revision() {
                replica
                    .apply(
                        Source::Control,
                        store.changes_since(replica.cursor(Source::Control), 40),
                    )
                    .unwrap();
            }
            assert_eq!(names(replica.store()), names(&store));
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn apply_late_page() {
    let mut store = Store::new();
    store.put(domain("a", 1, false));
    let late = store.changes_since(Cursor::at(0), 1000);
    store.put(domain("a", 2, true));
    let mut replica = Replica::new();
    assert!(replica.apply(Source::Control, store.changes_since(Cursor::at(0), 1000)).unwrap());
    assert!(!replica.apply(Source::Control, late).unwrap());
    assert_eq!(names(replica.store()), [("a".into(), 2)].into());
}

#[test]
fn apply_gap() {
    let mut store = Store::new();
    store.put(domain("a", 1, false));
    store.put(domain("b", 2, false));
    let mut replica = Replica::new();
    assert!(replica.apply(Source::Control, store.changes_since(Cursor::at(1), 1000)).is_err());
    assert_eq!(replica.store().revision(), 0);
}

#[test]
fn changes_since_evicted_tombstones() {
    let mut store = Store::new();
    store.put(domain("kept", 1, false));
    let mut replica = Replica::new();
    replica.apply(Source::Control, store.changes_since(Cursor::at(0), 1000)).unwrap();
    for round in 0..6000 {
        store.put(domain("gone", 2 + round * 2, false));
        store.put(removed(&format!("gone{round}"), 3 + round * 2));
    }
    store.put(removed("kept", 20_000));
    let page = store.changes_since(replica.cursor(Source::Control), usize::MAX);
    assert!(page.reset, "a page without the evicted tombstones must reset the copy");
    replica.apply(Source::Control, page).unwrap();
    assert_eq!(names(replica.store()), names(&store));
}

/// Returns a store that has dropped tombstones, and whose first resources are below its floor.
fn store_with_floor() -> Store {
    let mut store = Store::new();
    for index in 0..200 {
        store.put(domain(&format!("first{index}"), index + 1, false));
    }
    for index in 0..5000 {
        store.put(removed(&format!("gone{index}"), 201 + index));
    }
    assert!(store.floor() > 200);
    store
}

/// Pulls pages of one sender until a copy has its state, and returns the number of pages.
fn catch_up(replica: &mut Replica, source: Source, store: &Store) -> usize {
    let mut pages = 0;
    while replica.store().revision() < store.revision() {
        let page = store.changes_since(replica.cursor(source), 1000);
        replica.apply(source, page).unwrap();
        pages += 1;
        assert!(pages < 10_000, "the copy does not catch up");
    }
    pages
}

/// A daemon that started below the floor of the tombstones got the first page again and again.
#[test]
fn catch_up_below_floor() {
    let store = store_with_floor();
    for source in [Source::Control, Source::Peers] {
        let mut replica = Replica::new();
        catch_up(&mut replica, source, &store);
        assert_eq!(names(replica.store()), names(&store));
        // The copy lacks the same tombstones, and must not update older copies without a reset.
        assert_eq!(replica.store().floor(), store.floor());
        assert!(replica.store().changes_since(Cursor::at(1), 1000).reset);
    }
}

/// A peer's page started the reset anew, and control's pages were dropped from then on.
#[test]
fn apply_control_beside_peers() {
    let store = store_with_floor();
    let mut replica = Replica::new();
    let (mut cursor, mut pages) = (Cursor::at(0), 0);
    while replica.store().revision() < store.revision() {
        let page = store.changes_since(cursor, 20_000);
        cursor = cursor.following(&page);
        replica.apply(Source::Control, page).unwrap();
        replica.apply(Source::Peers, store.changes_since(Cursor::at(0), 1000)).unwrap();
        pages += 1;
        assert!(pages < 1000, "the copy does not catch up");
    }
    assert_eq!(names(replica.store()), names(&store));
}

/// A reset that lasts while tombstones are dropped that its reader needs starts anew.
#[test]
fn changes_since_floor_passes_reset() {
    let mut store = store_with_floor();
    let first = store.changes_since(Cursor::at(0), 1000);
    let cursor = Cursor::at(0).following(&first);
    assert!(first.reset && !first.complete);
    assert!(!store.changes_since(cursor, 1000).reset);
    let revision = store.revision();
    for index in 0..5000 {
        store.put(removed(&format!("later{index}"), revision + 1 + index));
    }
    assert!(store.changes_since(cursor, 1000).reset, "resources of the first page may be deleted");
}

/// A copy was put together from pages of peers at different revisions, and lacked a resource.
#[test]
fn apply_pages_of_older_peer() {
    let older = store_with_floor();
    let mut newer = older.clone();
    let revision = older.revision();
    newer.put(domain("first199", revision + 1, true));
    let mut replica = Replica::new();
    let start = newer.changes_since(Cursor::at(0), 1000);
    replica.apply(Source::Peers, start).unwrap();
    while replica.store().revision() == 0 {
        let page = newer.changes_since(replica.cursor(Source::Peers), 1000);
        if replica.cursor(Source::Peers).after < 190 {
            replica.apply(Source::Peers, page).unwrap();
            continue;
        }
        let page = older.changes_since(replica.cursor(Source::Peers), usize::MAX);
        let before = replica.cursor(Source::Peers);
        assert!(replica.apply(Source::Peers, page).is_err());
        assert_eq!(replica.cursor(Source::Peers), before);
        break;
    }
    catch_up(&mut replica, Source::Peers, &newer);
    assert_eq!(names(replica.store()), names(&newer));
}

/// A sender whose session with the reader may be replaced, and whose pages arrive in order.
#[derive(Default)]
struct Session {
    cursor: Cursor,
    sent: VecDeque<Page>,
}

/// Whatever pages of control and peers arrive, in any order and with any losses, a copy is always in a
/// state that existed, and reaches the latest one.
#[test]
fn apply_any_sources() {
    let base = store_with_floor();
    for seed in seeds().take(100) {
        arbtest::arbtest(|source| {
            let mut store = base.clone();
            let mut history = BTreeMap::from([(store.revision(), names(&store))]);
            let mut peers = [Replica::new(), Replica::new()];
            catch_up(&mut peers[0], Source::Control, &store);
            let mut replica = Replica::new();
            let mut session = Session::default();
            let mut late: Vec<Page> = Vec::new();
            for _ in 0..source.int_in_range(20..=120)? {
                match source.int_in_range(0..=9)? {
                    0..=2 => {
                        let revision = store.revision() + 1;
                        let name = format!("first{}", source.int_in_range(0..=199)?);
                        store.put(if source.ratio(1, 2)? {
                            removed(&name, revision)
                        } else {
                            domain(&name, revision, true)
                        });
                        history.insert(revision, names(&store));
                    }
                    3 => {
                        let peer = source.int_in_range(0..=1_usize)?;
                        let cursor = peers[peer].cursor(Source::Control);
                        peers[peer]
                            .apply(Source::Control, store.changes_since(cursor, usize::MAX))
                            .unwrap();
                    }
                    4 => {
                        session = Session {
                            cursor: Cursor::at(replica.store().revision()),
                            ..Session::default()
                        };
                    }
                    5 | 6 => {
                        let page =
                            store.changes_since(session.cursor, source.int_in_range(500..=4000)?);
                        session.cursor = session.cursor.following(&page);
                        session.sent.push_back(page);
                    }
                    7 => {
                        if let Some(page) = session.sent.pop_front() {
                            replica.apply(Source::Control, page).unwrap();
                        }
                    }
                    _ => {
                        let peer = source.int_in_range(0..=1_usize)?;
                        let cursor = replica.cursor(Source::Peers);
                        let bytes = source.int_in_range(500..=4000)?;
                        late.push(peers[peer].store().changes_since(cursor, bytes));
                        let index = source.int_in_range(0..=late.len() - 1)?;
                        let page = if source.ratio(1, 3)? {
                            late[index].clone()
                        } else {
                            late.swap_remove(index)
                        };
                        let _ = replica.apply(Source::Peers, page);
                    }
                }
                let revision = replica.store().revision();
                if let Some(expected) = history.get(&revision) {
                    assert_eq!(names(replica.store()), *expected, "at revision {revision}");
                } else {
                    assert_eq!(revision, 0, "a revision that never was");
                }
            }
            catch_up(&mut peers[1], Source::Peers, &store);
            let mut other = replica.clone();
            catch_up(&mut replica, Source::Peers, &store);
            assert_eq!(names(replica.store()), names(&store));
            while other.store().revision() < store.revision() {
                let page = store.changes_since(session.cursor, 4000);
                session.cursor = session.cursor.following(&page);
                session.sent.push_back(page);
                while let Some(page) = session.sent.pop_front() {
                    other.apply(Source::Control, page).unwrap();
                }
            }
            assert_eq!(names(other.store()), names(&store));
            Ok(())
        })
        .seed(seed);
    }
}
