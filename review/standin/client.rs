//! The clients of the system, and the routers that forward their packets to the entries.

use std::collections::HashMap;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net::{ACK, FIN, Packet, RST, Record, SYN};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Opening,
    Open,
    Closing,
    Done,
    /// The attempt ended before the flow opened.
    Refused,
    /// The flow was open and got a reset.
    Reset,
    /// A request on the open flow was not answered for 8 s.
    Silent,
}

/// A reset that arrived on an open flow.
#[derive(Debug, Clone)]
pub struct Broken {
    pub at: Instant,
    /// Whether the sum says that the target wrote it.
    pub by_target: bool,
}

pub struct Flow {
    pub phase: Phase,
    route: SocketAddrV4,
    /// Pause between the requests of a long flow; `None` for a flow of one request.
    pause: Option<Duration>,
    isn: u32,
    started: Instant,
    pub opened: Option<Instant>,
    copies: u32,
    seq: u32,
    next: u32,
    /// Unacknowledged packet: packet, due, interval, since.
    unacked: Option<(Packet, Instant, Duration, Instant)>,
    next_request: Option<Instant>,
    pub requests: u32,
    pub answers: u32,
    pub target: String,
}

pub struct State {
    pub flows: HashMap<u16, Flow>,
    pub broken: Vec<Broken>,
    pub wrong: u32,
    next_port: u16,
}

#[derive(Clone)]
pub struct Clients {
    socket: Arc<UdpSocket>,
    address: SocketAddrV4,
    entries: Arc<Vec<SocketAddrV4>>,
    pub state: Arc<Mutex<State>>,
    record: Record,
    stop: Arc<AtomicBool>,
}

impl Clients {
    pub fn start(
        address: SocketAddrV4,
        entries: Vec<SocketAddrV4>,
        record: &Record,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(Duration::from_millis(2)))?;
        let state = State { flows: HashMap::new(), broken: Vec::new(), wrong: 0, next_port: 20000 };
        let clients = Self {
            socket: Arc::new(socket),
            address,
            entries: Arc::new(entries),
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
            stop: Arc::new(AtomicBool::new(false)),
        };
        let worker = clients.clone();
        std::thread::spawn(move || worker.run());
        Ok(clients)
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Opens a flow to a route and returns its port. A long flow pauses between its requests.
    pub fn open(&self, route: SocketAddrV4, pause: Option<Duration>) -> u16 {
        let mut state = self.state.lock().unwrap();
        let port = state.next_port;
        state.next_port += 1;
        let now = Instant::now();
        let isn = u32::from(port).wrapping_mul(0x9E37_79B1);
        let flow = Flow {
            phase: Phase::Opening,
            route,
            pause,
            isn,
            started: now,
            opened: None,
            copies: 1,
            seq: isn.wrapping_add(1),
            next: 0,
            unacked: None,
            next_request: None,
            requests: 0,
            answers: 0,
            target: String::new(),
        };
        state.flows.insert(port, flow);
        let packet = Packet::new(self.from(port), route, SYN, isn, 0);
        self.send(port, packet);
        port
    }

    fn from(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(*self.address.ip(), port)
    }

    /// The router: all packets of a flow go to one entry.
    fn send(&self, port: u16, packet: Packet) {
        let entry = self.entries[usize::from(port) % self.entries.len()];
        let _ = self.socket.send_to(&packet.encode(), entry);
    }

