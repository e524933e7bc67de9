//! A request as the quarantine knows it.

use kumquatdrum_types::{WorkspaceName, hash};

use crate::{Fingerprint, Origin};

/// The maximum number of parts of a prompt that are considered.
const MAX_PARTS: usize = 32;

/// What identifies a request and the parts of its prompt across attempts and hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The request.
    pub request: Fingerprint,
    /// A hash of the workspace.
    pub workspace: u32,
    /// The parts of the prompt that other prompts may share, in order.
    pub parts: Vec<Fingerprint>,
}

impl Identity {
    /// Creates the identity of a request. Of many parts, the last ones are considered: the first ones
    /// are shared by most prompts.
    ///
    /// ```
    /// use kumquatdrum_quarantine::{Fingerprint, Identity};
    ///
    /// let request = Fingerprint::of("POST", "/check/", None, b"text");
    /// let parts = (0..40).map(|id| Fingerprint::of_part("llm", None, id)).collect();
    /// assert_eq!(Identity::new(request, None, parts).parts.len(), 32);
    /// ```
    pub fn new(
        request: Fingerprint,
        workspace: Option<&WorkspaceName>,
        mut parts: Vec<Fingerprint>,
    ) -> Self {
        let surplus = parts.len().saturating_sub(MAX_PARTS);
        parts.drain(..surplus);
        let workspace = workspace.map_or("", |workspace| workspace.as_str());
        Self {
            request,
            workspace: hash::pair("workspace", workspace) as u32,
            parts,
        }
    }

    /// Returns the origin of evidence against the parts.
    pub const fn origin(&self) -> Origin {
        Origin {
            request: self.request.hash() as u32,
            workspace: self.workspace,
        }
    }
}
