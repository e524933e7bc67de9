//! Faults of the network and the disks.

/// The faults of the network, and the longest delays of the network and the disks.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub delay_micros: u64,
    pub sync_micros: u64,
}

pub const NO_FAULTS: Faults = Faults {
    loss_percent: 0,
    duplicate_percent: 0,
    delay_micros: 2_000,
    sync_micros: 3_000,
};
