//! A small deterministic model of engines and a workload of prompts of different lengths.
//!
//! An engine works in passes. A pass with answers in progress takes many steps, each of which
//! decodes a token of every answer and prefills a chunk of a prompt: the newest helper's part
//! first, then the engine's own prompts in order. An answer's event is sent at the end of a pass.

// Each test and benchmark uses a part of the model.
#![allow(dead_code, missing_docs, unused_imports)]

pub mod engine;
pub mod simulation;
pub mod workload;

pub use simulation::{Outcome, Scenario, simulate};
