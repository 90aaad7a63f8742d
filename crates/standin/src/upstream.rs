//! An upstream: a server that runs requests in slots and pushes lines on streams.
//!
//! A caller sends one line. `R id bytes` is a request: it takes a slot for the service time and
//! is answered with `A id upstream` and that many bytes. `S id interval_ms` is a stream: a line
//! `L id n` is pushed at each interval until the caller closes.

use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hyssopdyke::request::Packet;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp;

use crate::stack::Stack;

/// Longest wait for packets.
const MAX_WAIT: Duration = Duration::from_millis(1);

/// Sockets that wait for a connection at a time on each port.
const BACKLOG: usize = 64;

/// Bytes of a socket's buffer.
const BUFFER_BYTES: usize = 4096;

/// How an upstream behaves.
#[derive(Debug, Clone, PartialEq)]
pub struct Behavior {
    /// Mean time of a request, exponentially distributed.
    pub service_time: Duration,
    /// All requests take the mean time.
    pub has_constant_time: bool,
    /// Requests that it bears at a time once it is warm.
    pub slots: u32,
    /// Requests that it bears at a time while it is cold.
    pub cold_slots: u32,
    /// Requests that it must answer to become warm; 0 for an upstream that is warm at once.
    pub warming_requests: u32,
    /// Time for which it bears more than it should, while its requests take longer in proportion.
    pub overload_tolerance: Duration,
    /// Time for which it answers nothing after it was given more than it bears.
    pub restart_time: Duration,
    /// Resets each request instead of answering it.
    pub resets_requests: bool,
    /// Counts packets and answers nothing.
    pub is_sink: bool,
}

impl Default for Behavior {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(20),
            has_constant_time: false,
            slots: 5,
            cold_slots: 5,
            warming_requests: 0,
            overload_tolerance: Duration::ZERO,
            restart_time: Duration::from_secs(2),
            resets_requests: false,
            is_sink: false,
        }
    }
}

/// What an upstream has seen.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Times that each request or stream was begun, by id.
    pub runs: HashMap<u64, u32>,
    /// Packets to another address than its service's.
    pub foreign_packets: u64,
    /// Ends that packets came from.
    pub sources: HashSet<SocketAddr>,
    /// Packets of any kind.
    pub packets: u64,
    /// Arrival of the last packet.
    pub last_packet: Option<Instant>,
    /// Requests that run now.
    pub running: u32,
    /// Most requests that ran at a time.
    pub max_running: u32,
    /// Times that it was given more than it bears.
    pub crashes: u32,
    /// Sum of the times that slots were taken.
    pub busy_time: Duration,
    /// Connections that are open now.
    pub connections: usize,
    /// Requests that it was given since it was last made cold.
    pub requests_since_cold: u32,
}

struct Shared {
    stats: Mutex<Stats>,
    behavior: Mutex<Behavior>,
    stop: AtomicBool,
    sink_packets: AtomicU64,
}

impl Shared {
    fn stats(&self) -> std::sync::MutexGuard<'_, Stats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn behavior(&self) -> Behavior {
        self.behavior.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// A running upstream.
pub struct Upstream {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Upstream {
    /// Starts an upstream of a service on a VM, whose answers go to its agent.
    ///
    /// # Errors
    ///
    /// If the socket cannot be bound.
    pub fn spawn(
        name: &str,
        vm: Ipv4Addr,
        agent: SocketAddr,
        service: (Ipv4Addr, &[u16]),
        behavior: Behavior,
        seed: u64,
    ) -> io::Result<Self> {
        let tunnel = UdpSocket::bind((vm, 0))?;
        let address = tunnel.local_addr()?;
        let shared = Arc::new(Shared {
            stats: Mutex::new(Stats::default()),
            behavior: Mutex::new(behavior),
            stop: AtomicBool::new(false),
            sink_packets: AtomicU64::new(0),
        });
        let server = Server {
            name: name.into(),
            service: service.0,
            stack: Stack::new(service.0, tunnel, seed)?,
            agent,
            shared: Arc::clone(&shared),
            listeners: service.1.iter().map(|port| (*port, Vec::new())).collect(),
            connections: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            overloaded_since: None,
            down_until: None,
        };
        let thread = std::thread::spawn(move || server.run());
        Ok(Self { address, shared, thread: Some(thread) })
    }

    /// Where the upstream takes packets.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it has seen so far.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.shared.stats().clone()
    }

    /// Packets that a sink has taken.
    #[must_use]
    pub fn sink_packets(&self) -> u64 {
        self.shared.sink_packets.load(Ordering::Relaxed)
    }

    /// Makes it behave otherwise from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        *self.shared.behavior.lock().unwrap_or_else(PoisonError::into_inner) = behavior;
    }

    /// Makes it cold.
    pub fn make_cold(&self) {
        self.shared.stats().requests_since_cold = 0;
    }

