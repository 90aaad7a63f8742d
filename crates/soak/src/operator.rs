//! An operator that writes continuously and records the acknowledged writes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use hyssopctl::{Client, Precondition};
use hyssopdyke_wire::resource::{Kind, Resource, resource::Body};

/// Pause between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(150);

/// Progress of the operator's writes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Written {
    /// Number of the last acknowledged write.
    pub(crate) acknowledged: u32,
    /// Number of the last write sent.
    pub(crate) sent: u32,
    /// Count of acknowledged writes.
    pub(crate) count: u32,
}

/// A running operator.
pub(crate) struct Operator {
    written: Arc<Mutex<Written>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Operator {
    /// Connection limit that the service declares initially. Write number `n` declares `n` more.
    pub(crate) const INITIAL_CONNECTIONS: u32 = 2000;

    /// Starts to write a service that is already declared.
    pub(crate) fn spawn(client: Client, service: Resource) -> Self {
        let written = Arc::new(Mutex::new(Written::default()));
        let stop = Arc::new(AtomicBool::new(false));
        let (shared, stopped) = (Arc::clone(&written), Arc::clone(&stop));
        let thread =
            std::thread::spawn(move || write_repeatedly(&client, service, &shared, &stopped));
        Self { written, stop, thread: Some(thread) }
    }

    /// Returns the progress so far.
    pub(crate) fn written(&self) -> Written {
        *lock(&self.written)
    }

    /// Returns the number of the write that a service results from.
    pub(crate) fn write_number(service: &Resource) -> u32 {
        match &service.body {
            Some(Body::Service(service)) => {
                service.connections.saturating_sub(Self::INITIAL_CONNECTIONS)
            }
            _ => 0,
        }
    }
}

impl Drop for Operator {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the operator's thread needs no further handling here.
            let _ = thread.join();
        }
    }
}

fn write_repeatedly(
    client: &Client,
    mut resource: Resource,
    written: &Mutex<Written>,
    stop: &AtomicBool,
) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        if let Some(Body::Service(service)) = &mut resource.body {
            service.connections = Operator::INITIAL_CONNECTIONS + number;
        }
        lock(written).sent = number;
        let key = Client::idempotency_key();
        // A write without acknowledgement may or may not have been applied.
        if client.put(Kind::Service, &resource, Precondition::None, &key).is_ok() {
            let mut written = lock(written);
            written.acknowledged = number;
            written.count += 1;
        }
        std::thread::sleep(WRITE_INTERVAL);
    }
}

fn lock(written: &Mutex<Written>) -> MutexGuard<'_, Written> {
    // A panic leaves no partial update, because the fields are independent integers.
    written.lock().unwrap_or_else(PoisonError::into_inner)
}
