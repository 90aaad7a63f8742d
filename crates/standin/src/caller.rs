//! Callers: many requests and streams from one address, each with a recorded outcome.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp;

use crate::stack::Stack;
use crate::upstream::body_bytes;

/// Longest wait for packets before timers are checked.
const MAX_WAIT: Duration = Duration::from_millis(1);

/// Size of a socket's send and receive buffers in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// First local port of the flows.
const FIRST_PORT: u16 = 10_000;

/// Kind of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Requests a number of bytes and expects all of them.
    Request {
        /// Size of the answer's body in bytes.
        bytes: u64,
    },
    /// Receives lines for a time and then closes.
    Stream {
        /// Time between two lines.
        interval: Duration,
        /// Time after which the caller closes.
        length: Duration,
        /// Time between two TCP keep-alive probes, if the caller sends any.
        keep_alive: Option<Duration>,
    },
}

/// One flow of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spec {
    /// Id of the flow, unique in a run.
    pub id: u64,
    /// Address and port of the service.
    pub service: (Ipv4Addr, u16),
    /// Kind of the flow.
    pub kind: Kind,
    /// Time from the start after which the caller gives up.
    pub deadline: Duration,
}

/// Outcome of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete and correct answer, or every line for the whole time.
    Whole {
        /// Upstream that answered; empty for a stream.
        upstream: Box<str>,
        /// Time from the first packet to the end.
        time: Duration,
    },
    /// The connection was refused.
    Refused,
    /// An established connection was reset or closed before its end.
    Broken,
    /// The answer had the id or body of another request, or a stream's line was out of order.
    Wrong,
    /// The deadline passed before the connection was established.
    Unconnected,
    /// The deadline passed on an established connection.
    Unanswered,
}

/// Number of flows with each outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Complete answers and streams.
    pub whole: usize,
    /// Refused connections.
    pub refused: usize,
    /// Broken connections.
    pub broken: usize,
    /// Wrong answers.
    pub wrong: usize,
    /// Connections that were not established in time.
    pub unconnected: usize,
    /// Connections that were established and not answered in time.
    pub unanswered: usize,
}

impl Tally {
    /// Counts the outcomes.
    pub fn new<'a>(outcomes: impl IntoIterator<Item = &'a Outcome>) -> Self {
        let mut tally = Self::default();
        for outcome in outcomes {
            *match outcome {
                Outcome::Whole { .. } => &mut tally.whole,
                Outcome::Refused => &mut tally.refused,
                Outcome::Broken => &mut tally.broken,
                Outcome::Wrong => &mut tally.wrong,
                Outcome::Unconnected => &mut tally.unconnected,
                Outcome::Unanswered => &mut tally.unanswered,
            } += 1;
        }
        tally
    }

    /// Returns the number of all outcomes.
    #[must_use]
    pub const fn total(&self) -> usize {
        let connected = self.whole + self.broken + self.wrong + self.unanswered;
        connected + self.refused + self.unconnected
    }
}

#[derive(Default)]
struct Shared {
    outcomes: Mutex<BTreeMap<u64, Outcome>>,
    established: Mutex<HashMap<u64, u16>>,
    /// Number of local ports that flows use in turn; 0 for no limit.
    ports: AtomicU16,
    stop: AtomicBool,
}

/// Running callers.
pub struct Callers {
    shared: Arc<Shared>,
    specs: mpsc::Sender<Spec>,
    started: u64,
    thread: Option<JoinHandle<()>>,
}

impl Callers {
    /// Starts callers with the address `inner`, which send to a fabric from the address `outer`.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be bound.
    pub fn spawn(
        inner: Ipv4Addr,
        outer: Ipv4Addr,
        fabric: SocketAddr,
        seed: u64,
    ) -> io::Result<Self> {
        let tunnel = UdpSocket::bind((outer, 0))?;
        let (specs, receiver) = mpsc::channel();
        let shared = Arc::new(Shared::default());
        let worker = Worker {
            stack: Stack::new(inner, tunnel, seed)?,
            fabric,
            specs: receiver,
            flows: HashMap::new(),
            next_port: FIRST_PORT,
            shared: Arc::clone(&shared),
        };
        let thread = std::thread::spawn(move || worker.run());
        Ok(Self { shared, specs, started: 0, thread: Some(thread) })
    }

