//! The thread that writes a replica's batches to its disk.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;

use kumquatdrum_consensus::Batch;

use crate::{Error, Store};

/// Is told of each batch: its sequence number, or why it could not be written. Returns whether
/// somebody still listens.
pub type Callback = Box<dyn Fn(Result<u64, Error>) -> bool + Send>;

/// Writes batches in their order and reports each. It ends after a failure.
#[derive(Debug)]
pub struct Writer {
    batches: Option<Sender<Batch>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread.
    pub fn start(store: Box<dyn Store>, report: Callback) -> std::io::Result<Self> {
        let (batches, received) = channel();
        let thread = std::thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || write(store.as_ref(), &received, &report))?;
        Ok(Self {
            batches: Some(batches),
            thread: Some(thread),
        })
    }

    /// Hands a batch over.
    pub fn write(&self, batch: Batch) {
        if let Some(batches) = &self.batches {
            // The thread ends only after a failure, which it has reported.
            let _ = batches.send(batch);
        }
    }
}

fn write(store: &dyn Store, batches: &Receiver<Batch>, report: &Callback) {
    for batch in batches {
        let sequence = batch.sequence;
        let written = store.write(&[batch]).map(|()| sequence);
        let failed = written.is_err();
        if !report(written) || failed {
            return;
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.batches = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
