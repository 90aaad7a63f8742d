//! A fabric that sends each packet to a random entry.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use hyssopdyke::request::Packet;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Interval at which an idle fabric checks for a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Largest datagram in bytes.
const DATAGRAM_BYTES: usize = 2048;

/// Faults that the fabric injects into callers' packets.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Faults {
    /// Share of packets that are dropped, from 0 to 1.
    pub loss: f64,
    /// Share of packets that are sent twice, each copy to a random entry, from 0 to 1.
    pub duplicates: f64,
}

#[derive(Debug, Default)]
struct State {
    entries: Vec<SocketAddr>,
    callers: HashMap<IpAddr, SocketAddr>,
    faults: Faults,
    /// Caller ports whose packets are dropped in both directions.
    dropped_ports: Vec<u16>,
}

/// A running fabric.
#[derive(Debug)]
pub struct Fabric {
    state: Arc<Mutex<State>>,
    caller_address: SocketAddr,
    agent_address: SocketAddr,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Fabric {
    /// Starts a fabric on `address`, with a seed for its random choices.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be bound.
    pub fn spawn(address: Ipv4Addr, seed: u64) -> io::Result<Self> {
        let callers = socket(address)?;
        let agents = socket(address)?;
        let (caller_address, agent_address) = (callers.local_addr()?, agents.local_addr()?);
        let state = Arc::new(Mutex::new(State::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let sender = callers.try_clone()?;
        let inbound = {
            let (state, stop) = (Arc::clone(&state), Arc::clone(&stop));
            std::thread::spawn(move || forward_to_entries(&callers, &state, &stop, seed))
        };
        let outbound = {
            let (state, stop) = (Arc::clone(&state), Arc::clone(&stop));
            std::thread::spawn(move || forward_to_callers(&agents, &sender, &state, &stop))
        };
        Ok(Self { state, caller_address, agent_address, stop, threads: vec![inbound, outbound] })
    }

    /// Returns the address to which callers send packets.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address to which agents send answers.
    #[must_use]
    pub const fn agent_address(&self) -> SocketAddr {
        self.agent_address
    }

    /// Sets the entries that receive packets.
    pub fn set_entries(&self, entries: impl IntoIterator<Item = SocketAddr>) {
        self.state().entries = entries.into_iter().collect();
    }

    /// Sets the faults for all packets from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Drops all packets of a caller's port from now on, in both directions.
    pub fn drop_port(&self, port: u16) {
        self.state().dropped_ports.push(port);
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Fabric {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn socket(address: Ipv4Addr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((address, 0))?;
    socket.set_read_timeout(Some(POLL_INTERVAL))?;
    Ok(socket)
}

fn forward_to_entries(socket: &UdpSocket, state: &Mutex<State>, stop: &AtomicBool, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut buffer = [0; DATAGRAM_BYTES];
    while !stop.load(Ordering::Relaxed) {
        let Ok((length, from)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let Ok(packet) = Packet::parse(&buffer[..length]) else {
            continue;
        };
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.callers.insert(packet.source.ip(), from);
        let is_lost = state.dropped_ports.contains(&packet.source.port());
        if is_lost || state.entries.is_empty() || rng.random_bool(state.faults.loss) {
            continue;
        }
        let copies = 1 + u32::from(rng.random_bool(state.faults.duplicates));
        for _ in 0..copies {
            let entry = state.entries[rng.random_range(0..state.entries.len())];
            let _ = socket.send_to(&buffer[..length], entry);
        }
    }
}

fn forward_to_callers(
    socket: &UdpSocket,
    sender: &UdpSocket,
    state: &Mutex<State>,
    stop: &AtomicBool,
) {
    let mut buffer = [0; DATAGRAM_BYTES];
    while !stop.load(Ordering::Relaxed) {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let Ok(packet) = Packet::parse(&buffer[..length]) else {
            continue;
        };
        let state = state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_lost = state.dropped_ports.contains(&packet.destination.port());
        if let Some(caller) = state.callers.get(&packet.destination.ip()).filter(|_| !is_lost) {
            let _ = sender.send_to(&buffer[..length], *caller);
        }
    }
}
