//! Targets on the side machines: each has one socket for packets and reports to the daemon beside it.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::deployment::{APP, CONTROL, Class, Deployment, OUTBOUND};
use crate::http;
use crate::packet::{ACK, BOUNCED, FIN, Packet, RST, SYN};
use crate::record::Record;

const SLOTS: u32 = 20;
const WORK: Duration = Duration::from_millis(5);
const TICK: Duration = Duration::from_millis(5);
const RETRANSMIT: Duration = Duration::from_millis(200);
const MAX_RETRANSMIT: Duration = Duration::from_millis(1600);
const MAX_TRIES: u32 = 8;

/// A request that a target has run.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) id: String,
    pub(crate) side: u8,
    pub(crate) zone: &'static str,
    /// When the target took the opening packet of the flow.
    pub(crate) opening_at: Instant,
}

/// What all targets share.
#[derive(Clone)]
pub(crate) struct Targets {
    runs: Arc<Mutex<Vec<Run>>>,
    is_stopping: Arc<AtomicBool>,
}

struct Flow {
    opening_at: Instant,
    /// Next number that the target sends.
    seq: u32,
    /// Next number that is expected from the client.
    next: u32,
    is_open: bool,
    is_ended: bool,
    work: Option<(Instant, String)>,
    /// Answer that is not acknowledged: packet, due time, interval, tries.
    unacked: Option<(Packet, Instant, Duration, u32)>,
}

struct Target {
    side: u8,
    zone: &'static str,
    name: String,
    flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
    shared: Targets,
    record: Record,
}

impl Targets {
    /// Starts a target on each side machine.
    pub(crate) fn start(deployment: &Deployment, record: &Record) -> Result<Self, String> {
        let targets = Self { runs: Arc::default(), is_stopping: Arc::default() };
        for side in 0..deployment.layout.side {
            let machine = (Class::Side, side);
            let (app, outbound) = (deployment.at(machine, APP), deployment.at(machine, OUTBOUND));
            let socket = UdpSocket::bind(app).map_err(|error| format!("{app}: {error}"))?;
            socket.set_read_timeout(Some(TICK)).map_err(|error| error.to_string())?;
            serve_health(app)?;
            let zone = deployment.zone(machine);
            let target = Target {
                side,
                zone,
                name: format!("i-{side:08x}"),
                flows: HashMap::new(),
                shared: targets.clone(),
                record: record.clone(),
            };
            let (control, service) = (deployment.at(machine, CONTROL), deployment.service(machine));
            let heartbeat = Duration::from_millis(deployment.layout.heartbeat_ms);
            let (name, stop) = (target.name.clone(), Arc::clone(&targets.is_stopping));
            std::thread::spawn(move || {
                report(&name, app, (service, zone), control, heartbeat, &stop)
            });
            std::thread::spawn(move || target.run(&socket, outbound));
        }
        Ok(targets)
    }

    /// Returns the requests that were run so far.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }
}

/// Reports to the daemon beside the target about once per interval.
fn report(
    name: &str,
    app: SocketAddrV4,
    (service, zone): (&str, &str),
    control: SocketAddrV4,
    heartbeat: Duration,
    stop: &Arc<AtomicBool>,
) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_millis());
    let mut seq = 0;
    while !stop.load(Ordering::Relaxed) {
        seq += 1;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{app}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"warmup_left_ms\":0,\
             \"seq\":{seq},\"born\":{born}}}"
        );
        http::call(control, "PUT", &format!("/hyssopdyke/targets/{name}"), &body);
        std::thread::sleep(heartbeat);
    }
}

/// Answers liveness checks with 200.
fn serve_health(app: SocketAddrV4) -> Result<(), String> {
    let listener = TcpListener::bind(app).map_err(|error| format!("{app}: {error}"))?;
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let _ = stream.read(&mut [0; 1024]);
            let _ = stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        }
    });
    Ok(())
}

impl Target {
    fn run(mut self, socket: &UdpSocket, outbound: SocketAddrV4) {
        let mut buffer = [0; 2048];
        let mut ticked = Instant::now();
        while !self.shared.is_stopping.load(Ordering::Relaxed) {
            let mut sent = Vec::new();
            if let Ok((length, _)) = socket.recv_from(&mut buffer) {
                sent = self.take(&buffer[..length]);
            }
            if ticked.elapsed() >= TICK {
                ticked = Instant::now();
                sent.extend(self.tick(ticked));
            }
            for bytes in sent {
                let _ = socket.send_to(&bytes, outbound);
            }
        }
    }

