//! A target: holds the flows that it has accepted, answers their requests and reports to the daemon
//! on its machine.

use std::collections::HashMap;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::packet::{ACK, BOUNCED, FIN, Packet, RST, SYN};
use crate::record::Record;

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(5);

/// Time between two answers of a cold target, which bears `warmup_per_s` requests a second.
const COLD_WORK: Duration = Duration::from_millis(250);

/// Retransmissions of an answer.
const RETRANSMIT: Duration = Duration::from_millis(200);
const MAX_RETRANSMIT: Duration = Duration::from_millis(1600);
const MAX_TRIES: u32 = 8;

/// Pauses after reports that were not acknowledged.
const REPORT_RETRIES_MS: [u64; 6] = [50, 100, 200, 400, 800, 1200];

#[derive(Clone)]
pub struct Place {
    pub name: String,
    pub service: String,
    pub zone: String,
    /// Where the target receives packets.
    pub app: SocketAddrV4,
    /// Where it sends its packets.
    pub outbound: SocketAddrV4,
    /// Where it sends its reports.
    pub control: SocketAddrV4,
    pub beat: Duration,
    pub slots: u32,
}

/// Opening packet that a target took.
#[derive(Clone, Copy)]
pub struct Opening {
    pub at: Instant,
    pub port: u16,
    /// Number of the copy, 0 for the first packet.
    pub copy: u32,
    pub is_cold: bool,
}

struct Flow {
    seq: u32,
    next: u32,
    is_open: bool,
    is_ended: bool,
    working: Option<(Instant, Vec<u8>)>,
    unacked: Option<(Packet, Instant, Duration, u32)>,
}

#[derive(Default)]
struct State {
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
    cold_until: Option<Instant>,
    /// When the target, while cold, is done with the requests that it has.
    cold_done: Option<Instant>,
    is_draining: bool,
    seq: u64,
    acks: u64,
}

/// One boot of a target.
#[derive(Clone)]
pub struct Target {
    pub place: Place,
    id: String,
    born: u64,
    state: Arc<Mutex<State>>,
    is_down: Arc<AtomicBool>,
    pub openings: Arc<Mutex<Vec<Opening>>>,
    /// When a flow opened at this boot, by the client's port.
    pub opened: Arc<Mutex<HashMap<u16, Instant>>>,
    record: Record,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Target {
    /// Starts a boot whose first report is due after `first_report`.
    pub fn start(
        place: Place,
        warmup: Option<Duration>,
        first_report: Duration,
        record: &Record,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(place.app)?;
        socket.set_read_timeout(Some(Duration::from_millis(2)))?;
        let born = unix_ms();
        let id = format!("i-{:010x}", (born << 8) | u64::from(place.app.ip().octets()[3]));
        let target = Self {
            place,
            id,
            born,
            state: Arc::default(),
            is_down: Arc::default(),
            openings: Arc::default(),
            opened: Arc::default(),
            record: record.clone(),
        };
        target.state.lock().unwrap().cold_until = warmup.map(|warmup| Instant::now() + warmup);
        let name = &target.place.name;
        record.line(&format!("target {name} starts as {}, cold for {warmup:?}", target.id));
        http::serve_health(target.place.app, target.is_down.clone())?;
        let packets = target.clone();
        std::thread::spawn(move || packets.serve(&socket));
        let reports = target.clone();
        std::thread::spawn(move || {
            std::thread::sleep(first_report);
            reports.report_until_down();
        });
        Ok(target)
    }

    pub fn is_acked(&self) -> bool {
        self.state.lock().unwrap().acks > 0
    }

    /// Ends the process without a word.
    pub fn crash(&self) {
        self.record.line(&format!("target {} crashes", self.place.name));
        self.is_down.store(true, Ordering::Relaxed);
    }

    fn report_until_down(&self) {
        let mut failures = 0;
        while !self.is_down.load(Ordering::Relaxed) {
            let pause = if self.report() {
                failures = 0;
                self.place.beat
            } else {
                failures += 1;
                Duration::from_millis(REPORT_RETRIES_MS[(failures - 1).min(5)])
            };
            std::thread::sleep(pause);
        }
    }

    fn report(&self) -> bool {
        let (seq, left, phase) = {
            let mut state = self.state.lock().unwrap();
            state.seq += 1;
            let left = state.cold_until.map_or(0, |until| {
                until.saturating_duration_since(Instant::now()).as_millis()
            });
            (state.seq, left, if state.is_draining { "draining" } else { "ready" })
        };
        let place = &self.place;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{phase}\",\"warmup_left_ms\":{left},\"seq\":{seq},\
             \"born\":{}}}",
            place.service, place.app, place.zone, place.slots, self.born
        );
        let path = format!("/hyssopdyke/targets/{}", self.id);
        let sent = Instant::now();
        let answer = http::call(place.control, "PUT", &path, &body, Duration::from_secs(1));
        let status = answer.map(|answer| answer.status);
        let is_acked = status.is_some_and(|status| (200..300).contains(&status));
        self.record.line(&format!(
            "target {} reports seq {seq} {phase} warmup_left_ms {left} -> {status:?} after {} ms",
            place.name,
            sent.elapsed().as_millis()
        ));
        self.state.lock().unwrap().acks += u64::from(is_acked);
        is_acked
    }

