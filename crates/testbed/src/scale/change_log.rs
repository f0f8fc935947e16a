//! Versions of the endpoint list: the changes since any version and the whole list, as bytes shared by all
//! responses.
use super::deployment::{list_head, Change, Deployment, LIST_END};
use crate::platform::list::Lifecycle;
use bytes::Bytes;
use std::collections::HashMap;

/// Entries in one block of the whole list; only blocks with a change are serialised again.
const BLOCK_ENTRIES: u32 = 1_024;

/// The response to a request for the list or its changes: the parts of the body, in order.
#[derive(Clone, Debug)]
pub struct ListResponse {
    /// Whether this is the whole list rather than changes.
    pub reset: bool,
    pub parts: Vec<Bytes>,
}

impl ListResponse {
    /// Returns the length of the body in bytes.
    pub fn len(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }

    /// Returns whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A deployment with the history of its changes.
pub struct ChangeLog {
    deployment: Deployment,
    generation: u64,
    /// The oldest version for which the changes since are known.
    oldest_version: u64,
    /// The version and number of each changed entry, in order.
    changes: Vec<(u64, u32)>,
    blocks: Vec<Option<Bytes>>,
    /// Serialised changes by the version since which they are, for the current generation only.
    delta_cache: HashMap<u64, Bytes>,
}

impl ChangeLog {
    /// Starts at version 1 without history.
    pub fn new(deployment: Deployment) -> ChangeLog {
        let blocks = vec![None; deployment.endpoints().div_ceil(BLOCK_ENTRIES) as usize];
        ChangeLog {
            deployment,
            generation: 1,
            oldest_version: 1,
            changes: Vec::new(),
            blocks,
            delta_cache: HashMap::new(),
        }
    }

    /// Returns the current version of the list.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the deployment in its current state.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Applies a change under a new version, and returns the version.
    pub fn apply(&mut self, change: Change) -> u64 {
        self.generation += 1;
        for number in self.deployment.apply(change) {
            self.changes.push((self.generation, number));
            let block = (number / BLOCK_ENTRIES) as usize;
            if block >= self.blocks.len() {
                self.blocks.push(None);
            }
            self.blocks[block] = None;
        }
        self.delta_cache.clear();
        self.generation
    }

    /// Discards the history under a new version, so that requests with an earlier version get the whole list.
    pub fn discard_history(&mut self) -> u64 {
        self.generation += 1;
        self.oldest_version = self.generation;
        self.changes.clear();
        self.delta_cache.clear();
        self.generation
    }

    /// Changes the weight of every ready entry and discards the history, so that the whole list is sent.
    pub fn change_all(&mut self) -> u64 {
        for number in 0..self.deployment.endpoints() {
            let weight = self.deployment.endpoint(number).weight + 0.5;
            if self.deployment.endpoint(number).lifecycle == Lifecycle::Ready {
                self.deployment.apply(Change::Weight(number, weight));
            }
        }
        self.blocks.fill(None);
        self.discard_history()
    }

    /// Returns the changes since version `index`, or the whole list if there is no index or its history is
    /// unknown.
    pub fn since(&mut self, index: Option<u64>) -> ListResponse {
        match index {
            Some(index) if index >= self.oldest_version && index <= self.generation => {
                ListResponse { reset: false, parts: vec![self.changes_since(index)] }
            }
            _ => self.whole_list(),
        }
    }

    fn changes_since(&mut self, index: u64) -> Bytes {
        if let Some(bytes) = self.delta_cache.get(&index) {
            return bytes.clone();
        }
        let from = self.changes.partition_point(|(generation, _)| *generation <= index);
        let mut numbers: Vec<u32> = self.changes[from..].iter().map(|(_, number)| *number).collect();
        numbers.sort_unstable();
        numbers.dedup();
        let mut body = list_head(self.generation, false).into_bytes();
        self.deployment
            .write_entries(numbers.into_iter(), |_| true, &mut body)
            .expect("writing to a Vec cannot fail");
        body.extend_from_slice(LIST_END);
        let body = Bytes::from(body);
        self.delta_cache.insert(index, body.clone());
        body
    }

    fn whole_list(&mut self) -> ListResponse {
        let mut parts = vec![Bytes::from(list_head(self.generation, true))];
        for number in 0..self.blocks.len() {
            let block = self.block(number);
            if block.is_empty() {
                continue;
            }
            if parts.len() > 1 {
                parts.push(Bytes::from_static(b","));
            }
            parts.push(block);
        }
        parts.push(Bytes::from_static(LIST_END));
        ListResponse { reset: true, parts }
    }

    fn block(&mut self, number: usize) -> Bytes {
        if let Some(bytes) = &self.blocks[number] {
            return bytes.clone();
        }
        let first = number as u32 * BLOCK_ENTRIES;
        let end = (first + BLOCK_ENTRIES).min(self.deployment.endpoints());
        let mut bytes = Vec::new();
        self.deployment
            .write_entries(first..end, |l| l != Lifecycle::Gone, &mut bytes)
            .expect("writing to a Vec cannot fail");
        bytes.shrink_to_fit();
        let bytes = Bytes::from(bytes);
        self.blocks[number] = Some(bytes.clone());
        bytes
    }
}

#[cfg(test)]
mod tests {
    use super::super::deployment::{Addresses, Size};
    use super::*;
    use crate::seed::Seed;
    use serde_json::Value;

    fn body(response: &ListResponse) -> Value {
        serde_json::from_slice(&response.parts.concat()).unwrap()
    }

    #[test]
    fn request_with_version_gets_only_later_changes() {
        let deployment = Deployment::new(Seed(5), Size::single(3_000), Addresses::Synthetic);
        let mut log = ChangeLog::new(deployment);
        let whole = body(&log.since(None));
        assert_eq!(
            (whole["generation"].as_u64(), whole["instances"].as_array().unwrap().len()),
            (Some(1), 3_000)
        );
        assert_eq!(log.apply(Change::Replace(1_023)), 2);
        assert_eq!(log.apply(Change::Drain(1_024)), 3);
        assert_eq!(log.apply(Change::Drain(1_024)), 4);
        let count = |log: &mut ChangeLog, index| {
            let response = log.since(Some(index));
            assert!(!response.reset);
            body(&response)["instances"].as_array().unwrap().len()
        };
        assert_eq!([1, 2, 3, 4].map(|index| count(&mut log, index)), [3, 1, 1, 0]);
        assert_eq!(body(&log.since(None))["instances"].as_array().unwrap().len(), 3_000);
    }

    #[test]
    fn discarded_or_unknown_version_gets_whole_list() {
        let deployment = Deployment::new(Seed(5), Size::single(10), Addresses::Synthetic);
        let mut log = ChangeLog::new(deployment);
        assert!(log.since(Some(9)).reset);
        let new = log.change_all();
        assert!(log.since(Some(1)).reset && !log.since(Some(new)).reset);
    }
}
