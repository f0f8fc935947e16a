//! State as earlier versions of the module wrote it: it comes by upgrades and in snapshots.

use crate::api::{EndpointId, MsgId, Ns};
use crate::state::Dest;
use crate::statistics::{Stat, StatMap};
use serde::Deserialize;

/// A destination in any form that was written so far.
#[derive(Default, Deserialize)]
#[serde(default)]
pub struct StoredDest {
    cap: usize,
    in_flight: usize,
    held: Vec<MsgId>,
    places: Vec<EndpointId>,
    used_at: Ns,
    look_at: Ns,
    cells: StoredStats<(usize, usize)>,
    arrivals: StoredStats<usize>,
    latency: Stat,
    served: Stat,
}

/// Statistics by key.
#[derive(Deserialize)]
#[serde(untagged)]
enum StoredStats<K: Ord + Copy> {
    ByKey(StatMap<K>),
    /// The first form: one for each key there can be, class by class.
    Table(Vec<Stat>),
}

impl<K: Ord + Copy> Default for StoredStats<K> {
    fn default() -> StoredStats<K> {
        StoredStats::ByKey(StatMap::default())
    }
}

impl<K: Ord + Copy> StoredStats<K> {
    fn by_key(self, key: impl Fn(usize) -> K) -> StatMap<K> {
        match self {
            StoredStats::ByKey(stats) => stats,
            StoredStats::Table(stats) => {
                let booked = stats.into_iter().enumerate().filter(|(_, stat)| !stat.is_new());
                booked.map(|(place, stat)| (key(place), stat)).collect()
            }
        }
    }
}

impl From<StoredDest> for Dest {
    fn from(stored: StoredDest) -> Dest {
        let StoredDest { cap, in_flight, held, places, used_at, look_at, cells, arrivals, latency, served } =
            stored;
        // A table has as many levels for each class, and the arrivals' table has one entry for each class.
        let levels = match (&cells, &arrivals) {
            (StoredStats::Table(cells), StoredStats::Table(arrivals)) => cells.len() / arrivals.len().max(1),
            _ => 1,
        };
        let cells = cells.by_key(|place| (place / levels.max(1), place % levels.max(1)));
        let arrivals = arrivals.by_key(|class| class);
        let restrains = false;
        Dest { cap, in_flight, held, places, used_at, look_at, cells, arrivals, latency, served, restrains }
    }
}
