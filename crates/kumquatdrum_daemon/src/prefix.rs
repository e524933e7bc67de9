//! Hashes of a prompt's blocks, as engines report them in their cache events.

use std::borrow::Cow;

use serde::Deserialize;
use sha2::{Digest, Sha256};

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 1_024;
/// The maximum number of hashed blocks; the rest of a prompt counts as uncached.
const MAX_BLOCKS: usize = 1_024;
/// Leading bytes of the digest that form a block's hash.
const HASH_BYTES: usize = 8;

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

/// Returns the hashes of a prompt's complete blocks in order, each chained to the previous one.
/// `prompt` is the JSON of a request's `prompt` or `messages`; any other JSON gives none.
///
/// ```
/// use kumquatdrum_daemon::prefix::hash_blocks;
/// let prompt = serde_json::to_vec(&"x".repeat(2_500)).unwrap();
/// assert_eq!(hash_blocks(&prompt).len(), 2);
/// assert_eq!(hash_blocks(b"17"), Vec::<u64>::new());
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
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    let chain = blocks.scan(None, |previous, block| {
        let hash = hash_block(*previous, block);
        *previous = Some(hash);
        previous.to_owned()
    });
    chain.collect()
}

fn hash_block(previous: Option<u64>, block: &[u8]) -> u64 {
    let mut hasher = Sha256::new();
    if let Some(previous) = previous {
        hasher.update(format!("{previous:016x}"));
    }
    hasher.update(block);
    let digest = hasher.finalize();
    digest[..HASH_BYTES]
        .iter()
        .fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}
