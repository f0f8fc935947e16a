//! Judges a play: finds violations of the rules in its facts.
//!
//! `rules` has one function for each rule of the brief and the protocol; `docs/design/testbed.md`
//! lists them.
mod agent;
mod fact_index;
mod rules;

pub use fact_index::{Call, FactIndex, Message};

use crate::clock::Ns;
use crate::facts::Fact;
use crate::plan::Terms;
use serde::{Deserialize, Serialize};

/// The rules that senders have to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each accepted message ends, and clients get an answer.
    Lost,
    /// Messages end by their deadline, within a grace period.
    LateEnd,
    /// A message that must not be repeated is not sent again once a call may have run.
    Twice,
    /// A sender starts no new call to an endpoint that it knows to drain.
    Drain,
    /// A sender waits as long as a refusal's `Retry-After` asks.
    Wait,
    /// Senders that saw a destination fail don't overload it when it returns.
    ColdReturn,
    /// Calls go to endpoints of the message's destination.
    Misdirected,
    /// Each call has a client's message, unchanged, and no more attempts than allowed.
    Stray,
    /// Peers that send no valid request get an error or a close in time.
    Stranger,
    /// A process doesn't end by itself, is ready in time, and refuses another sender's state.
    Crash,
}

impl Rule {
    /// All rules, in the order of reports.
    pub const ALL: [Rule; 10] = [
        Rule::Lost,
        Rule::LateEnd,
        Rule::Twice,
        Rule::Drain,
        Rule::Wait,
        Rule::ColdReturn,
        Rule::Misdirected,
        Rule::Stray,
        Rule::Stranger,
        Rule::Crash,
    ];

    /// Returns the rule's name in reports and in `verdict.json`.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Lost => "lost",
            Rule::LateEnd => "late-end",
            Rule::Twice => "twice",
            Rule::Drain => "drain",
            Rule::Wait => "wait",
            Rule::ColdReturn => "cold-return",
            Rule::Misdirected => "misdirected",
            Rule::Stray => "stray",
            Rule::Stranger => "stranger",
            Rule::Crash => "crash",
        }
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    pub rule: Rule,
    pub at: Ns,
    /// Says what happened, and to which message, call or sender.
    #[serde(rename = "what")]
    pub description: String,
}

/// Returns all violations in the facts of a play, in the order of rules and times.
pub fn violations(terms: &Terms, facts: &[Fact]) -> Vec<Violation> {
    violations_of(&FactIndex::new(terms, facts))
}

/// Returns all violations in indexed facts, in the order of rules and times.
pub fn violations_of(index: &FactIndex) -> Vec<Violation> {
    let mut all: Vec<Violation> = Rule::ALL.iter().flat_map(|rule| rules::violations(index, *rule)).collect();
    all.sort_by_key(|b| (b.rule, b.at));
    all
}
