//! Names that were removed from the list lately, with their numbers: a name that is listed again gets its old
//! number.

use crate::EndpointId;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Maximum number of remembered names; the earliest removed are forgotten first.
pub(crate) const CAPACITY: usize = 1_024;

/// The removed names and their numbers.
#[derive(Clone, Default)]
pub(crate) struct RemovedNames {
    /// The names in the order of their removal.
    order: VecDeque<Arc<str>>,
    numbers: HashMap<Arc<str>, EndpointId>,
}

impl RemovedNames {
    /// The number of a removed name.
    pub(crate) fn find(&self, name: &str) -> Option<EndpointId> {
        self.numbers.get(name).copied()
    }

    /// Adds a name that was removed from the list.
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
