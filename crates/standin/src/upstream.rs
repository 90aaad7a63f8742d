//! An upstream: a server that runs requests in slots and sends lines on streams.
//!
//! A caller sends one line. `R id bytes` is a request: it occupies a slot for the service time,
//! and its answer is `A id upstream` followed by that many bytes. `S id interval_ms` is a stream:
//! the upstream sends a line `L id n` at each interval until the caller closes.

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

/// Longest wait for packets before timers are checked.
const MAX_WAIT: Duration = Duration::from_millis(1);

/// Number of listening sockets on each port.
const BACKLOG: usize = 64;

/// Size of a socket's send and receive buffers in bytes.
const BUFFER_BYTES: usize = 4096;

/// Behavior of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Behavior {
    /// Mean time to run a request; the times are exponentially distributed.
    pub service_time: Duration,
    /// Whether all requests take the mean time.
    pub has_constant_time: bool,
    /// Number of concurrent requests that a warm upstream can run.
    pub slots: u32,
    /// Number of concurrent requests that a cold upstream can run.
    pub cold_slots: u32,
    /// Number of requests after which a cold upstream is warm; 0 for an upstream that starts warm.
    pub warming_requests: u32,
    /// Time for which the upstream tolerates overload before it crashes. Meanwhile its requests
    /// take longer in proportion to the overload.
    pub overload_tolerance: Duration,
    /// Time for which the upstream drops all packets after a crash.
    pub restart_time: Duration,
    /// Whether the upstream resets each request instead of answering it.
    pub resets_requests: bool,
    /// Whether the upstream only counts packets and answers none.
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

/// Statistics of an upstream.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Number of times that each request or stream was started, by id.
    pub runs: HashMap<u64, u32>,
    /// Number of packets with another destination address than the service's.
    pub foreign_packets: u64,
    /// Source addresses of all packets.
    pub sources: HashSet<SocketAddr>,
    /// Number of packets of any kind.
    pub packets: u64,
    /// Arrival of the last packet.
    pub last_packet: Option<Instant>,
    /// Number of requests that are running.
    pub running: u32,
    /// Highest number of concurrent requests.
    pub max_running: u32,
    /// Number of crashes from overload.
    pub crashes: u32,
    /// Sum of the times for which slots were occupied.
    pub busy_time: Duration,
    /// Number of open connections.
    pub connections: usize,
    /// Number of requests started since the upstream was last cold.
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
    /// Starts an upstream of a service on a VM. Its answers go to `agent`.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be bound.
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

    /// Returns the address on which the upstream receives packets.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the statistics so far.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.shared.stats().clone()
    }

    /// Returns the number of packets that a sink has received.
    #[must_use]
    pub fn sink_packets(&self) -> u64 {
        self.shared.sink_packets.load(Ordering::Relaxed)
    }

    /// Replaces the behavior.
    pub fn set_behavior(&self, behavior: Behavior) {
        *self.shared.behavior.lock().unwrap_or_else(PoisonError::into_inner) = behavior;
    }

    /// Makes the upstream cold.
    pub fn make_cold(&self) {
        self.shared.stats().requests_since_cold = 0;
    }

    /// Resets the highest number of concurrent requests to the current number.
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

/// State of a connection.
enum State {
    /// The caller's line is incomplete.
    Reading(Vec<u8>),
    /// A request runs until `until` and is then answered.
    Running { since: Instant, until: Instant, answer: Vec<u8> },
    /// The answer is being sent.
    Answering(VecDeque<u8>),
    /// A line is sent at each interval.
    Streaming { id: u64, interval: Duration, next: Instant, count: u64 },
    /// The connection is closing.
    Done,
}

