//! Names that left the list a short while ago, with their numbers: one that comes back is known as before.

use crate::EndpointId;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Names remembered at most; the longest gone make room.
pub(crate) const CAPACITY: usize = 1_024;

#[derive(Clone, Default)]
pub(crate) struct Departed {
    order: VecDeque<Arc<str>>,
    numbers: HashMap<Arc<str>, EndpointId>,
}

impl Departed {
    pub(crate) fn find(&self, name: &str) -> Option<EndpointId> {
        self.numbers.get(name).copied()
    }

    pub(crate) fn add(&mut self, name: &str, id: EndpointId) {
        let name: Arc<str> = name.into();
        if self.numbers.insert(name.clone(), id).is_none() {
            self.order.push_back(name);
        }
        if self.order.len() > CAPACITY {
            if let Some(oldest) = self.order.pop_front() {
                self.numbers.remove(&oldest);
            }
        }
    }
}
