//! A target on a `side` machine, as the pages PROTOCOL and DEPLOY describe it.

use std::collections::HashMap;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net::{self, ACK, BOUNCED, FIN, Packet, RST, Record, SYN};

struct Flow {
    /// Next number that the target sends.
    seq: u32,
    /// Next number expected from the client.
    next: u32,
    is_open: bool,
    is_ended: bool,
    /// Answer that the client has not acknowledged: packet, due time, interval, tries.
    unacked: Option<(Packet, Instant, Duration, u32)>,
    /// Request at work: when the answer is due.
    working: Option<(Instant, Vec<u8>)>,
}

pub struct State {
    pub id: String,
    pub born: u64,
    pub seq: u64,
    pub phase: &'static str,
    pub cold_until: Option<Instant>,
    pub has_exited: bool,
    /// When the last beat was sent.
    pub last_beat: Option<Instant>,
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
    /// Opening packets that the target took: when, and from which client port.
    pub openings: Vec<(Instant, u16)>,
    /// Resets that the target itself sent.
    pub resets: u32,
    pub forged: u32,
    pub runs: u64,
    pub acks: u64,
}

pub struct Settings {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    pub beat: Duration,
    pub slots: u32,
}

#[derive(Clone)]
pub struct Target {
    pub settings: Arc<Settings>,
    pub state: Arc<Mutex<State>>,
    record: Record,
    stop: Arc<AtomicBool>,
}

const WORK: Duration = Duration::from_millis(10);

impl Target {
    pub fn start(
        settings: Settings,
        id: &str,
        born: u64,
        record: &Record,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(settings.app)?;
        socket.set_read_timeout(Some(Duration::from_millis(2)))?;
        net::serve_health(settings.app)?;
        let state = State {
            id: id.to_string(),
            born,
            seq: 0,
            phase: "ready",
            cold_until: None,
            has_exited: false,
            last_beat: None,
            flows: HashMap::new(),
            openings: Vec::new(),
            resets: 0,
            forged: 0,
            runs: 0,
            acks: 0,
        };
        let target = Self {
            settings: Arc::new(settings),
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
            stop: Arc::new(AtomicBool::new(false)),
        };
        let name = &target.settings.name;
        record.line(&format!("target {name} starts as {id}, born {born}"));
        let packets = target.clone();
        std::thread::spawn(move || packets.run_packets(&socket));
        let beats = target.clone();
        std::thread::spawn(move || beats.run_beats());
        Ok(target)
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    pub fn open_flows(&self) -> usize {
        let state = self.state.lock().unwrap();
        state.flows.values().filter(|flow| flow.is_open && !flow.is_ended).count()
    }

    /// Sends one liveness report now and returns the status of the answer.
    pub fn beat(&self) -> Option<u16> {
        let settings = &self.settings;
        let (path, body) = {
            let mut state = self.state.lock().unwrap();
            if state.has_exited {
                return None;
            }
            state.seq += 1;
            state.last_beat = Some(Instant::now());
            let now = Instant::now();
            let left = state
                .cold_until
                .map_or(0, |until| until.saturating_duration_since(now).as_millis() as u64);
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":{},\"state\":\"{}\",\"warmup_left_ms\":{left},\"seq\":{},\"born\":{}}}",
                settings.service,
                settings.app,
                settings.zone,
                settings.slots,
                state.phase,
                state.seq,
                state.born
            );
            (format!("/hyssopdyke/targets/{}", state.id), body)
        };
        let answer = net::call(settings.control, "PUT", &path, &body, Duration::from_secs(1)).ok();
        let status = answer.map(|answer| answer.status);
        if status.is_some_and(|status| (200..300).contains(&status)) {
            self.state.lock().unwrap().acks += 1;
        }
        let name = &settings.name;
        self.record.line(&format!("target {name} reports {body} -> {status:?}"));
        status
    }

    fn run_beats(&self) {
        let mut due = Instant::now();
        while !self.stop.load(Ordering::Relaxed) {
            let now = Instant::now();
            if now < due {
                std::thread::sleep((due - now).min(Duration::from_millis(20)));
                continue;
            }
            let status = self.beat();
            // An agent that is not listening yet is called again soon.
            due = now
                + if status.is_none() { Duration::from_millis(300) } else { self.settings.beat };
        }
    }

    fn run_packets(&self, socket: &UdpSocket) {
        let mut buffer = [0; 2048];
        while !self.stop.load(Ordering::Relaxed) {
            if let Ok((length, _)) = socket.recv_from(&mut buffer) {
                let bytes = &buffer[..length];
                if let Some(packet) = Packet::decode(bytes) {
                    let mut state = self.state.lock().unwrap();
                    if state.has_exited {
                        continue;
                    }
                    let sent = self.take(&mut state, &packet, bytes);
                    drop(state);
                    for bytes in sent {
                        let _ = socket.send_to(&bytes, self.settings.outbound);
                    }
                }
            }
            let sent = self.tick();
            for bytes in sent {
                let _ = socket.send_to(&bytes, self.settings.outbound);
            }
        }
    }