    fn run(&self) {
        let mut buffer = [0; 2048];
        while !self.stop.load(Ordering::Relaxed) {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer)
                && let Some(packet) = Packet::decode(&buffer[..length])
            {
                self.take(&packet);
            }
            self.tick();
        }
    }

    fn take(&self, packet: &Packet) {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let port = packet.dst.port();
        let is_reset = packet.has(RST);
        if !is_reset && packet.sum != packet.right_sum() {
            state.wrong += 1;
            self.record.line(&format!("client took a forged packet {packet:?}"));
            return;
        }
        let now = Instant::now();
        let Some(flow) = state.flows.get_mut(&port) else { return };
        if is_reset {
            match flow.phase {
                Phase::Opening => flow.phase = Phase::Refused,
                Phase::Open | Phase::Closing => {
                    let by_target = packet.sum == packet.right_sum() && packet.sum != 0;
                    let target = &flow.target;
                    let age = now.duration_since(flow.opened.unwrap()).as_millis();
                    self.record.line(&format!(
                        "client's open flow {port} at {target}, {age} ms old, got a reset \
                         (sum {}, by its target: {by_target})",
                        packet.sum
                    ));
                    flow.phase = Phase::Reset;
                    state.broken.push(Broken { at: now, by_target });
                }
                _ => {}
            }
            return;
        }
        if packet.has(SYN) {
            if flow.phase == Phase::Opening && packet.ack == flow.isn.wrapping_add(1) {
                flow.phase = Phase::Open;
                flow.opened = Some(now);
                flow.next = packet.seq.wrapping_add(1);
                flow.next_request = Some(now);
                self.request(port, flow, now);
            }
            return;
        }
        if !matches!(flow.phase, Phase::Open | Phase::Closing) {
            return;
        }
        if let Some((sent, ..)) = &flow.unacked {
            let end = u32::from(sent.has(FIN)) + sent.data.len() as u32;
            if packet.ack == sent.seq.wrapping_add(end) {
                flow.unacked = None;
            }
        }
        if !packet.data.is_empty() {
            if packet.seq == flow.next {
                flow.next = flow.next.wrapping_add(packet.data.len() as u32);
                flow.answers += 1;
                let text = String::from_utf8_lossy(&packet.data).into_owned();
                flow.target = text.rsplit(' ').next().unwrap_or("").to_string();
                if !text.starts_with(&format!("request {port}/{} ", flow.requests)) {
                    state.wrong += 1;
                    self.record.line(&format!("client flow {port} got a foreign answer: {text}"));
                }
                if let Some(pause) = flow.pause {
                    flow.next_request = Some(now + pause);
                } else {
                    let fin =
                        Packet::new(self.from(port), flow.route, ACK | FIN, flow.seq, flow.next);
                    flow.seq = flow.seq.wrapping_add(1);
                    self.send(port, fin.clone());
                    let interval = Duration::from_millis(200);
                    flow.unacked = Some((fin, now + interval, interval, now));
                    flow.phase = Phase::Closing;
                    return;
                }
            }
            let ack = Packet::new(self.from(port), flow.route, ACK, flow.seq, flow.next);
            self.send(port, ack);
        }
        if packet.has(FIN) && flow.phase == Phase::Closing {
            let ack =
                Packet::new(self.from(port), flow.route, ACK, flow.seq, packet.seq.wrapping_add(1));
            self.send(port, ack);
            flow.phase = Phase::Done;
        }
    }

    fn request(&self, port: u16, flow: &mut Flow, now: Instant) {
        flow.next_request = None;
        flow.requests += 1;
        let mut packet = Packet::new(self.from(port), flow.route, ACK, flow.seq, flow.next);
        packet.data = format!("request {port}/{}", flow.requests).into();
        flow.seq = flow.seq.wrapping_add(packet.data.len() as u32);
        self.send(port, packet.clone());
        let interval = Duration::from_millis(200);
        flow.unacked = Some((packet, now + interval, interval, now));
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        for (port, flow) in &mut state.flows {
            match flow.phase {
                Phase::Opening => {
                    let age = now.duration_since(flow.started).as_millis();
                    if age >= 1400 {
                        flow.phase = Phase::Refused;
                    } else if (flow.copies == 1 && age >= 200) || (flow.copies == 2 && age >= 600) {
                        let copies = flow.copies;
                        let packet =
                            Packet::new(self.from(*port), flow.route, SYN, flow.isn, copies);
                        flow.copies += 1;
                        self.send(*port, packet);
                    }
                }
                Phase::Open | Phase::Closing => {
                    if flow.phase == Phase::Open && flow.next_request.is_some_and(|due| due <= now)
                    {
                        self.request(*port, flow, now);
                    }
                    if let Some((packet, due, interval, since)) = &mut flow.unacked
                        && *due <= now
                    {
                        if now.duration_since(*since) > Duration::from_secs(8) {
                            flow.phase = Phase::Silent;
                            continue;
                        }
                        *interval = (*interval * 2).min(Duration::from_millis(1600));
                        *due = now + *interval;
                        let mut again = packet.clone();
                        again.ack = flow.next;
                        self.send(*port, again);
                    }
                }
                _ => {}
            }
        }
    }

    pub fn count(&self, phase: Phase) -> usize {
        self.state.lock().unwrap().flows.values().filter(|flow| flow.phase == phase).count()
    }

    pub fn answers(&self) -> u64 {
        let state = self.state.lock().unwrap();
        state.flows.values().map(|flow| u64::from(flow.answers)).sum()
    }
}