    fn serve(&self, socket: &UdpSocket) {
        let mut buffer = [0; 2048];
        let mut swept = Instant::now();
        while !self.is_down.load(Ordering::Relaxed) {
            if let Ok((length, _)) = socket.recv_from(&mut buffer) {
                for packet in self.take(&buffer[..length]) {
                    let _ = socket.send_to(&packet, self.place.outbound);
                }
            }
            if swept.elapsed() >= Duration::from_millis(2) {
                swept = Instant::now();
                for packet in self.tick(swept) {
                    let _ = socket.send_to(&packet, self.place.outbound);
                }
            }
        }
    }

    fn take(&self, bytes: &[u8]) -> Vec<Vec<u8>> {
        let Some((packet, is_genuine)) = Packet::decode(bytes) else {
            self.record.line(&format!("target {} got bytes that are no packet", self.place.name));
            return Vec::new();
        };
        if !is_genuine {
            self.record.line(&format!("target {} got a changed packet", self.place.name));
        }
        let key = (packet.src, packet.dst);
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let done = match state.cold_until {
            Some(until) if now < until => state.cold_done.unwrap_or(now).max(now) + COLD_WORK,
            _ => now + WORK,
        };
        let answer = |flags, seq, ack, data| {
            Packet { seq, ack, flags, src: packet.dst, dst: packet.src, data }.encode()
        };
        if packet.has(SYN) {
            let next = packet.seq.wrapping_add(1);
            let is_known = state.flows.get(&key).is_some_and(|flow| flow.next == next || flow.is_open);
            if !is_known {
                let is_cold = state.cold_until.is_some_and(|until| Instant::now() < until);
                let at = Instant::now();
                let opening = Opening { at, port: packet.src.port(), copy: packet.ack, is_cold };
                self.openings.lock().unwrap().push(opening);
                let seq = (self.born as u32 ^ packet.seq).rotate_left(7);
                let flow = Flow {
                    seq, next, is_open: false, is_ended: false, working: None, unacked: None,
                };
                state.flows.insert(key, flow);
            }
            let flow = &state.flows[&key];
            if flow.is_open {
                return Vec::new();
            }
            return vec![answer(SYN | ACK, flow.seq, flow.next, Vec::new())];
        }
        let flow = state.flows.get_mut(&key).filter(|flow| {
            flow.is_ended || flow.is_open || packet.ack == flow.seq.wrapping_add(1)
        });
        let Some(flow) = flow else {
            let mut returned = bytes.to_vec();
            returned[12] |= BOUNCED;
            returned[13] = 0;
            return vec![returned];
        };
        if packet.has(RST) {
            flow.is_ended = true;
            return Vec::new();
        }
        if flow.is_ended {
            if packet.has(FIN) {
                return vec![answer(ACK, flow.seq, packet.end(), Vec::new())];
            }
            if !packet.data.is_empty() {
                self.record.line(&format!(
                    "target {} resets the ended flow {}", self.place.name, packet.src.port()
                ));
                return vec![answer(RST, packet.ack, 0, Vec::new())];
            }
            return Vec::new();
        }
        if !flow.is_open {
            flow.is_open = true;
            flow.seq = flow.seq.wrapping_add(1);
            self.opened.lock().unwrap().insert(packet.src.port(), Instant::now());
        }
        if flow.unacked.as_ref().is_some_and(|(sent, ..)| packet.ack == sent.end()) {
            flow.unacked = None;
        }
        if !packet.data.is_empty() {
            let is_next = packet.seq == flow.next;
            if is_next {
                flow.next = packet.end();
                flow.working = Some((done, packet.data.clone()));
            }
            let reply = answer(ACK, flow.seq, flow.next, Vec::new());
            if is_next {
                state.cold_done = Some(done);
            }
            return vec![reply];
        }
        if packet.has(FIN) {
            flow.next = packet.end();
            flow.is_ended = true;
            return vec![answer(ACK | FIN, flow.seq, flow.next, Vec::new())];
        }
        Vec::new()
    }

    fn tick(&self, now: Instant) -> Vec<Vec<u8>> {
        let mut sent = Vec::new();
        let mut state = self.state.lock().unwrap();
        let flags = if state.is_draining { ACK | FIN } else { ACK };
        for ((client, route), flow) in &mut state.flows {
            if flow.is_ended {
                continue;
            }
            if let Some((_, request)) = flow.working.take_if(|(due, _)| *due <= now) {
                let data =
                    format!("{} by {}", String::from_utf8_lossy(&request), self.place.name);
                let packet = Packet {
                    seq: flow.seq, ack: flow.next, flags, src: *route, dst: *client,
                    data: data.into(),
                };
                flow.seq = packet.end();
                sent.push(packet.encode());
                flow.unacked = Some((packet, now + RETRANSMIT, RETRANSMIT, 0));
            }
            if let Some((packet, due, interval, tries)) = &mut flow.unacked {
                if *due <= now && *tries < MAX_TRIES {
                    sent.push(packet.encode());
                    *tries += 1;
                    *interval = (*interval * 2).min(MAX_RETRANSMIT);
                    *due = now + *interval;
                }
            }
        }
        sent
    }
}
