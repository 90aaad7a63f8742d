//! Clients and the routers before the entries.

use std::collections::HashMap;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::record::Record;

/// Times of the first packet and its copies, and the end of the attempt.
const COPIES_MS: [u64; 3] = [0, 200, 600];
const OPEN_LIMIT: Duration = Duration::from_millis(1400);

const RETRANSMIT: Duration = Duration::from_millis(200);
const MAX_RETRANSMIT: Duration = Duration::from_millis(1600);

/// Pause between two readiness checks of a router, and the misses that take an entry out.
const PROBE: Duration = Duration::from_millis(500);
const MISSES: u32 = 2;

pub struct Entry {
    pub datagrams: SocketAddrV4,
    pub readiness: SocketAddrV4,
    pub zone: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Opening,
    Open,
    Ended,
    /// Got a reset that the flow's target did not send, while open at its target.
    Reset,
    /// Was refused or timed out before it was open.
    NotOpened,
    /// A request got no answer within its time limit.
    TimedOut,
}

pub struct Flow {
    pub phase: Phase,
    pub started: Instant,
    /// Send times of the first packet and its copies.
    pub copies: Vec<Instant>,
    route: SocketAddrV4,
    seq: u32,
    peer: u32,
    pause: Option<Duration>,
    /// Request that is not answered: the packet, its first and next transmission, the interval.
    pending: Option<(Packet, Instant, Instant, Duration)>,
    /// When the last packet of either end went by.
    pub last_packet: Instant,
    next_request: Option<Instant>,
    requests: u32,
    pub answers: u32,
    /// Time between the last two packets of the flow before the reset, and when it came.
    pub reset_at: Option<Instant>,
    pub idle_before: Duration,
}

#[derive(Default)]
struct State {
    flows: HashMap<u16, Flow>,
    next_port: u16,
}

#[derive(Clone)]
pub struct Clients {
    address: SocketAddrV4,
    socket: Arc<UdpSocket>,
    entries: Arc<Vec<Entry>>,
    misses: Arc<Mutex<Vec<u32>>>,
    state: Arc<Mutex<State>>,
    zones: usize,
    /// Time limit of a request.
    limit: Duration,
    record: Record,
}

fn mix(a: u64, b: u64) -> u64 {
    let mut x = a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.wrapping_mul(0xc2b2_ae3d_27d4_eb4f);
    x ^= x >> 29;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 32)
}

