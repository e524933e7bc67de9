//! Send task of one peer, with at most one frame in flight per channel so that a large frame
//! doesn't delay other channels.

use std::sync::Arc;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;

use crate::Channel;
use crate::peer::Peer;

/// Sends the queued messages of one peer.
pub(crate) struct Outbox {
    peer: Arc<Peer>,
    calls: FuturesUnordered<BoxFuture<'static, Channel>>,
    is_busy: [bool; Channel::ALL.len()],
}

impl Outbox {
    pub(crate) fn new(peer: Arc<Peer>) -> Self {
        Self {
            peer,
            calls: FuturesUnordered::new(),
            is_busy: Default::default(),
        }
    }

    /// Sends until the future is dropped; a later `drain` completes the frames in flight.
    pub(crate) async fn run(&mut self) {
        loop {
            self.start_sends();
            tokio::select! {
                Some(channel) = self.calls.next(), if !self.calls.is_empty() => {
                    self.is_busy[channel.index()] = false;
                }
                () = self.peer.wait_for_messages() => {}
            }
        }
    }

    /// Sends until all queues are empty.
    pub(crate) async fn drain(&mut self) {
        self.start_sends();
        while let Some(channel) = self.calls.next().await {
            self.is_busy[channel.index()] = false;
            self.start_sends();
        }
    }

    fn start_sends(&mut self) {
        for channel in Channel::ALL {
            if self.is_busy[channel.index()] {
                continue;
            }
            let bodies = self.peer.pop_batch(channel);
            if bodies.is_empty() {
                continue;
            }
            self.is_busy[channel.index()] = true;
            let peer = Arc::clone(&self.peer);
            self.calls.push(Box::pin(async move {
                peer.send(channel, bodies).await;
                channel
            }));
        }
    }
}
