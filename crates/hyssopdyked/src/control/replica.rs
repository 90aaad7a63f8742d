//! The connections between control VMs.
//!
//! Each VM opens a connection to each other VM to send messages, and receives messages on the
//! connections that the others have opened. A message that cannot be sent is dropped, since the log
//! retries messages without an answer.
//!
//! Each message is acknowledged on its connection by an empty message. A connection may stop
//! working for good while new connections work, and whatever dropped its state may still accept
//! bytes. A connection without acknowledgements is therefore closed and opened again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::{SinkExt, StreamExt};
use hyssopdyke_wire::ledger::Message;
use hyssopdyke_wire::{Codec, Key};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use super::handle::{Handle, Request};
use crate::stream;

/// Maximum size of a message in bytes. The longest message is a snapshot of the whole state.
const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// Capacity of the message queue of a connection.
const QUEUE_LENGTH: usize = 64;

/// Timeout for writing a message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for the acknowledgement of a message: less than the minimum election timeout, so that a
/// connection that stopped working does not cause an election.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay before a lost connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// The connection to one control VM.
struct Peer {
    messages: mpsc::Sender<Message>,
    /// Notified when the VM has sent a message, so that a connection is attempted at once.
    reachable: Arc<Notify>,
}

/// Connections to other control VMs.
pub(super) struct Connections {
    key: Key,
    peers: HashMap<SocketAddr, Peer>,
}

impl Connections {
    pub(super) fn new(key: Key) -> Self {
        Self { key, peers: HashMap::new() }
    }

    /// Queues a message, or drops it if the queue is full.
    pub(super) fn send(&mut self, to: SocketAddr, message: Message) {
        let peer = self.peers.entry(to).or_insert_with(|| {
            let (messages, receiver) = mpsc::channel(QUEUE_LENGTH);
            let reachable = Arc::new(Notify::new());
            // The task ends once the peer is dropped and its messages are sent.
            tokio::spawn(run_connection(to, self.key.clone(), receiver, Arc::clone(&reachable)));
            Peer { messages, reachable }
        });
        let _ = peer.messages.try_send(message);
    }

    /// Starts a connection attempt without delay, because the VM has just sent a message.
    ///
    /// If the VM was down at the last attempt, the answer to its message must neither wait for the
    /// next attempt nor be dropped as out of date.
    pub(super) fn notify_reachable(&self, from: &SocketAddr) {
        if let Some(peer) = self.peers.get(from) {
            peer.reachable.notify_one();
        }
    }

    /// Closes the connections to all addresses for which `is_peer` returns false.
    pub(super) fn retain(&mut self, is_peer: impl Fn(&SocketAddr) -> bool) {
        self.peers.retain(|address, _| is_peer(address));
    }
}

/// Sends messages to one VM, and reconnects whenever the connection is lost.
async fn run_connection(
    to: SocketAddr,
    key: Key,
    mut messages: mpsc::Receiver<Message>,
    reachable: Arc<Notify>,
) {
    while !messages.is_closed() {
        if let Ok(stream) = stream::connect(to).await {
            let codec = Codec::with_max_frame_bytes(key.clone(), MAX_MESSAGE_BYTES);
            send_until_closed(&mut messages, Framed::new(stream, codec)).await;
        }
        tokio::select! {
            () = sleep(RECONNECT_DELAY) => {}
            () = reachable.notified() => continue,
        }
        // Messages queued in the meantime are out of date.
        while messages.try_recv().is_ok() {}
    }
}

/// Sends messages over a connection until it fails or an acknowledgement times out.
async fn send_until_closed(
    messages: &mut mpsc::Receiver<Message>,
    mut stream: Framed<TcpStream, Codec<Message>>,
) {
    let mut unacknowledged_since: Option<Instant> = None;
    loop {
        let remaining = unacknowledged_since
            .map_or(ACK_TIMEOUT, |since| ACK_TIMEOUT.saturating_sub(since.elapsed()));
        tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else { return };
                if !matches!(timeout(WRITE_TIMEOUT, stream.send(message)).await, Ok(Ok(()))) {
                    return;
                }
                unacknowledged_since = unacknowledged_since.or_else(|| Some(Instant::now()));
            }
            acknowledged = stream.next() => {
                if !matches!(acknowledged, Some(Ok(_))) {
                    return;
                }
                unacknowledged_since = None;
            }
            () = sleep(remaining), if unacknowledged_since.is_some() => return,
        }
    }
}

/// Receives messages from other control VMs.
pub(super) async fn serve(listener: TcpListener, key: Key, handle: Handle) -> std::io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        let codec = Codec::<Message>::with_max_frame_bytes(key.clone(), MAX_MESSAGE_BYTES);
        let mut stream = Framed::new(stream, codec);
        let inbox = handle.inbox.clone();
        tokio::spawn(async move {
            while let Some(Ok(message)) = stream.next().await {
                if inbox.send(Request::Message(message)).await.is_err() {
                    return;
                }
                let acknowledged = timeout(WRITE_TIMEOUT, stream.send(Message::default()));
                if !matches!(acknowledged.await, Ok(Ok(()))) {
                    return;
                }
            }
        });
    }
}