    /// Handles a packet, and returns the packets that answer it.
    fn take(&mut self, bytes: &[u8]) -> Vec<Vec<u8>> {
        let Some(packet) = Packet::decode(bytes) else {
            self.record.line(&format!("target {} took a forged packet", self.name));
            return Vec::new();
        };
        let now = Instant::now();
        let answer = |flags, seq, ack| Packet {
            seq,
            ack,
            flags,
            src: packet.dst,
            dst: packet.src,
            data: Vec::new(),
        };
        let key = (packet.src, packet.dst);
        if packet.has(SYN) && !packet.has(ACK) {
            let next = packet.seq.wrapping_add(1);
            let is_known =
                self.flows.get(&key).is_some_and(|flow| flow.next == next || flow.is_open);
            if !is_known {
                let seq = (packet.seq ^ u32::from(self.side)).rotate_left(9) ^ 0x5bd1_e995;
                let flow = Flow {
                    opening_at: now,
                    seq,
                    next,
                    is_open: false,
                    is_ended: false,
                    work: None,
                    unacked: None,
                };
                self.flows.insert(key, flow);
            }
            let flow = &self.flows[&key];
            return if flow.is_open {
                Vec::new()
            } else {
                vec![answer(SYN | ACK, flow.seq, flow.next).encode()]
            };
        }
        let is_held = self.flows.get(&key).is_some_and(|flow| {
            flow.is_ended || flow.is_open || packet.ack == flow.seq.wrapping_add(1)
        });
        let Some(flow) = self.flows.get_mut(&key).filter(|_| is_held) else {
            let mut returned = bytes.to_vec();
            returned[12] |= BOUNCED;
            returned[13] = 0;
            return vec![returned];
        };
        if flow.is_ended {
            if packet.has(FIN) {
                return vec![answer(ACK, flow.seq, packet.end()).encode()];
            }
            if packet.data.is_empty() {
                return Vec::new();
            }
            self.record.line(&format!("target {} resets an ended flow", self.name));
            return vec![answer(RST, packet.ack, 0).encode()];
        }
        if !flow.is_open {
            flow.is_open = true;
            flow.seq = flow.seq.wrapping_add(1);
        }
        if flow.unacked.as_ref().is_some_and(|(sent, ..)| packet.ack == sent.end()) {
            flow.unacked = None;
        }
        if packet.has(FIN) {
            flow.is_ended = true;
            flow.next = packet.end();
            let last = answer(ACK | FIN, flow.seq, flow.next);
            flow.seq = last.end();
            return vec![last.encode()];
        }
        if packet.data.is_empty() {
            return Vec::new();
        }
        if packet.seq == flow.next {
            flow.next = packet.end();
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            let id = text.lines().find_map(|line| line.strip_prefix("X-Request-Id: "));
            let id = id.unwrap_or("none").trim().to_owned();
            self.record.line(&format!("target {} in {} runs {id}", self.name, self.zone));
            self.shared.runs.lock().unwrap().push(Run {
                id: id.clone(),
                side: self.side,
                zone: self.zone,
                opening_at: flow.opening_at,
            });
            flow.work = Some((now + WORK, id));
        }
        vec![answer(ACK, flow.seq, flow.next).encode()]
    }

    /// Returns what is due: answers of requests that are done, and retransmissions.
    fn tick(&mut self, now: Instant) -> Vec<Vec<u8>> {
        let mut sent = Vec::new();
        for ((client, route), flow) in &mut self.flows {
            if flow.is_ended {
                continue;
            }
            if let Some((_, id)) = flow.work.take_if(|(due, _)| *due <= now) {
                let body = format!("{id} by {}", self.name);
                let data = format!(
                    "HTTP/1.1 200 OK\r\nX-Server-Signature: {}\r\nContent-Length: {}\r\n\r\n{body}",
                    self.name,
                    body.len()
                );
                let packet = Packet {
                    seq: flow.seq,
                    ack: flow.next,
                    flags: ACK,
                    src: *route,
                    dst: *client,
                    data: data.into_bytes(),
                };
                flow.seq = packet.end();
                sent.push(packet.encode());
                flow.unacked = Some((packet, now + RETRANSMIT, RETRANSMIT, 0));
            }
            if let Some((packet, due, interval, tries)) = &mut flow.unacked
                && *due <= now
                && *tries < MAX_TRIES
            {
                sent.push(packet.encode());
                *tries += 1;
                *interval = (*interval * 2).min(MAX_RETRANSMIT);
                *due = now + *interval;
            }
        }
        sent
    }
}