impl Clients {
    pub fn start(
        address: SocketAddrV4,
        entries: Vec<Entry>,
        zones: usize,
        limit: Duration,
        record: &Record,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(Duration::from_millis(2)))?;
        let misses = Arc::new(Mutex::new(vec![MISSES; entries.len()]));
        let clients = Self {
            address,
            socket: Arc::new(socket),
            entries: Arc::new(entries),
            misses,
            state: Arc::default(),
            zones,
            limit,
            record: record.clone(),
        };
        clients.state.lock().unwrap().next_port = 20_000;
        for index in 0..clients.entries.len() {
            let clients = clients.clone();
            std::thread::spawn(move || clients.probe(index));
        }
        let running = clients.clone();
        std::thread::spawn(move || running.run());
        Ok(clients)
    }

    fn probe(&self, index: usize) {
        loop {
            let start = Instant::now();
            let at = self.entries[index].readiness;
            let answer =
                http::call(at, "GET", "/hyssopdyke/readyz", "", Duration::from_millis(450));
            let is_ready = answer.is_some_and(|answer| answer.status == 200);
            {
                let mut misses = self.misses.lock().unwrap();
                let was_in = misses[index] < MISSES;
                misses[index] = if is_ready { 0 } else { misses[index] + 1 };
                let is_in = misses[index] < MISSES;
                if was_in != is_in {
                    self.record.line(&format!("routers: entry {index} in rotation: {is_in}"));
                }
            }
            std::thread::sleep(PROBE.saturating_sub(start.elapsed()));
        }
    }

    pub fn all_ready(&self) -> bool {
        self.misses.lock().unwrap().iter().all(|misses| *misses == 0)
    }

    /// Returns the entry that the routers select for a client's port now.
    pub fn entry_of(&self, port: u16) -> usize {
        let zone = usize::from(port) % self.zones;
        let misses = self.misses.lock().unwrap();
        let is_in = |index: &usize| misses[*index] < MISSES;
        let all = 0..self.entries.len();
        let of_zone: Vec<usize> =
            all.clone().filter(|index| self.entries[*index].zone == zone).collect();
        let mut usable: Vec<usize> = of_zone.iter().copied().filter(is_in).collect();
        if usable.is_empty() {
            usable = all.filter(is_in).collect();
        } else if usable.len() * 2 < of_zone.len() {
            usable = of_zone.clone();
        }
        let usable = if usable.is_empty() { of_zone } else { usable };
        usable.into_iter().max_by_key(|index| mix(*index as u64 + 1, u64::from(port))).unwrap()
    }

    fn send(&self, packet: &Packet) {
        let entry = self.entry_of(packet.src.port());
        let _ = self.socket.send_to(&packet.encode(), self.entries[entry].datagrams);
    }

    /// Opens a flow of requests with a pause between them, or of a single request.
    pub fn open(&self, route: SocketAddrV4, pause: Option<Duration>) -> u16 {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let port = state.next_port;
        state.next_port += 1;
        let seq = mix(u64::from(port), 77) as u32;
        let flow = Flow {
            phase: Phase::Opening,
            started: now,
            copies: Vec::new(),
            route,
            seq,
            peer: 0,
            pause,
            pending: None,
            last_packet: now,
            next_request: None,
            requests: 0,
            answers: 0,
            reset_at: None,
            idle_before: Duration::ZERO,
        };
        state.flows.insert(port, flow);
        port
    }

    pub fn count(&self, phase: Phase) -> usize {
        self.state.lock().unwrap().flows.values().filter(|flow| flow.phase == phase).count()
    }

    pub fn answers(&self) -> u32 {
        self.state.lock().unwrap().flows.values().map(|flow| flow.answers).sum()
    }

    pub fn visit<T>(&self, port: u16, read: impl FnOnce(&Flow) -> T) -> Option<T> {
        self.state.lock().unwrap().flows.get(&port).map(read)
    }

    fn run(&self) {
        let mut buffer = [0; 2048];
        let mut ticked = Instant::now();
        loop {
            if let Ok((length, from)) = self.socket.recv_from(&mut buffer) {
                self.take(&buffer[..length], &from.to_string());
            }
            if ticked.elapsed() >= Duration::from_millis(2) {
                ticked = Instant::now();
                self.tick(ticked);
            }
        }
    }

    fn tick(&self, now: Instant) {
        let mut state = self.state.lock().unwrap();
        for (port, flow) in &mut state.flows {
            let src = SocketAddrV4::new(*self.address.ip(), *port);
            if flow.phase == Phase::Opening {
                let age = now - flow.started;
                let copy = flow.copies.len();
                if copy < 3 && age >= Duration::from_millis(COPIES_MS[copy]) {
                    flow.copies.push(now);
                    let (seq, ack, dst) = (flow.seq, copy as u32, flow.route);
                    self.send(&Packet { seq, ack, flags: SYN, src, dst, data: Vec::new() });
                } else if age >= OPEN_LIMIT {
                    flow.phase = Phase::NotOpened;
                }
                continue;
            }
            if flow.phase != Phase::Open {
                continue;
            }
            if flow.next_request.is_some_and(|due| due <= now) {
                flow.next_request = None;
                flow.idle_before = now - flow.last_packet;
                flow.request(src, now);
            }
            let Some((packet, first, due, interval)) = &mut flow.pending else { continue };
            if now - *first >= self.limit {
                flow.phase = Phase::TimedOut;
                self.record.line(&format!("client {port}: no answer within the time limit"));
                continue;
            }
            if *due <= now {
                if *due != *first {
                    *interval = (*interval * 2).min(MAX_RETRANSMIT);
                }
                *due = now + *interval;
                flow.last_packet = now;
                self.send(packet);
            }
        }
    }

    fn take(&self, bytes: &[u8], from: &str) {
        let now = Instant::now();
        let Some((packet, is_genuine)) = Packet::decode(bytes) else { return };
        let mut state = self.state.lock().unwrap();
        let port = packet.dst.port();
        let is_own_reset = packet.flags == RST && !is_genuine && packet.data.is_empty();
        if !is_genuine && !is_own_reset {
            self.record.line(&format!("client {port}: a changed packet from {from}"));
            return;
        }
        let Some(flow) = state.flows.get_mut(&port).filter(|flow| flow.route == packet.src) else {
            self.record.line(&format!("client {port}: a packet of no flow from {from}"));
            return;
        };
        let src = SocketAddrV4::new(*self.address.ip(), port);
        if packet.has(RST) {
            if matches!(flow.phase, Phase::Opening | Phase::Open) {
                let was_open = flow.phase == Phase::Open;
                flow.reset_at = Some(now);
                flow.phase = if was_open && is_own_reset { Phase::Reset } else { Phase::NotOpened };
                if was_open {
                    self.record.line(&format!(
                        "client {port}: RST from {from}, of the system's own: {is_own_reset}, \
                         flow {} ms old, last request after {} ms of silence, sent {} ms ago",
                        (now - flow.started).as_millis(),
                        flow.idle_before.as_millis(),
                        flow.pending.as_ref().map_or(0, |(_, first, ..)| (now - *first).as_millis()),
                    ));
                }
            }
            return;
        }
        if packet.has(SYN) {
            if flow.phase == Phase::Opening {
                flow.phase = Phase::Open;
                flow.seq = flow.seq.wrapping_add(1);
                flow.peer = packet.end();
                flow.last_packet = now;
                flow.request(src, now);
            }
            return;
        }
        if flow.phase == Phase::Ended {
            if packet.has(FIN) || !packet.data.is_empty() {
                let (seq, dst) = (flow.seq, flow.route);
                let ack = packet.end();
                self.send(&Packet { seq, ack, flags: ACK, src, dst, data: Vec::new() });
            }
            return;
        }
        if flow.phase != Phase::Open {
            return;
        }
        flow.last_packet = now;
        if packet.data.is_empty() && !packet.has(FIN) {
            return;
        }
        let is_next = packet.seq == flow.peer;
        if is_next {
            flow.peer = packet.end();
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            if let Some((request, ..)) = flow.pending.take() {
                let own = String::from_utf8_lossy(&request.data).into_owned();
                if !packet.data.is_empty() && !text.starts_with(&format!("{own} by ")) {
                    self.record.line(&format!("client {port}: foreign answer {text:?}"));
                    return;
                }
            }
            if !packet.data.is_empty() {
                flow.answers += 1;
                flow.next_request = flow.pause.map(|pause| now + pause);
            }
        }
        let is_last = packet.has(FIN) || flow.pause.is_none();
        let flags = if is_last && is_next { ACK | FIN } else { ACK };
        let reply = Packet {
            seq: flow.seq, ack: flow.peer, flags, src, dst: flow.route, data: Vec::new(),
        };
        if is_last && is_next {
            flow.seq = reply.end();
            flow.phase = Phase::Ended;
        }
        self.send(&reply);
    }
}

impl Flow {
    fn request(&mut self, src: SocketAddrV4, now: Instant) {
        self.requests += 1;
        let data = format!("r{}-{}", src.port(), self.requests).into_bytes();
        let packet =
            Packet { seq: self.seq, ack: self.peer, flags: ACK, src, dst: self.route, data };
        self.seq = packet.end();
        self.pending = Some((packet, now, now, RETRANSMIT));
    }
}
