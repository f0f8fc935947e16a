//! The verdict over a play: a pure function of the terms and the facts. `rules` holds a function for each rule of
//! the brief and the protocol; `docs/design/proving-ground.md` lists them.
mod case;
mod rules;

pub use case::{Call, Case, Message};

use crate::clock::Ns;
use crate::ledger::Fact;
use crate::plan::Terms;
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    Lost,
    LateEnd,
    Twice,
    Drain,
    Wait,
    ColdReturn,
    Misdirected,
    Stray,
    Stranger,
    Crash,
}

impl Rule {
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

/// One break of one rule, in words that name who, what and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Break {
    pub rule: Rule,
    pub at: Ns,
    pub what: String,
}

/// All breaks of rules, in the order of the rules and of time.
pub fn breaks(terms: &Terms, facts: &[Fact]) -> Vec<Break> {
    breaks_of(&Case::new(terms, facts))
}

pub fn breaks_of(case: &Case) -> Vec<Break> {
    let mut all: Vec<Break> = Rule::ALL.iter().flat_map(|rule| rules::breaks(case, *rule)).collect();
    all.sort_by_key(|b| (b.rule, b.at));
    all
}
