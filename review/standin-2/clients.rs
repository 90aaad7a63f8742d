//! Clients that make one or more requests in each flow, and the routers that hand their packets to entries.

use std::collections::HashMap;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::deployment::{Class, DATAGRAM, Deployment, READINESS};
use crate::http;
use crate::packet::{ACK, FIN, Packet, RST, SYN};
use crate::record::Record;

/// Times after the first opening packet at which copies are sent.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPEN_LIMIT: Duration = Duration::from_millis(1400);
const TIME_LIMIT: Duration = Duration::from_secs(2);
const RETRANSMIT: Duration = Duration::from_millis(200);
const TICK: Duration = Duration::from_millis(2);
const FIRST_PORT: u16 = 20_000;

/// How clients use flows.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Habit {
    pub(crate) flows_per_s: u32,
    /// Requests in a flow.
    pub(crate) requests: u32,
    /// Pause between an answer and the next request of the flow.
    pub(crate) pause: Duration,
}

/// Requests by how they ended, and when the client sent each one's opening packet.
#[derive(Clone, Default)]
pub(crate) struct Clients {
    sent: Arc<Mutex<HashMap<String, Instant>>>,
    answered: Arc<AtomicU64>,
    unanswered: Arc<AtomicU64>,
    /// Flows that were reset after an answer.
    resets: Arc<AtomicU64>,
    is_stopping: Arc<AtomicBool>,
}

struct Flow {
    id: String,
    number: u32,
    /// Requests that were sent.
    requests: u32,
    /// When the client sent the opening packet or, later, the present request.
    started_at: Instant,
    copies: u32,
    seq: u32,
    /// Next number that is expected from the target; `None` until the flow is open.
    next: Option<u32>,
    /// Packet to repeat until it is acknowledged: packet, due time, interval.
    unacked: Option<(Packet, Instant, Duration)>,
    /// Whether the present request is answered.
    is_answered: bool,
    /// When the next request is due.
    next_request: Option<Instant>,
}

struct Loop {
    habit: Habit,
    shared: Clients,
    socket: UdpSocket,
    entries: Vec<SocketAddrV4>,
    /// Whether each entry is in rotation.
    rotation: Arc<Mutex<Vec<bool>>>,
    client: std::net::Ipv4Addr,
    route: SocketAddrV4,
    flows: HashMap<u16, Flow>,
    record: Record,
}

impl Clients {
    pub(crate) fn start(
        deployment: &Deployment,
        habit: Habit,
        record: &Record,
    ) -> Result<Self, String> {
        let clients = Self::default();
        let address = SocketAddrV4::new(deployment.client_address(), DATAGRAM);
        let socket = UdpSocket::bind(address).map_err(|error| format!("{address}: {error}"))?;
        socket.set_read_timeout(Some(TICK)).map_err(|error| error.to_string())?;
        let entries = 0..deployment.layout.edge;
        let entries = entries.map(|number| deployment.at((Class::Edge, number), DATAGRAM));
        let rotation = Arc::new(Mutex::new(vec![true; usize::from(deployment.layout.edge)]));
        for number in 0..deployment.layout.edge {
            let at = deployment.at((Class::Edge, number), READINESS);
            let (rotation, stop) = (Arc::clone(&rotation), Arc::clone(&clients.is_stopping));
            std::thread::spawn(move || check(at, usize::from(number), &rotation, &stop));
        }
        let run = Loop {
            habit,
            shared: clients.clone(),
            socket,
            entries: entries.collect(),
            rotation: Arc::clone(&rotation),
            client: deployment.client_address(),
            route: deployment.route(),
            flows: HashMap::new(),
            record: record.clone(),
        };
        std::thread::spawn(move || run.run(Duration::from_secs(1) / habit.flows_per_s));
        Ok(clients)
    }

    /// Returns when the client sent the opening packet of a request's flow.
    pub(crate) fn sent_at(&self, id: &str) -> Option<Instant> {
        self.sent.lock().unwrap().get(id).copied()
    }

