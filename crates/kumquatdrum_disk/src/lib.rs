//! The data folder: log, vote and snapshot of a control replica.
