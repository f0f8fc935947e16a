//! Numbers for strings that many entries share: zones and machine types.

use std::collections::HashMap;
use std::sync::Arc;

/// Maximum length of an interned string.
const MAX_STRING_BYTES: usize = 256;

/// Strings and their numbers, which count from 0.
#[derive(Clone, Default)]
pub(crate) struct Interner {
    strings: Vec<Arc<str>>,
    numbers: HashMap<Arc<str>, u16>,
}

impl Interner {
    /// The string of a number; empty if there is no such number.
    pub(crate) fn get(&self, number: u16) -> &str {
        self.strings.get(usize::from(number)).map_or("", |string| string)
    }

    /// The number of a string that was added before.
    pub(crate) fn find(&self, string: &str) -> Option<u16> {
        self.numbers.get(string).copied()
    }

    /// Adds a string; `None` if it is too long or all 65,536 numbers are in use.
    pub(crate) fn add(&mut self, string: &str) -> Option<u16> {
        if string.len() > MAX_STRING_BYTES {
            return None;
        }
        let number = u16::try_from(self.strings.len()).ok()?;
        let string: Arc<str> = string.into();
        self.strings.push(string.clone());
        self.numbers.insert(string, number);
        Some(number)
    }

    /// Heap memory of the strings and of the table that finds them.
    pub(crate) fn heap_bytes(&self) -> usize {
        let entry = size_of::<Arc<str>>() * 2 + size_of::<u16>();
        self.strings.iter().map(|string| string.len() + entry).sum()
    }
}
