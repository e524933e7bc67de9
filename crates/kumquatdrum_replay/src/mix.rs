//! Request mixes of two users: salons and a treasury desk.

use std::ops::RangeInclusive;

/// The request mix of a user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// Salons: many short prompts, some calls to plain services, few long prompts.
    Toonikaart,
    /// The treasury desk: mostly medium prompts, some calls to plain services, few long prompts.
    Treasury,
}

/// One kind of request of a mix.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Share of this kind among the requests that aren't long, in percent.
    pub share: u64,
    /// Requested service.
    pub service: &'static str,
    /// HTTP method.
    pub method: &'static str,
    /// HTTP path.
    pub path: &'static str,
    /// Length of the prompt, in tokens, log-uniformly distributed.
    pub prompt_tokens: RangeInclusive<u64>,
    /// Length of the answer, in tokens.
    pub max_tokens: RangeInclusive<u64>,
    /// Priority; lower values are served first.
    pub priority: u32,
    /// Deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may be repeated; otherwise it has an idempotency key.
    pub idempotent: bool,
    /// Share of the prompt that a workspace's requests of this kind have in common, in percent.
    pub prefix_percent: u64,
}

const TEXT_PATH: &str = "/v1/completions";
const CHAT_PATH: &str = "/v1/chat/completions";

/// Describes requests to a model.
const fn completion_kind(
    share: u64,
    service: &'static str,
    path: &'static str,
    prompt_tokens: RangeInclusive<u64>,
    priority: u32,
    deadline_ms: u64,
) -> Kind {
    Kind {
        share,
        service,
        method: "POST",
        path,
        prompt_tokens,
        max_tokens: 16..=64,
        priority,
        deadline_ms,
        idempotent: true,
        prefix_percent: 25,
    }
}

/// Describes calls to a plain service.
const fn call_kind(
    share: u64,
    service: &'static str,
    method: &'static str,
    path: &'static str,
    idempotent: bool,
) -> Kind {
    Kind {
        share,
        service,
        method,
        path,
        prompt_tokens: 0..=0,
        max_tokens: 0..=0,
        priority: 0,
        deadline_ms: 10_000,
        idempotent,
        prefix_percent: 0,
    }
}

impl Mix {
    /// Returns the name of the mix, which also prefixes its idempotency keys.
    ///
    /// ```
    /// assert_eq!(kumquatdrum_replay::Mix::Treasury.name(), "treasury");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Toonikaart => "toonikaart",
            Self::Treasury => "treasury",
        }
    }

    /// Returns the prefix of the workspace names, which end in a number from 01.
    pub const fn workspace_prefix(self) -> &'static str {
        match self {
            Self::Toonikaart => "salon",
            Self::Treasury => "desk",
        }
    }

    /// Returns the kinds of requests below 100,000 tokens, whose shares add up to 100.
    pub fn kinds(self) -> Vec<Kind> {
        match self {
            Self::Toonikaart => vec![
                // Short prompts have the highest priority, long ones the lowest.
                completion_kind(58, "formula-llm", TEXT_PATH, 1_000..=2_500, 0, 10_000),
                completion_kind(20, "formula-llm", CHAT_PATH, 2_000..=8_000, 1, 20_000),
                completion_kind(8, "formula-llm", TEXT_PATH, 10_000..=90_000, 4, 60_000),
                call_kind(8, "salon-api", "GET", "/stock/developer", true),
                call_kind(6, "salon-api", "POST", "/orders", false),
            ],
            Self::Treasury => vec![
                completion_kind(38, "confdraft-llm", CHAT_PATH, 1_000..=6_000, 1, 20_000),
                Kind {
                    idempotent: false,
                    ..completion_kind(22, "confdraft-llm", TEXT_PATH, 4_000..=20_000, 2, 30_000)
                },
                completion_kind(20, "confdraft-llm", TEXT_PATH, 20_000..=99_000, 2, 60_000),
                call_kind(12, "treasury-portal", "GET", "/trades/open", true),
                call_kind(8, "treasury-portal", "POST", "/confirmations", false),
            ],
        }
    }

    /// Returns the kind of the requests of 100,000 tokens and more.
    pub fn long_kind(self) -> Kind {
        const LONG: RangeInclusive<u64> = 100_000..=1_000_000;
        match self {
            Self::Toonikaart => completion_kind(0, "formula-llm", TEXT_PATH, LONG, 6, 300_000),
            Self::Treasury => completion_kind(0, "confdraft-llm", TEXT_PATH, LONG, 1, 120_000),
        }
    }
}