    /// Forgets the highest number of requests at a time.
    pub fn reset_max_running(&self) {
        let mut stats = self.shared.stats();
        stats.max_running = stats.running;
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

enum Work {
    /// The caller's line is not complete.
    Reading(Vec<u8>),
    /// A request runs until an instant, and is then answered.
    Running { since: Instant, until: Instant, answer: Vec<u8> },
    /// The answer is being sent.
    Answering(VecDeque<u8>),
    /// Lines are pushed.
    Streaming { id: u64, interval: Duration, next: Instant, count: u64 },
    /// Nothing is left to do.
    Done,
}

struct Server {
    name: Box<str>,
    service: Ipv4Addr,
    stack: Stack,
    agent: SocketAddr,
    shared: Arc<Shared>,
    listeners: HashMap<u16, Vec<SocketHandle>>,
    connections: HashMap<SocketHandle, Work>,
    rng: SmallRng,
    overloaded_since: Option<Instant>,
    down_until: Option<Instant>,
}

impl Server {
    fn run(mut self) {
        if self.shared.behavior().is_sink {
            return self.discard_packets();
        }
        while !self.shared.stop.load(Ordering::Relaxed) {
            let service = self.service;
            let is_down = self.down_until.is_some_and(|until| Instant::now() < until);
            let shared = Arc::clone(&self.shared);
            let connected = self.stack.remote_endpoints();
            let received = self.stack.receive(MAX_WAIT, |bytes| {
                let parsed = Packet::parse(bytes);
                let mut stats = shared.stats();
                stats.packets += 1;
                stats.sources.extend(parsed.map(|packet| packet.source));
                stats.last_packet = Some(Instant::now());
                let is_foreign = parsed.is_ok_and(|packet| packet.destination.ip() != service);
                stats.foreign_packets += u64::from(is_foreign);
                // The stack would give a copy of a SYN to a socket that listens, and so open a
                // second connection between the same ends.
                let is_copy = parsed.is_ok_and(|packet| {
                    packet.segment.is_some_and(|segment| segment.is_opening())
                        && connected.contains(&packet.source)
                });
                !is_down && !is_copy
            });
            if received.is_err() {
                return;
            }
            if is_down {
                continue;
            }
            self.down_until = None;
            self.listen();
            self.stack.poll(self.agent);
            self.accept();
            self.advance_connections();
            self.stack.poll(self.agent);
        }
    }

    fn discard_packets(self) {
        while !self.shared.stop.load(Ordering::Relaxed) {
            let taken = self.stack.discard(MAX_WAIT);
            self.shared.sink_packets.fetch_add(taken, Ordering::Relaxed);
        }
    }

    fn listen(&mut self) {
        for (port, handles) in &mut self.listeners {
            while handles.len() < BACKLOG {
                let handle = self.stack.add(BUFFER_BYTES);
                if self.stack.tcp(handle).listen(*port).is_err() {
                    return;
                }
                handles.push(handle);
            }
        }
    }

    fn accept(&mut self) {
        for handles in self.listeners.values_mut() {
            let stack = &mut self.stack;
            let connections = &mut self.connections;
            handles.retain(|handle| {
                let is_waiting = matches!(
                    stack.tcp(*handle).state(),
                    tcp::State::Listen | tcp::State::SynReceived
                );
                if !is_waiting {
                    connections.insert(*handle, Work::Reading(Vec::new()));
                }
                is_waiting
            });
        }
    }

    fn advance_connections(&mut self) {
        self.check_overload();
        if self.down_until.is_some() {
            return self.crash();
        }
        let handles: Vec<SocketHandle> = self.connections.keys().copied().collect();
        for handle in handles {
            let Some(work) = self.connections.remove(&handle) else {
                continue;
            };
            // A kernel lets the ends of a connection that waits for late packets be used again.
            let is_waiting = self.stack.tcp(handle).state() == tcp::State::TimeWait;
            if is_waiting || !self.stack.tcp(handle).is_open() {
                if let Work::Running { since, .. } = work {
                    self.finish_run(since);
                }
                self.stack.sockets.remove(handle);
                continue;
            }
            let work = self.advance(handle, work);
            self.connections.insert(handle, work);
            if self.down_until.is_some() {
                return self.crash();
            }
        }
        self.shared.stats().connections = self.connections.len();
    }

    fn advance(&mut self, handle: SocketHandle, work: Work) -> Work {
        match work {
            Work::Reading(line) => self.read_line(handle, line),
            Work::Running { since, until, answer } if Instant::now() >= until => {
                self.finish_run(since);
                Work::Answering(answer.into())
            }
            Work::Answering(mut rest) => {
                let socket = self.stack.tcp(handle);
                let sent = socket.send_slice(rest.make_contiguous()).unwrap_or(0);
                rest.drain(..sent);
                if rest.is_empty() {
                    socket.close();
                    return Work::Done;
                }
                Work::Answering(rest)
            }
            Work::Streaming { id, interval, next, count } => {
                let socket = self.stack.tcp(handle);
                if !socket.may_recv() {
                    socket.close();
                    return Work::Done;
                }
                if Instant::now() < next {
                    return Work::Streaming { id, interval, next, count };
                }
                let line = format!("L {id} {count}\n");
                let _ = socket.send_slice(line.as_bytes());
                Work::Streaming { id, interval, next: next + interval, count: count + 1 }
            }
            Work::Done => {
                // A caller that closes late has nothing more to say.
                let _ = self.stack.tcp(handle).recv(|bytes| (bytes.len(), ()));
                Work::Done
            }
            running @ Work::Running { .. } => running,
        }
    }

    fn read_line(&mut self, handle: SocketHandle, mut line: Vec<u8>) -> Work {
        let socket = self.stack.tcp(handle);
        let _ = socket.recv(|bytes| {
            line.extend_from_slice(bytes);
            (bytes.len(), ())
        });
        if line.last() != Some(&b'\n') {
            if !socket.may_recv() {
                socket.close();
            }
            return Work::Reading(line);
        }
        let text = String::from_utf8_lossy(&line).into_owned();
        let words: Vec<&str> = text.split_whitespace().collect();
        let number = |index: usize| words.get(index).and_then(|word| word.parse::<u64>().ok());
        match (words.first().copied(), number(1), number(2)) {
            (Some("R"), Some(id), Some(bytes)) => self.start_request(handle, id, bytes),
            (Some("S"), Some(id), Some(millis)) => {
                *self.shared.stats().runs.entry(id).or_default() += 1;
                let interval = Duration::from_millis(millis);
                Work::Streaming { id, interval, next: Instant::now(), count: 0 }
            }
            _ => {
                self.stack.tcp(handle).abort();
                Work::Done
            }
        }
    }

    fn start_request(&mut self, handle: SocketHandle, id: u64, bytes: u64) -> Work {
        let behavior = self.shared.behavior();
        if behavior.resets_requests {
            self.stack.tcp(handle).abort();
            return Work::Done;
        }
        let exponential = -(1.0 - self.rng.random::<f64>()).ln();
        let factor = if behavior.has_constant_time { 1.0 } else { exponential };
        let time = behavior.service_time.mul_f64(factor);
        let mut stats = self.shared.stats();
        *stats.runs.entry(id).or_default() += 1;
        stats.running += 1;
        stats.requests_since_cold += 1;
        stats.max_running = stats.max_running.max(stats.running);
        let capacity = capacity(&behavior, &stats);
        let overload = (f64::from(stats.running) / f64::from(capacity)).max(1.0);
        let time = time.mul_f64(overload);
        drop(stats);
        self.check_overload();
        let since = Instant::now();
        Work::Running { since, until: since + time, answer: encode_answer(&self.name, id, bytes) }
    }

    /// Falls once it has borne too much for too long.
    fn check_overload(&mut self) {
        let behavior = self.shared.behavior();
        let mut stats = self.shared.stats();
        if stats.running <= capacity(&behavior, &stats) {
            self.overloaded_since = None;
            return;
        }
        let now = Instant::now();
        let since = *self.overloaded_since.get_or_insert(now);
        if now.duration_since(since) >= behavior.overload_tolerance {
            stats.crashes += 1;
            self.overloaded_since = None;
            self.down_until = Some(now + behavior.restart_time);
        }
    }

    fn finish_run(&mut self, since: Instant) {
        let mut stats = self.shared.stats();
        stats.busy_time += since.elapsed();
        stats.running = stats.running.saturating_sub(1);
    }

    /// Loses all connections, as a server does that was given more than it bears.
    fn crash(&mut self) {
        for (handle, _) in self.connections.drain() {
            self.stack.tcp(handle).abort();
        }
        self.stack.poll(self.agent);
        self.shared.stats().running = 0;
        self.shared.stats().requests_since_cold = 0;
    }
}

/// Requests that an upstream bears now.
const fn capacity(behavior: &Behavior, stats: &Stats) -> u32 {
    let is_warm = stats.requests_since_cold >= behavior.warming_requests;
    if is_warm { behavior.slots } else { behavior.cold_slots }
}

/// The whole answer to a request.
pub(crate) fn encode_answer(upstream: &str, id: u64, bytes: u64) -> Vec<u8> {
    let mut answer = format!("A {id} {upstream}\n").into_bytes();
    answer.extend(body_bytes(id, bytes));
    answer
}

/// The bytes that a request asked for, which depend on its id.
pub(crate) fn body_bytes(id: u64, bytes: u64) -> impl Iterator<Item = u8> {
    (0..bytes).map(move |index| (id.wrapping_mul(31).wrapping_add(index) % 251) as u8)
}
