//! Deserialises a destination from a handover or a snapshot, in the present form and in that of earlier
//! versions.

use crate::api::{EndpointId, MsgId, Ns};
use crate::state::Dest;
use crate::statistics::{DecayingStat, StatMap};
use serde::Deserialize;

/// A destination in any form that has been written so far. The renames are the names in stored state.
#[derive(Default, Deserialize)]
#[serde(default)]
pub struct StoredDest {
    cap: usize,
    in_flight: usize,
    held: Vec<MsgId>,
    #[serde(rename = "places")]
    endpoints: Vec<EndpointId>,
    used_at: Ns,
    #[serde(rename = "look_at")]
    due_at: Ns,
    #[serde(rename = "cells")]
    latencies: StoredStats<(usize, usize)>,
    arrivals: StoredStats<usize>,
    latency: DecayingStat,
    #[serde(rename = "served")]
    served_count: DecayingStat,
}

/// Statistics by key, in either stored form.
#[derive(Deserialize)]
#[serde(untagged)]
enum StoredStats<K: Ord + Copy> {
    ByKey(StatMap<K>),
    /// The oldest form: a dense table with an entry for each key, ordered by class and, for latencies, then
    /// by concurrency.
    Table(Vec<DecayingStat>),
}

impl<K: Ord + Copy> Default for StoredStats<K> {
    fn default() -> StoredStats<K> {
        StoredStats::ByKey(StatMap::default())
    }
}

impl<K: Ord + Copy> StoredStats<K> {
    fn into_map(self, key_of_index: impl Fn(usize) -> K) -> StatMap<K> {
        match self {
            StoredStats::ByKey(stats) => stats,
            StoredStats::Table(stats) => {
                let measured = stats.into_iter().enumerate().filter(|(_, stat)| !stat.is_empty());
                measured.map(|(index, stat)| (key_of_index(index), stat)).collect()
            }
        }
    }
}

impl From<StoredDest> for Dest {
    fn from(stored: StoredDest) -> Dest {
        let StoredDest {
            cap,
            in_flight,
            held,
            endpoints,
            used_at,
            due_at,
            latencies,
            arrivals,
            latency,
            served_count,
        } = stored;
        // The latency table has an entry for each class and concurrency, the table of arrivals one for each
        // class: their lengths give the number of concurrencies. Only a latency table needs it. At least 1,
        // as it is a divisor.
        let concurrencies = match (&latencies, &arrivals) {
            (StoredStats::Table(latencies), StoredStats::Table(arrivals)) => {
                latencies.len() / arrivals.len().max(1)
            }
            _ => 1,
        };
        let latencies =
            latencies.into_map(|index| (index / concurrencies.max(1), index % concurrencies.max(1)));
        let arrivals = arrivals.into_map(|class| class);
        // Not stored; set when the destination is next considered for removal.
        let restrains = false;
        Dest {
            cap,
            in_flight,
            held,
            endpoints,
            used_at,
            due_at,
            latencies,
            arrivals,
            latency,
            served_count,
            restrains,
        }
    }
}