struct Server {
    name: Box<str>,
    service: Ipv4Addr,
    stack: Stack,
    agent: SocketAddr,
    shared: Arc<Shared>,
    listeners: HashMap<u16, Vec<SocketHandle>>,
    connections: HashMap<SocketHandle, State>,
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
                // The stack would pass a duplicate SYN to a listening socket, which would open a
                // second connection between the same endpoints.
                let is_duplicate = parsed.is_ok_and(|packet| {
                    packet.segment.is_some_and(|segment| segment.is_opening())
                        && connected.contains(&packet.source)
                });
                !is_down && !is_duplicate
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
            let count = self.stack.discard(MAX_WAIT);
            self.shared.sink_packets.fetch_add(count, Ordering::Relaxed);
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
                    connections.insert(*handle, State::Reading(Vec::new()));
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
            let Some(state) = self.connections.remove(&handle) else {
                continue;
            };
            // As in a kernel, the endpoints of a connection in TIME-WAIT can be reused.
            let is_waiting = self.stack.tcp(handle).state() == tcp::State::TimeWait;
            if is_waiting || !self.stack.tcp(handle).is_open() {
                if let State::Running { since, .. } = state {
                    self.finish_run(since);
                }
                self.stack.sockets.remove(handle);
                continue;
            }
            let state = self.advance(handle, state);
            self.connections.insert(handle, state);
            if self.down_until.is_some() {
                return self.crash();
            }
        }
        self.shared.stats().connections = self.connections.len();
    }

    fn advance(&mut self, handle: SocketHandle, state: State) -> State {
        match state {
            State::Reading(line) => self.read_line(handle, line),
            State::Running { since, until, answer } if Instant::now() >= until => {
                self.finish_run(since);
                State::Answering(answer.into())
            }
            State::Answering(mut unsent) => {
                let socket = self.stack.tcp(handle);
                let sent = socket.send_slice(unsent.make_contiguous()).unwrap_or(0);
                unsent.drain(..sent);
                if unsent.is_empty() {
                    socket.close();
                    return State::Done;
                }
                State::Answering(unsent)
            }
            State::Streaming { id, interval, next, count } => {
                let socket = self.stack.tcp(handle);
                if !socket.may_recv() {
                    socket.close();
                    return State::Done;
                }
                if Instant::now() < next {
                    return State::Streaming { id, interval, next, count };
                }
                let line = format!("L {id} {count}\n");
                let _ = socket.send_slice(line.as_bytes());
                State::Streaming { id, interval, next: next + interval, count: count + 1 }
            }
            State::Done => {
                // Data from a caller that has not closed yet is discarded.
                let _ = self.stack.tcp(handle).recv(|bytes| (bytes.len(), ()));
                State::Done
            }
            running @ State::Running { .. } => running,
        }
    }

    fn read_line(&mut self, handle: SocketHandle, mut line: Vec<u8>) -> State {
        let socket = self.stack.tcp(handle);
        let _ = socket.recv(|bytes| {
            line.extend_from_slice(bytes);
            (bytes.len(), ())
        });
        if line.last() != Some(&b'\n') {
            if !socket.may_recv() {
                socket.close();
            }
            return State::Reading(line);
        }
        let text = String::from_utf8_lossy(&line).into_owned();
        let words: Vec<&str> = text.split_whitespace().collect();
        let number = |index: usize| words.get(index).and_then(|word| word.parse::<u64>().ok());
        match (words.first().copied(), number(1), number(2)) {
            (Some("R"), Some(id), Some(bytes)) => self.start_request(handle, id, bytes),
            (Some("S"), Some(id), Some(millis)) => {
                *self.shared.stats().runs.entry(id).or_default() += 1;
                let interval = Duration::from_millis(millis);
                State::Streaming { id, interval, next: Instant::now(), count: 0 }
            }
            _ => {
                self.stack.tcp(handle).abort();
                State::Done
            }
        }
    }

    fn start_request(&mut self, handle: SocketHandle, id: u64, bytes: u64) -> State {
        let behavior = self.shared.behavior();
        if behavior.resets_requests {
            self.stack.tcp(handle).abort();
            return State::Done;
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
        State::Running { since, until: since + time, answer: encode_answer(&self.name, id, bytes) }
    }

    /// Starts a crash if the overload has lasted for the tolerated time.
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

    /// Resets all connections and makes the upstream cold, as an overloaded server does on a crash.
    fn crash(&mut self) {
        for (handle, _) in self.connections.drain() {
            self.stack.tcp(handle).abort();
        }
        self.stack.poll(self.agent);
        self.shared.stats().running = 0;
        self.shared.stats().requests_since_cold = 0;
    }
}

/// Returns the number of concurrent requests that the upstream can run now.
const fn capacity(behavior: &Behavior, stats: &Stats) -> u32 {
    let is_warm = stats.requests_since_cold >= behavior.warming_requests;
    if is_warm { behavior.slots } else { behavior.cold_slots }
}

/// Returns the complete answer to a request.
pub(crate) fn encode_answer(upstream: &str, id: u64, bytes: u64) -> Vec<u8> {
    let mut answer = format!("A {id} {upstream}\n").into_bytes();
    answer.extend(body_bytes(id, bytes));
    answer
}

/// Returns the body of an answer, whose bytes depend on the request's id.
pub(crate) fn body_bytes(id: u64, bytes: u64) -> impl Iterator<Item = u8> {
    (0..bytes).map(move |index| (id.wrapping_mul(31).wrapping_add(index) % 251) as u8)
}
