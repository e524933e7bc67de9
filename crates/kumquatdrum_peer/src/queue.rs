//! Messages that wait for one peer: a bounded queue for each channel, which drops its oldest.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::Channel;
use crate::frame::BODY_LIMIT;

/// The most messages that wait on one channel of one peer.
pub(crate) const QUEUE_LIMIT: usize = 1_024;
/// The most bytes that wait on one channel of one peer.
pub(crate) const QUEUE_BYTES: usize = 16 << 20;
/// A batch ends with the message that brings it here.
const BATCH_BYTES: usize = 256 << 10;

/// The queues of one peer.
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
    /// Adds a message and returns how many old ones had to go.
    pub(crate) fn push(&mut self, channel: Channel, body: Bytes) -> usize {
        self.channels[channel.index()].push(body)
    }

    /// Takes the messages of the next frame; empty where nothing waits.
    pub(crate) fn pop_batch(&mut self, channel: Channel) -> Vec<Bytes> {
        self.channels[channel.index()].pop_batch()
    }
}

impl Queue {
    fn push(&mut self, body: Bytes) -> usize {
        self.bytes += body.len();
        self.messages.push_back(body);
        let mut dropped = 0;
        while self.messages.len() > QUEUE_LIMIT || self.bytes > QUEUE_BYTES {
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
            if !batch.is_empty() && (bytes >= BATCH_BYTES || bytes + next > BODY_LIMIT) {
                break;
            }
            bytes += next;
            batch.extend(self.pop());
        }
        batch
    }
}
