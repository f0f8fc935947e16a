//! The list's versions: what changed since any of them, and the whole list, as bytes that all answers share.
use super::deployment::{list_head, Change, Deployment, LIST_END};
use crate::platform::list::Lifecycle;
use bytes::Bytes;
use std::collections::HashMap;

/// Entries in one block of the whole list; only blocks with a change are written anew.
const BLOCK: u32 = 1_024;

/// What a list or a watch is answered with: the parts of a body, in order.
#[derive(Clone, Debug)]
pub struct Answer {
    pub reset: bool,
    pub parts: Vec<Bytes>,
}

impl Answer {
    pub fn len(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

pub struct ChangeLog {
    deployment: Deployment,
    generation: u64,
    /// Versions up to here can't be told changes.
    floor: u64,
    /// Which entries each version touched, in order.
    log: Vec<(u64, u32)>,
    blocks: Vec<Option<Bytes>>,
    /// Changes since a version as they were answered; of this generation only.
    answered: HashMap<u64, Bytes>,
}

impl ChangeLog {
    pub fn new(deployment: Deployment) -> ChangeLog {
        let blocks = vec![None; deployment.endpoints().div_ceil(BLOCK) as usize];
        ChangeLog { deployment, generation: 1, floor: 1, log: Vec::new(), blocks, answered: HashMap::new() }
    }

    pub fn generation(&self) -> u64 {
        self.generation
    }

    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Makes a change under a new version, and tells that one.
    pub fn apply(&mut self, change: Change) -> u64 {
        self.generation += 1;
        for number in self.deployment.apply(change) {
            self.log.push((self.generation, number));
            let block = (number / BLOCK) as usize;
            if block >= self.blocks.len() {
                self.blocks.push(None);
            }
            self.blocks[block] = None;
        }
        self.answered.clear();
        self.generation
    }

    /// Forgets what has changed: whoever asks next gets the whole list, under a new version.
    pub fn forget(&mut self) -> u64 {
        self.generation += 1;
        self.floor = self.generation;
        self.log.clear();
        self.answered.clear();
        self.generation
    }

    /// Has the list differ in every entry from the one before, as far as weights go, and be told whole.
    pub fn change_all(&mut self) -> u64 {
        for number in 0..self.deployment.endpoints() {
            let weight = self.deployment.endpoint(number).weight + 0.5;
            if self.deployment.endpoint(number).lifecycle == Lifecycle::Ready {
                self.deployment.apply(Change::Weight(number, weight));
            }
        }
        self.blocks.fill(None);
        self.forget()
    }

    /// The whole list, or what changed since `index`.
    pub fn since(&mut self, index: Option<u64>) -> Answer {
        match index {
            Some(index) if index >= self.floor && index <= self.generation => {
                Answer { reset: false, parts: vec![self.changes(index)] }
            }
            _ => self.whole(),
        }
    }

    fn changes(&mut self, index: u64) -> Bytes {
        if let Some(bytes) = self.answered.get(&index) {
            return bytes.clone();
        }
        let from = self.log.partition_point(|(generation, _)| *generation <= index);
        let mut numbers: Vec<u32> = self.log[from..].iter().map(|(_, number)| *number).collect();
        numbers.sort_unstable();
        numbers.dedup();
        let mut body = list_head(self.generation, false).into_bytes();
        self.deployment
            .write_entries(numbers.into_iter(), |_| true, &mut body)
            .expect("memory takes all writes");
        body.extend_from_slice(LIST_END);
        let body = Bytes::from(body);
        self.answered.insert(index, body.clone());
        body
    }

    fn whole(&mut self) -> Answer {
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
        Answer { reset: true, parts }
    }

    fn block(&mut self, number: usize) -> Bytes {
        if let Some(bytes) = &self.blocks[number] {
            return bytes.clone();
        }
        let first = number as u32 * BLOCK;
        let end = (first + BLOCK).min(self.deployment.endpoints());
        let mut bytes = Vec::new();
        self.deployment
            .write_entries(first..end, |l| l != Lifecycle::Gone, &mut bytes)
            .expect("memory takes all writes");
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

    fn body(answer: &Answer) -> Value {
        serde_json::from_slice(&answer.parts.concat()).unwrap()
    }

    #[test]
    fn a_watch_from_any_version_gets_just_the_changes_since() {
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
            let answer = log.since(Some(index));
            assert!(!answer.reset);
            body(&answer)["instances"].as_array().unwrap().len()
        };
        assert_eq!([1, 2, 3, 4].map(|index| count(&mut log, index)), [3, 1, 1, 0]);
        assert_eq!(body(&log.since(None))["instances"].as_array().unwrap().len(), 3_000);
    }

    #[test]
    fn a_version_that_is_forgotten_or_was_never_given_gets_the_whole_list() {
        let deployment = Deployment::new(Seed(5), Size::single(10), Addresses::Synthetic);
        let mut log = ChangeLog::new(deployment);
        assert!(log.since(Some(9)).reset);
        let new = log.change_all();
        assert!(log.since(Some(1)).reset && !log.since(Some(new)).reset);
    }
}