    pub(crate) fn counts(&self) -> (u64, u64) {
        (self.answered.load(Ordering::Relaxed), self.unanswered.load(Ordering::Relaxed))
    }

    /// Returns how many flows were reset after an answer.
    pub(crate) fn resets(&self) -> u64 {
        self.resets.load(Ordering::Relaxed)
    }

    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }
}

impl Loop {
    fn run(mut self, gap: Duration) {
        let mut buffer = [0; 2048];
        let (mut number, mut due) = (0_u32, Instant::now());
        while !self.shared.is_stopping.load(Ordering::Relaxed) {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer)
                && let Some(packet) = Packet::decode(&buffer[..length])
            {
                self.take(&packet);
            }
            let now = Instant::now();
            while due <= now {
                due += gap;
                number += 1;
                self.open(number, now);
            }
            self.tick(now);
        }
    }

    fn packet(&self, port: u16, flags: u8, seq: u32, ack: u32, data: Vec<u8>) -> Packet {
        let src = SocketAddrV4::new(self.client, port);
        Packet { seq, ack, flags, src, dst: self.route, data }
    }

    /// Hands a packet to the entry that the routers' steady hash selects: only the flows of an entry
    /// that leaves the rotation move.
    fn send(&self, packet: &Packet) {
        let rotation = self.rotation.lock().unwrap();
        let is_used = |index: &usize| rotation[*index] || rotation.iter().all(|ready| !ready);
        let weight = |index: &usize| {
            let mixed = (u64::from(packet.src.port()) << 8 | *index as u64)
                .wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
        };
        let chosen = (0..self.entries.len()).filter(is_used).max_by_key(weight);
        if let Some(index) = chosen {
            let _ = self.socket.send_to(&packet.encode(), self.entries[index]);
        }
    }

    fn open(&mut self, number: u32, now: Instant) {
        let port = FIRST_PORT + (number % 40_000) as u16;
        let (id, seq) = (format!("q-{number}"), number.wrapping_mul(0x85eb_ca6b));
        self.shared.sent.lock().unwrap().insert(id.clone(), now);
        self.record.line(&format!("client sends {id}"));
        self.send(&self.packet(port, SYN, seq, 0, Vec::new()));
        let flow = Flow {
            id,
            number,
            requests: 0,
            started_at: now,
            copies: 0,
            seq,
            next: None,
            unacked: None,
            is_answered: false,
            next_request: None,
        };
        self.flows.insert(port, flow);
    }

    fn take(&mut self, packet: &Packet) {
        let port = packet.dst.port();
        let Some(mut flow) = self.flows.remove(&port) else { return };
        if packet.has(RST) {
            if flow.requests > 1 || flow.is_answered {
                self.shared.resets.fetch_add(1, Ordering::Relaxed);
                self.record.line(&format!("the open flow of {} is reset", flow.id));
            }
            return self.end(&flow, "is reset");
        }
        if packet.has(SYN | ACK) {
            if flow.next.is_none() {
                flow.next = Some(packet.end());
                flow.seq = flow.seq.wrapping_add(1);
                self.request(port, &mut flow);
            }
            self.flows.insert(port, flow);
            return;
        }
        if flow.unacked.as_ref().is_some_and(|(sent, ..)| packet.ack == sent.end()) {
            flow.unacked = None;
        }
        if !packet.data.is_empty() && flow.next == Some(packet.seq) {
            flow.next = Some(packet.end());
            let text = String::from_utf8_lossy(&packet.data);
            flow.is_answered = text.starts_with("HTTP/1.1 200") && text.contains(&flow.id);
            if flow.requests < self.habit.requests {
                self.send(&self.packet(port, ACK, flow.seq, packet.end(), Vec::new()));
                flow.next_request = Some(Instant::now() + self.habit.pause);
            } else {
                let last = self.packet(port, ACK | FIN, flow.seq, packet.end(), Vec::new());
                flow.seq = last.end();
                self.send(&last);
                flow.unacked = Some((last, Instant::now() + RETRANSMIT, RETRANSMIT));
            }
            let end =
                if flow.is_answered { "is answered with 200" } else { "gets a foreign answer" };
            self.record.line(&format!("client's {} {end}", flow.id));
        } else if packet.has(FIN) {
            let end = packet.end();
            self.send(&self.packet(port, ACK, flow.seq, end, Vec::new()));
            return self.end(&flow, "is closed");
        }
        self.flows.insert(port, flow);
    }

    /// Sends the next request of an open flow.
    fn request(&self, port: u16, flow: &mut Flow) {
        if flow.requests > 0 {
            self.shared.answered.fetch_add(1, Ordering::Relaxed);
            (flow.started_at, flow.is_answered) = (Instant::now(), false);
            flow.id = format!("q-{}-{}", flow.number, flow.requests + 1);
            self.shared.sent.lock().unwrap().insert(flow.id.clone(), flow.started_at);
            self.record.line(&format!("client sends {}", flow.id));
        }
        flow.requests += 1;
        flow.next_request = None;
        let data =
            format!("GET / HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\n\r\n", self.route, flow.id);
        let acknowledged = flow.next.unwrap_or(0);
        let request = self.packet(port, ACK, flow.seq, acknowledged, data.into_bytes());
        flow.seq = request.end();
        self.send(&request);
        flow.unacked = Some((request, Instant::now() + RETRANSMIT, RETRANSMIT));
    }

    fn end(&self, flow: &Flow, how: &str) {
        if flow.is_answered {
            self.shared.answered.fetch_add(1, Ordering::Relaxed);
        } else {
            self.record.line(&format!("client's {} {how} without an answer", flow.id));
            self.shared.unanswered.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn tick(&mut self, now: Instant) {
        let mut sent = Vec::new();
        let mut ended = Vec::new();
        for (port, flow) in &mut self.flows {
            let age = now.duration_since(flow.started_at);
            let limit = if flow.next.is_none() { OPEN_LIMIT } else { TIME_LIMIT };
            if flow.next_request.is_some() {
                continue;
            }
            if age >= limit {
                ended.push(*port);
            } else if flow.next.is_none() {
                let copy = COPIES.get(flow.copies as usize).filter(|at| age >= **at);
                if copy.is_some() {
                    flow.copies += 1;
                    sent.push((*port, flow.seq, flow.copies));
                }
            }
        }
        for (port, seq, copies) in sent {
            self.send(&self.packet(port, SYN, seq, copies, Vec::new()));
        }
        let mut repeated = Vec::new();
        for flow in self.flows.values_mut() {
            if let Some((packet, due, interval)) = &mut flow.unacked
                && *due <= now
            {
                repeated.push(packet.clone());
                *interval = (*interval * 2).min(Duration::from_millis(1600));
                *due = now + *interval;
            }
        }
        for packet in repeated {
            self.send(&packet);
        }
        let due = |flow: &Flow| flow.next_request.is_some_and(|due| due <= now);
        let waiting: Vec<u16> =
            self.flows.iter().filter(|(_, flow)| due(flow)).map(|(port, _)| *port).collect();
        for port in waiting {
            if let Some(mut flow) = self.flows.remove(&port) {
                self.request(port, &mut flow);
                self.flows.insert(port, flow);
            }
        }
        for port in ended {
            if let Some(flow) = self.flows.remove(&port) {
                self.end(&flow, "ends at its time limit");
            }
        }
    }
}

/// Asks an entry twice per second whether it is ready. It leaves the rotation after two misses.
fn check(at: SocketAddrV4, index: usize, rotation: &Mutex<Vec<bool>>, stop: &AtomicBool) {
    let mut misses = 0;
    while !stop.load(Ordering::Relaxed) {
        let answer = http::call(at, "GET", "/hyssopdyke/readyz", "");
        let is_ready = answer.is_some_and(|answer| answer.status == 200);
        misses = if is_ready { 0 } else { misses + 1 };
        rotation.lock().unwrap()[index] = misses < 2;
        std::thread::sleep(Duration::from_millis(500));
    }
}
