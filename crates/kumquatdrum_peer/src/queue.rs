//! Outgoing messages for one peer, in a bounded queue per channel that drops its oldest messages
//! when it is full.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::Channel;
use crate::frame::BODY_LIMIT_BYTES;

/// Maximum number of queued messages on one channel of a peer.
pub(crate) const QUEUE_LIMIT_MESSAGES: usize = 1_024;
/// Maximum number of queued bytes on one channel of a peer.
pub(crate) const QUEUE_LIMIT_BYTES: usize = 16 << 20;
/// Size at which a batch is complete; its last message may exceed it.
const BATCH_BYTES: usize = 256 << 10;

/// Queues of one peer.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    channels: [Queue; Channel::ALL.len()],
}

#[derive(Debug, Default)]
struct Queue {
    messages: VecDeque<Bytes>,
    bytes: usize,
}

impl Queues {
    /// Adds a message and returns the number of messages dropped.
    pub(crate) fn push(&mut self, channel: Channel, body: Bytes) -> usize {
        self.channels[channel.index()].push(body)
    }

    /// Removes and returns the messages of the next frame.
    pub(crate) fn pop_batch(&mut self, channel: Channel) -> Vec<Bytes> {
        self.channels[channel.index()].pop_batch()
    }
}

impl Queue {
    fn push(&mut self, body: Bytes) -> usize {
        self.bytes += body.len();
        self.messages.push_back(body);
        let mut dropped = 0;
        while self.messages.len() > QUEUE_LIMIT_MESSAGES || self.bytes > QUEUE_LIMIT_BYTES {
            self.pop();
            dropped += 1;
        }
        dropped
    }

    fn pop(&mut self) -> Option<Bytes> {
        let body = self.messages.pop_front()?;
        self.bytes -= body.len();
        Some(body)
    }

    fn pop_batch(&mut self) -> Vec<Bytes> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(next) = self.messages.front().map(Bytes::len) {
            if !batch.is_empty() && (bytes >= BATCH_BYTES || bytes + next > BODY_LIMIT_BYTES) {
                break;
            }
            bytes += next;
            batch.extend(self.pop());
        }
        batch
    }
}
