//! The command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// A serving layer for prompts of very unlike lengths.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(command), version)]
pub enum Command {
    /// Runs the daemon of one host
    #[bpaf(command)]
    Serve {
        /// The host's settings file
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
}
