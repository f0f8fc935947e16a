//! The verdict over a play: a pure function of the terms and the facts. `rules` holds a function for each rule of
//! the brief and the protocol; `docs/design/proving-ground.md` lists them.
mod fact_index;
mod rules;

pub use fact_index::{Call, FactIndex, Message};

use crate::clock::Ns;
use crate::facts::Fact;
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
pub struct Violation {
    pub rule: Rule,
    pub at: Ns,
    #[serde(rename = "what")]
    pub description: String,
}

/// All breaks of rules, in the order of the rules and of time.
pub fn violations(terms: &Terms, facts: &[Fact]) -> Vec<Violation> {
    violations_of(&FactIndex::new(terms, facts))
}

pub fn violations_of(case: &FactIndex) -> Vec<Violation> {
    let mut all: Vec<Violation> = Rule::ALL.iter().flat_map(|rule| rules::violations(case, *rule)).collect();
    all.sort_by_key(|b| (b.rule, b.at));
    all
}