    /// Starts a flow.
    pub fn start(&mut self, spec: Spec) {
        self.started += 1;
        let _ = self.specs.send(spec);
    }

    /// Limits flows to a number of local ports, so that ports are reused.
    pub fn limit_ports(&self, ports: u16) {
        self.shared.ports.store(ports, Ordering::Relaxed);
    }

    /// Returns the local port of each established flow by its id.
    #[must_use]
    pub fn established(&self) -> HashMap<u64, u16> {
        self.shared.established.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the outcomes so far by flow id.
    #[must_use]
    pub fn outcomes(&self) -> BTreeMap<u64, Outcome> {
        self.shared.outcomes.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of flows with each outcome so far.
    #[must_use]
    pub fn tally(&self) -> Tally {
        Tally::new(self.outcomes().values())
    }

    /// Waits until each started flow has an outcome. Returns false if that takes longer than
    /// `timeout`.
    #[must_use]
    pub fn wait_finished(&self, timeout: Duration) -> bool {
        let start = Instant::now();
        while (self.outcomes().len() as u64) < self.started {
            if start.elapsed() > timeout {
                return false;
            }
            std::thread::sleep(MAX_WAIT * 5);
        }
        true
    }
}

impl Drop for Callers {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Flow {
    spec: Spec,
    port: u16,
    start: Instant,
    established: Option<Instant>,
    received: Vec<u8>,
    lines: u64,
}

struct Worker {
    stack: Stack,
    fabric: SocketAddr,
    specs: mpsc::Receiver<Spec>,
    flows: HashMap<SocketHandle, Flow>,
    next_port: u16,
    shared: Arc<Shared>,
}

impl Worker {
    fn run(mut self) {
        while !self.shared.stop.load(Ordering::Relaxed) {
            while let Ok(spec) = self.specs.try_recv() {
                self.open(spec);
            }
            self.stack.poll(self.fabric);
            if self.stack.receive(MAX_WAIT, |_| true).is_err() {
                return;
            }
            self.stack.poll(self.fabric);
            let handles: Vec<SocketHandle> = self.flows.keys().copied().collect();
            for handle in handles {
                if let Some(outcome) = self.advance(handle) {
                    self.finish(handle, outcome);
                }
            }
        }
    }

    fn open(&mut self, spec: Spec) {
        let handle = self.stack.add(BUFFER_BYTES);
        let port = self.next_port;
        let ports = self.shared.ports.load(Ordering::Relaxed);
        let is_last = ports > 0 && port - FIRST_PORT + 1 >= ports;
        let next = port.checked_add(1).filter(|_| !is_last);
        self.next_port = next.unwrap_or(FIRST_PORT);
        if let Kind::Stream { keep_alive: Some(time), .. } = spec.kind {
            let time = smoltcp::time::Duration::from_micros(time.as_micros() as u64);
            self.stack.tcp(handle).set_keep_alive(Some(time));
        }
        self.stack.connect(handle, spec.service, port);
        let (start, established) = (Instant::now(), None);
        let flow = Flow { spec, port, start, established, received: Vec::new(), lines: 0 };
        self.flows.insert(handle, flow);
    }

    fn finish(&mut self, handle: SocketHandle, outcome: Outcome) {
        let Some(flow) = self.flows.remove(&handle) else {
            return;
        };
        let socket = self.stack.tcp(handle);
        if socket.is_open() {
            socket.abort();
            self.stack.poll(self.fabric);
        }
        self.stack.sockets.remove(handle);
        let lock = |error| PoisonError::into_inner(error);
        self.shared.established.lock().unwrap_or_else(lock).remove(&flow.spec.id);
        let lock = |error| PoisonError::into_inner(error);
        self.shared.outcomes.lock().unwrap_or_else(lock).insert(flow.spec.id, outcome);
    }

    fn advance(&mut self, handle: SocketHandle) -> Option<Outcome> {
        let flow = self.flows.get_mut(&handle)?;
        let socket = self.stack.tcp(handle);
        if flow.established.is_none() {
            if socket.state() == tcp::State::Closed {
                return Some(Outcome::Refused);
            }
            if !socket.may_send() {
                return (flow.start.elapsed() > flow.spec.deadline).then_some(Outcome::Unconnected);
            }
            flow.established = Some(Instant::now());
            let _ = socket.send_slice(request_line(&flow.spec).as_bytes());
            let established = &self.shared.established;
            let mut established = established.lock().unwrap_or_else(PoisonError::into_inner);
            established.insert(flow.spec.id, flow.port);
        }
        let _ = socket.recv(|bytes| {
            flow.received.extend_from_slice(bytes);
            (bytes.len(), ())
        });
        match flow.spec.kind {
            Kind::Request { bytes } => check_request(flow, socket, bytes),
            Kind::Stream { interval, length, .. } => check_stream(flow, socket, interval, length),
        }
    }
}

fn request_line(spec: &Spec) -> String {
    match spec.kind {
        Kind::Request { bytes } => format!("R {} {bytes}\n", spec.id),
        Kind::Stream { interval, .. } => format!("S {} {}\n", spec.id, interval.as_millis()),
    }
}

fn check_request(flow: &Flow, socket: &mut tcp::Socket<'_>, bytes: u64) -> Option<Outcome> {
    let end = flow.received.iter().position(|byte| *byte == b'\n');
    if let Some(end) = end {
        let header = String::from_utf8_lossy(&flow.received[..end]).into_owned();
        let words: Vec<&str> = header.split(' ').collect();
        let id = flow.spec.id.to_string();
        let body = &flow.received[end + 1..];
        let has_own_id = words.len() == 3 && words[0] == "A" && words[1] == id;
        let has_own_body =
            body_bytes(flow.spec.id, bytes).zip(body).all(|(expected, byte)| expected == *byte);
        if !has_own_id || !has_own_body || body.len() as u64 > bytes {
            return Some(Outcome::Wrong);
        }
        if body.len() as u64 == bytes && !socket.may_recv() {
            socket.close();
            let (upstream, time) = (words[2].into(), flow.start.elapsed());
            return (socket.state() != tcp::State::CloseWait)
                .then_some(Outcome::Whole { upstream, time });
        }
    }
    check_failure(flow, socket)
}

fn check_stream(
    flow: &mut Flow,
    socket: &mut tcp::Socket<'_>,
    interval: Duration,
    length: Duration,
) -> Option<Outcome> {
    while let Some(end) = flow.received.iter().position(|byte| *byte == b'\n') {
        let line: Vec<u8> = flow.received.drain(..=end).collect();
        let expected = format!("L {} {}\n", flow.spec.id, flow.lines);
        if line != expected.as_bytes() {
            return Some(Outcome::Wrong);
        }
        flow.lines += 1;
    }
    let age = flow.established.map_or(Duration::ZERO, |since| since.elapsed());
    // Lines may be delayed by a few retransmissions, but none may be missing.
    let expected = length.as_millis() / interval.as_millis().max(1);
    if age >= length && u128::from(flow.lines) >= expected {
        return Some(Outcome::Whole { upstream: "".into(), time: flow.start.elapsed() });
    }
    check_failure(flow, socket)
}

fn check_failure(flow: &Flow, socket: &tcp::Socket<'_>) -> Option<Outcome> {
    if !socket.may_recv() && !socket.can_recv() {
        return Some(Outcome::Broken);
    }
    (flow.start.elapsed() > flow.spec.deadline).then_some(Outcome::Unanswered)
}
