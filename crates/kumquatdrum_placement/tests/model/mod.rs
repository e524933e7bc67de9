//! A small deterministic model of model engines, with a load of prompts of unlike lengths.
//!
//! An engine works in passes. A pass with answers under way takes many steps, each of which writes
//! a token of every answer and reads a chunk of a prompt; the newest helper's part goes first, then
//! the engine's own prompts in their order. An answer's event leaves at the end of a pass.

// Each test and bench uses its own part of the model.
#![allow(dead_code, missing_docs, unused_imports)]

pub mod engine;
pub mod load;
pub mod play;

pub use play::{Outcome, Scene, play};
