//! The same experiment in simulated time: the decision module alone, one for each sender, against the platform's
//! cores. Deterministic per seed; its facts go to the same judge.
//!
//! `senders` is what stands for a sender's process, `network` for calls and connections, and `world` drives them.
mod network;
mod queue;
mod senders;
mod world;

use crate::facts::Fact;
use crate::plan::Plan;
use crate::play::{self, Verdict};

#[derive(Debug, thiserror::Error)]
pub enum SimError {
    #[error("the module does not take its settings: {0}")]
    Settings(String),
}

pub struct Simulated {
    pub verdict: Verdict,
    pub facts: Vec<Fact>,
}

/// Plays a plan in simulated time. Strangers are left out, as the module never hears of them, and so are the slips of
/// a folder that is another sender's: it is refused, and costs no time here.
pub fn simulate(plan: &Plan) -> Result<Simulated, SimError> {
    let facts = world::World::new(plan)?.run();
    Ok(Simulated { verdict: play::verdict(plan, &facts), facts })
}
