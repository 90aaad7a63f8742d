//! The connections between control VMs.
//!
//! Each VM opens a connection to each other one and sends on it; what it receives comes on the
//! connections that the others have opened. A message that cannot be sent is dropped, since the
//! log repeats whatever was not answered.
//!
//! Each message is acknowledged on its connection by an empty one. A connection may fall silent
//! for good while new ones work, and whatever lost track of it may still take bytes: one on which
//! nothing is acknowledged is opened anew.

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

/// Bytes of the longest message: a snapshot of the whole state.
const MESSAGE_BYTES: usize = 32 << 20;

/// Messages that may wait for a connection.
const QUEUE: usize = 64;

/// Time for writing a message.
const PATIENCE: Duration = Duration::from_secs(2);

/// Time for the acknowledgement of a message: less than the time after which a follower tries to
/// lead, so that a silent connection costs no leader.
const ACKNOWLEDGING: Duration = Duration::from_millis(400);

/// Pause before a lost connection is opened again.
const RETRY: Duration = Duration::from_millis(100);

/// The connection to one control VM.
struct Peer {
    messages: mpsc::Sender<Message>,
    /// The VM was heard, so that it is worth connecting at once.
    heard: Arc<Notify>,
}

/// Connections to other control VMs.
pub(super) struct Outgoing {
    key: Key,
    peers: HashMap<SocketAddr, Peer>,
}

impl Outgoing {
    pub(super) fn new(key: Key) -> Self {
        Self { key, peers: HashMap::new() }
    }

    /// Sends a message, or drops it where too many wait.
    pub(super) fn send(&mut self, to: SocketAddr, message: Message) {
        let peer = self.peers.entry(to).or_insert_with(|| {
            let (messages, receiver) = mpsc::channel(QUEUE);
            let heard = Arc::new(Notify::new());
            // The task ends once its messages are sent and the peer is dropped.
            tokio::spawn(feed(to, self.key.clone(), receiver, Arc::clone(&heard)));
            Peer { messages, heard }
        });
        let _ = peer.messages.try_send(message);
    }

    /// Notes that a VM was heard: one that was dark when it was connected to is there now, and the
    /// answer to it must not wait for the next attempt, nor be dropped for its age.
    pub(super) fn note_heard(&self, from: &SocketAddr) {
        if let Some(peer) = self.peers.get(from) {
            peer.heard.notify_one();
        }
    }

    /// Closes the connections to all but `peers`.
    pub(super) fn retain(&mut self, peers: impl Fn(&SocketAddr) -> bool) {
        self.peers.retain(|address, _| peers(address));
    }
}

/// Sends messages to one VM, over one connection after another.
async fn feed(to: SocketAddr, key: Key, mut messages: mpsc::Receiver<Message>, heard: Arc<Notify>) {
    while !messages.is_closed() {
        if let Ok(stream) = stream::connect(to).await {
            let codec = Codec::with_max_frame_bytes(key.clone(), MESSAGE_BYTES);
            send_all(&mut messages, Framed::new(stream, codec)).await;
        }
        tokio::select! {
            () = sleep(RETRY) => {}
            () = heard.notified() => continue,
        }
        // What waited meanwhile is out of date.
        while messages.try_recv().is_ok() {}
    }
}

/// Sends messages over a connection until it fails or falls silent.
async fn send_all(
    messages: &mut mpsc::Receiver<Message>,
    mut stream: Framed<TcpStream, Codec<Message>>,
) {
    let mut unanswered: Option<Instant> = None;
    loop {
        let patience =
            unanswered.map_or(ACKNOWLEDGING, |since| ACKNOWLEDGING.saturating_sub(since.elapsed()));
        tokio::select! {
            message = messages.recv() => {
                let Some(message) = message else { return };
                if !matches!(timeout(PATIENCE, stream.send(message)).await, Ok(Ok(()))) {
                    return;
                }
                unanswered = unanswered.or_else(|| Some(Instant::now()));
            }
            acknowledged = stream.next() => {
                if !matches!(acknowledged, Some(Ok(_))) {
                    return;
                }
                unanswered = None;
            }
            () = sleep(patience), if unanswered.is_some() => return,
        }
    }
}

/// Takes messages from other control VMs.
pub(super) async fn serve(listener: TcpListener, key: Key, handle: Handle) -> std::io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        let codec = Codec::<Message>::with_max_frame_bytes(key.clone(), MESSAGE_BYTES);
        let mut stream = Framed::new(stream, codec);
        let inbox = handle.inbox.clone();
        tokio::spawn(async move {
            while let Some(Ok(message)) = stream.next().await {
                if inbox.send(Request::Message(message)).await.is_err() {
                    return;
                }
                let acknowledging = timeout(PATIENCE, stream.send(Message::default()));
                if !matches!(acknowledging.await, Ok(Ok(()))) {
                    return;
                }
            }
        });
    }
}
