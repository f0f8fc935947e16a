//! Plays in simulated time: one decision module per sender, against the logic of the stub platform. A play is
//! determined by its plan, and its facts go to the same judge.
//!
//! `senders` stands for the senders' processes, `network` for calls and connections, `queue` holds the
//! events, and `world` runs them.
mod network;
mod queue;
mod senders;
mod world;

use crate::facts::Fact;
use crate::plan::Plan;
use crate::play::{self, Verdict};

/// Why a play can't be simulated.
#[derive(Debug, thiserror::Error)]
pub enum SimError {
    #[error("the decision module refuses its settings: {0}")]
    Settings(String),
}

/// The outcome of a simulated play.
pub struct Simulated {
    pub verdict: Verdict,
    pub facts: Vec<Fact>,
}

/// Plays a plan in simulated time. Peers that send no valid request are left out, as the decision module
/// never sees them. A state folder of another sender is left out too: it is refused, which takes no time
/// here.
pub fn simulate(plan: &Plan) -> Result<Simulated, SimError> {
    let facts = world::World::new(plan)?.run();
    Ok(Simulated { verdict: play::verdict(plan, &facts), facts })
}
