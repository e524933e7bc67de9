//! Copies counts that other parts keep into the metrics.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_peer::{Channel, Counters};
use tokio::sync::watch;

use crate::shell::Shell;

const ROUND: Duration = Duration::from_secs(1);

/// Copies until `stopped` resolves.
pub async fn run(shell: Arc<Shell>, counters: Arc<Counters>, mut stopped: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(ROUND) => copy(&shell, &counters),
            _ = stopped.wait_for(|stopped| *stopped) => return,
        }
    }
}

fn copy(shell: &Shell, counters: &Counters) {
    let metrics = &shell.metrics;
    metrics.body_bytes.set(shell.bodies.used() as i64);
    for channel in Channel::ALL {
        let traffic = counters.read(channel);
        let set = |direction: &str, bytes: u64| {
            let gauge = metrics
                .peer_bytes
                .with_label_values(&[channel.name(), direction]);
            gauge.set(bytes as i64);
        };
        set("sent", traffic.bytes_sent);
        set("received", traffic.bytes_received);
    }
}
