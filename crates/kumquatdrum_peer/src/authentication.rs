//! Proof of the cluster secret: HMAC-SHA-256 (RFC 2104) over all fields of a frame.

use sha2::{Digest, Sha256};

const BLOCK_BYTES: usize = 64;
const INNER_PAD: u8 = 0x36;
const OUTER_PAD: u8 = 0x5c;

/// An authentication code.
pub type Code = [u8; 32];

/// A running computation of a code.
#[derive(Debug, Clone)]
pub struct Mac {
    inner: Sha256,
    outer: Sha256,
}

impl Mac {
    /// Starts a computation under a key.
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

    /// Adds bytes.
    #[must_use]
    pub fn update(mut self, bytes: &[u8]) -> Self {
        self.inner.update(bytes);
        self
    }

    /// Adds a field with its length in front, so that no two lists of fields look alike.
    #[must_use]
    pub fn update_field(self, bytes: &[u8]) -> Self {
        self.update(&(bytes.len() as u64).to_be_bytes())
            .update(bytes)
    }

    /// The code.
    pub fn finish(self) -> Code {
        self.outer
            .chain_update(self.inner.finalize())
            .finalize()
            .into()
    }
}

/// Compares a received code with the computed one, in a time that doesn't tell where they differ.
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
