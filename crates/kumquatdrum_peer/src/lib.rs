//! Other daemons: tonic messages, gossip and consensus transport.