    fn take(&self, state: &mut State, packet: &Packet, bytes: &[u8]) -> Vec<Vec<u8>> {
        let name = &self.settings.name;
        if packet.sum != packet.right_sum() {
            state.forged += 1;
            self.record.line(&format!("target {name} took a forged packet {packet:?}"));
            return Vec::new();
        }
        let key = (packet.src, packet.dst);
        let answer = |flags, seq, ack| Packet::new(packet.dst, packet.src, flags, seq, ack);
        if packet.has(SYN) && !packet.has(ACK) {
            if !state.flows.contains_key(&key) {
                state.openings.push((Instant::now(), packet.src.port()));
                let seq = state.born as u32 ^ (u32::from(packet.src.port()) << 12);
                let flow = Flow {
                    seq,
                    next: packet.seq.wrapping_add(1),
                    is_open: false,
                    is_ended: false,
                    unacked: None,
                    working: None,
                };
                state.flows.insert(key, flow);
            }
            let flow = &state.flows[&key];
            if flow.is_open {
                return Vec::new();
            }
            return vec![answer(SYN | ACK, flow.seq, flow.next).encode()];
        }
        let Some(flow) = state.flows.get_mut(&key) else {
            // Not a flow of this target: returned with BOUNCED, echo unchanged, pad 0.
            let mut returned = bytes.to_vec();
            returned[12] |= BOUNCED;
            returned[13] = 0;
            return vec![returned];
        };
        if flow.is_ended {
            if packet.has(FIN) {
                return vec![answer(ACK, flow.seq, packet.seq.wrapping_add(1)).encode()];
            }
            if !packet.data.is_empty() {
                state.resets += 1;
                self.record.line(&format!("target {name} resets an ended flow {}", packet.src));
                return vec![answer(RST, packet.ack, 0).encode()];
            }
            return Vec::new();
        }
        if !flow.is_open {
            if packet.ack != flow.seq.wrapping_add(1) {
                // The client has opened the flow elsewhere.
                let mut returned = bytes.to_vec();
                returned[12] |= BOUNCED;
                returned[13] = 0;
                return vec![returned];
            }
            flow.is_open = true;
            flow.seq = flow.seq.wrapping_add(1);
        }
        if let Some((sent, ..)) = &flow.unacked
            && packet.ack == sent.seq.wrapping_add(sent.data.len() as u32)
        {
            flow.unacked = None;
        }
        let mut sent = Vec::new();
        if !packet.data.is_empty() {
            if packet.seq == flow.next {
                flow.next = flow.next.wrapping_add(packet.data.len() as u32);
                flow.working = Some((Instant::now() + WORK, packet.data.clone()));
                state.runs += 1;
            }
            sent.push(answer(ACK, flow.seq, flow.next).encode());
        } else if packet.has(FIN) {
            flow.next = packet.seq.wrapping_add(1);
            flow.is_ended = true;
            sent.push(answer(ACK | FIN, flow.seq, flow.next).encode());
            flow.seq = flow.seq.wrapping_add(1);
        }
        sent
    }

    /// Sends what is due: answers of requests that are done, and retransmissions.
    fn tick(&self) -> Vec<Vec<u8>> {
        let now = Instant::now();
        let mut sent = Vec::new();
        let mut state = self.state.lock().unwrap();
        if state.has_exited {
            return sent;
        }
        let name = self.settings.name.clone();
        for ((client, route), flow) in &mut state.flows {
            if flow.working.as_ref().is_some_and(|(due, _)| *due <= now) {
                let (_, request) = flow.working.take().unwrap();
                let mut packet = Packet::new(*route, *client, ACK, flow.seq, flow.next);
                packet.data = format!("{} by {name}", String::from_utf8_lossy(&request)).into();
                flow.seq = flow.seq.wrapping_add(packet.data.len() as u32);
                sent.push(packet.clone().encode());
                let interval = Duration::from_millis(200);
                flow.unacked = Some((packet, now + interval, interval, 0));
            }
            if flow.is_ended {
                flow.unacked = None;
            }
            if let Some((packet, due, interval, tries)) = &mut flow.unacked
                && *due <= now
                && *tries < 8
            {
                sent.push(packet.clone().encode());
                *tries += 1;
                *interval = (*interval * 2).min(Duration::from_millis(1600));
                *due = now + *interval;
            }
        }
        sent
    }
}
