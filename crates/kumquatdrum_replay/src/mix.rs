//! What the two users ask, and how often.

use std::ops::RangeInclusive;

/// A user's mix of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// Salons: many short cards, plain stock checks and reorders, few long histories.
    Toonikaart,
    /// The Treasury Desk: term sheets, confirmations, schedules and counterparty packs.
    Treasury,
}

/// One kind of request of a mix.
#[derive(Debug, Clone)]
pub struct Kind {
    /// How many of a hundred requests are of this kind, long ones apart.
    pub share: u64,
    /// The service that is asked.
    pub service: &'static str,
    /// The HTTP method.
    pub method: &'static str,
    /// The path.
    pub path: &'static str,
    /// Length of the prompt, in tokens; the logarithm is spread evenly.
    pub prompt_tokens: RangeInclusive<u64>,
    /// Length of the answer, in tokens.
    pub max_tokens: RangeInclusive<u64>,
    /// Lower goes first.
    pub priority: u32,
    /// Time that the request may take.
    pub deadline_ms: u64,
    /// Whether it may be repeated; what may not be carries an idempotency key.
    pub idempotent: bool,
    /// The share of the prompt that a workspace's requests of this kind have in common, in percent.
    pub prefix_percent: u64,
}

const TEXT: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";

/// A request to a model.
const fn completion(
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

/// A call of a plain service.
const fn call(
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
    /// The name of the mix, also the beginning of its idempotency keys.
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

    /// The beginning of the names of its workspaces, which end in a number from 01.
    pub const fn workspace_prefix(self) -> &'static str {
        match self {
            Self::Toonikaart => "salon",
            Self::Treasury => "desk",
        }
    }

    /// The kinds of requests below 100,000 tokens; their shares add up to a hundred.
    pub fn kinds(self) -> Vec<Kind> {
        match self {
            Self::Toonikaart => vec![
                // Shade-match cards and stock checks return at once; histories may wait.
                completion(58, "formula-llm", TEXT, 1_000..=2_500, 0, 10_000),
                completion(20, "formula-llm", CHAT, 2_000..=8_000, 1, 20_000),
                completion(8, "formula-llm", TEXT, 10_000..=90_000, 4, 60_000),
                call(8, "salon-api", "GET", "/stock/developer", true),
                call(6, "salon-api", "POST", "/orders", false),
            ],
            Self::Treasury => vec![
                completion(38, "confdraft-llm", CHAT, 1_000..=6_000, 1, 20_000),
                Kind {
                    idempotent: false,
                    ..completion(22, "confdraft-llm", TEXT, 4_000..=20_000, 2, 30_000)
                },
                completion(20, "confdraft-llm", TEXT, 20_000..=99_000, 2, 60_000),
                call(12, "treasury-portal", "GET", "/trades/open", true),
                call(8, "treasury-portal", "POST", "/confirmations", false),
            ],
        }
    }

    /// The requests of 100,000 tokens and more.
    pub fn long_kind(self) -> Kind {
        const LONG: RangeInclusive<u64> = 100_000..=1_000_000;
        match self {
            Self::Toonikaart => completion(0, "formula-llm", TEXT, LONG, 6, 300_000),
            Self::Treasury => completion(0, "confdraft-llm", TEXT, LONG, 1, 120_000),
        }
    }
}
