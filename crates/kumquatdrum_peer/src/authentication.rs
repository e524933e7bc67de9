//! Frame authentication: HMAC-SHA-256 (RFC 2104) over all fields, keyed by the cluster secret.

use sha2::{Digest, Sha256};

const BLOCK_BYTES: usize = 64;
const INNER_PAD: u8 = 0x36;
const OUTER_PAD: u8 = 0x5c;

/// Message authentication code.
pub type Code = [u8; 32];

/// Incremental computation of a message authentication code.
#[derive(Debug, Clone)]
pub struct Mac {
    inner: Sha256,
    outer: Sha256,
}

impl Mac {
    /// Creates a computation with a key.
    ///
    /// ```
    /// use kumquatdrum_peer::authentication::Mac;
    ///
    /// // RFC 4231, test case 2.
    /// let code = Mac::new(b"Jefe").update(b"what do ya want for nothing?").finish();
    /// assert_eq!(code[..4], [0x5b, 0xdc, 0xc1, 0x46]);
    /// ```
    pub fn new(key: &[u8]) -> Self {
        let mut block = [0; BLOCK_BYTES];
        if key.len() > BLOCK_BYTES {
            block[..32].copy_from_slice(&Sha256::digest(key));
        } else {
            block[..key.len()].copy_from_slice(key);
        }
        Self {
            inner: Sha256::new().chain_update(block.map(|byte| byte ^ INNER_PAD)),
            outer: Sha256::new().chain_update(block.map(|byte| byte ^ OUTER_PAD)),
        }
    }

    /// Appends bytes.
    #[must_use]
    pub fn update(mut self, bytes: &[u8]) -> Self {
        self.inner.update(bytes);
        self
    }

    /// Appends a field prefixed with its length, so that field boundaries are unambiguous.
    #[must_use]
    pub fn update_field(self, bytes: &[u8]) -> Self {
        self.update(&(bytes.len() as u64).to_be_bytes())
            .update(bytes)
    }

    /// Returns the code.
    pub fn finish(self) -> Code {
        self.outer
            .chain_update(self.inner.finalize())
            .finalize()
            .into()
    }
}

/// Returns whether a received code equals the computed one, compared in constant time.
///
/// ```
/// use kumquatdrum_peer::authentication::verify;
/// assert!(verify(&[7; 32], &[7; 32]));
/// assert!(!verify(&[7; 32], &[7; 31]));
/// ```
pub fn verify(computed: &Code, received: &[u8]) -> bool {
    let difference = computed
        .iter()
        .zip(received)
        .fold(0, |sum, (left, right)| sum | (left ^ right));
    received.len() == computed.len() && std::hint::black_box(difference) == 0
}
