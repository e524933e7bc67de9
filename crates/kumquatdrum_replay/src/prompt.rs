//! Generates prompts of a given length, and the answers that stand-in engines give to them.

use kumquatdrum_types::digest;

use crate::trace::Entry;

/// Hexadecimal digits of the prompt's digest in each token of an answer.
const TOKEN_DIGEST_DIGITS: usize = 8;

const WORDS: [&str; 16] = [
    "level",
    "seven",
    "copper",
    "developer",
    "foil",
    "toner",
    "patch",
    "history",
    "naira",
    "swap",
    "notional",
    "fixing",
    "schedule",
    "annex",
    "party",
    "cutoff",
];

/// Scale of generated prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Size {
    /// Factor on the prompt lengths of the trace.
    pub scale: f64,
    /// Bytes of text per token; a small number makes long prompts cheap to send.
    pub bytes_per_token: f64,
}

impl Default for Size {
    fn default() -> Self {
        Self {
            scale: 1.0,
            bytes_per_token: 4.0,
        }
    }
}

impl Size {
    /// Returns the scaled number of tokens, at least one.
    ///
    /// ```
    /// use kumquatdrum_replay::prompt::Size;
    /// let size = Size { scale: 0.01, ..Size::default() };
    /// assert_eq!(size.tokens(100_000), 1_000);
    /// ```
    pub fn tokens(&self, tokens: u64) -> u64 {
        ((tokens as f64 * self.scale) as u64).max(1)
    }

    fn bytes(&self, tokens: u64) -> usize {
        (tokens as f64 * self.scale * self.bytes_per_token) as usize
    }
}

/// Returns the prompt of an entry: its shared prefix, a line with the unique `name`, and words up
/// to its length.
///
/// ```
/// use kumquatdrum_replay::{generator, prompt};
/// let trace = kumquatdrum_replay::generate(&generator::Options::default());
/// let text = prompt::text(&trace[0], "run-1-0", prompt::Size::default());
/// assert!(text.contains("[run-1-0]"));
/// assert!(text.len() as u64 >= 4 * trace[0].prompt_tokens - 16);
/// ```
pub fn text(entry: &Entry, name: &str, size: Size) -> String {
    let length = size.bytes(entry.prompt_tokens);
    let mut text = String::with_capacity(length + name.len() + 16);
    if let Some(prefix) = &entry.prefix {
        text.push_str(prefix);
        fill(&mut text, seed(prefix), size.bytes(entry.prefix_tokens));
    }
    text.push_str("\n[");
    text.push_str(name);
    text.push_str("]\n");
    fill(&mut text, seed(name), length);
    text
}

/// Hashes a name to a seed for [`fill`].
fn seed(name: &str) -> usize {
    name.bytes().fold(0, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    })
}

/// Appends words until the text has the given length.
fn fill(text: &mut String, seed: usize, length: usize) {
    let mut word = seed;
    while text.len() < length {
        text.push_str(WORDS[word % WORDS.len()]);
        text.push(' ');
        // An odd step reaches every word, as their number is a power of two.
        word = word.wrapping_add(seed | 1);
    }
}

/// Returns the answer of a stand-in engine to a prompt with this SHA-256 digest.
///
/// ```
/// let digest = kumquatdrum_types::digest::hex(b"shade card");
/// assert!(kumquatdrum_replay::prompt::answer(&digest, 2).starts_with("t0:"));
/// ```
pub fn answer(prompt_digest: &str, tokens: u32) -> String {
    let digits = &prompt_digest[..TOKEN_DIGEST_DIGITS];
    let tokens: Vec<String> = (0..tokens)
        .map(|index| format!("t{index}:{digits} "))
        .collect();
    tokens.concat()
}

/// Returns the SHA-256 digest of a prompt's text.
pub fn digest(text: &str) -> String {
    digest::hex(text.as_bytes())
}
