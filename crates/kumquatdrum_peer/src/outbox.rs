//! The task of one peer: at most one frame under way on each channel, so that a large frame of
//! one channel never holds up another channel.

use std::sync::Arc;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;

use crate::Channel;
use crate::peer::Peer;

/// Sends what is queued for one peer.
pub(crate) struct Outbox {
    peer: Arc<Peer>,
    calls: FuturesUnordered<BoxFuture<'static, Channel>>,
    busy: [bool; Channel::ALL.len()],
}

impl Outbox {
    pub(crate) fn new(peer: Arc<Peer>) -> Self {
        Self {
            peer,
            calls: FuturesUnordered::new(),
            busy: Default::default(),
        }
    }

    /// Sends until the future is dropped; frames under way go on in a later `drain`.
    pub(crate) async fn run(&mut self) {
        loop {
            self.start_sends();
            tokio::select! {
                Some(channel) = self.calls.next(), if !self.calls.is_empty() => {
                    self.busy[channel.index()] = false;
                }
                () = self.peer.wait_for_messages() => {}
            }
        }
    }

    /// Sends until nothing is left.
    pub(crate) async fn drain(&mut self) {
        self.start_sends();
        while let Some(channel) = self.calls.next().await {
            self.busy[channel.index()] = false;
            self.start_sends();
        }
    }

    fn start_sends(&mut self) {
        for channel in Channel::ALL {
            if self.busy[channel.index()] {
                continue;
            }
            let bodies = self.peer.pop_batch(channel);
            if bodies.is_empty() {
                continue;
            }
            self.busy[channel.index()] = true;
            let peer = Arc::clone(&self.peer);
            self.calls.push(Box::pin(async move {
                peer.send(channel, bodies).await;
                channel
            }));
        }
    }
}
