//! Reads state that earlier versions of the policy wrote, from a handover or a snapshot.

use crate::api::{EndpointId, MsgId, Ns};
use crate::state::Dest;
use crate::statistics::{DecayingStat, StatMap};
use serde::Deserialize;

/// A destination in any form that has been written so far.
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
    /// The first form: one entry for each possible key, class by class.
    Table(Vec<DecayingStat>),
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
                let measured = stats.into_iter().enumerate().filter(|(_, stat)| !stat.is_empty());
                measured.map(|(index, stat)| (key(index), stat)).collect()
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
        // The latency table has the same number of levels for each class; the table of arrivals has one entry
        // per class.
        let levels = match (&latencies, &arrivals) {
            (StoredStats::Table(latencies), StoredStats::Table(arrivals)) => {
                latencies.len() / arrivals.len().max(1)
            }
            _ => 1,
        };
        let latencies = latencies.by_key(|index| (index / levels.max(1), index % levels.max(1)));
        let arrivals = arrivals.by_key(|class| class);
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
