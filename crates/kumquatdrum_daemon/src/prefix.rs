//! Names of a prompt's blocks, as engines name them in their cache events.

use std::borrow::Cow;

use serde::Deserialize;
use sha2::{Digest, Sha256};

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 1_024;
/// The most blocks that are named; what follows counts as uncached.
const MOST_BLOCKS: usize = 1_024;
/// Bytes of a digest that make a block's name.
const NAME_BYTES: usize = 8;

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow, default)]
    content: Cow<'a, str>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt<'a> {
    Text(#[serde(borrow)] Cow<'a, str>),
    Messages(#[serde(borrow)] Vec<Message<'a>>),
}

/// The names of a prompt's whole blocks, from the start on, each chained to the one before it.
/// `prompt` is the JSON of a request's `prompt` or `messages`; of any other shape, there are none.
///
/// ```
/// use kumquatdrum_daemon::prefix::hash_blocks;
/// let prompt = serde_json::to_vec(&"x".repeat(2_500)).unwrap();
/// assert_eq!(blocks(&prompt).len(), 2);
/// assert_eq!(blocks(b"17"), Vec::<u64>::new());
/// ```
pub fn hash_blocks(prompt: &[u8]) -> Vec<u64> {
    let Ok(prompt) = serde_json::from_slice::<Prompt<'_>>(prompt) else {
        return Vec::new();
    };
    let text = match prompt {
        Prompt::Text(text) => text,
        Prompt::Messages(messages) => {
            let contents: Vec<&str> = messages.iter().map(|m| m.content.as_ref()).collect();
            Cow::Owned(contents.join("\n"))
        }
    };
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES).take(MOST_BLOCKS);
    let chain = blocks.scan(None, |previous, block| {
        let name = name(*previous, block);
        *previous = Some(name);
        previous.to_owned()
    });
    chain.collect()
}

fn name(previous: Option<u64>, block: &[u8]) -> u64 {
    let mut hash = Sha256::new();
    if let Some(previous) = previous {
        hash.update(format!("{previous:016x}"));
    }
    hash.update(block);
    let digest = hash.finalize();
    digest[..NAME_BYTES]
        .iter()
        .fold(0, |name, byte| name << 8 | u64::from(*byte))
}
