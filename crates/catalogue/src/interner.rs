//! Numbers for words that many entries share: zones and machine types.

use std::collections::HashMap;
use std::sync::Arc;

/// Longer words are not taken.
const MAX_WORD: usize = 256;

#[derive(Clone, Default)]
pub(crate) struct Interner {
    words: Vec<Arc<str>>,
    numbers: HashMap<Arc<str>, u16>,
}

impl Interner {
    pub(crate) fn word(&self, number: u16) -> &str {
        self.words.get(usize::from(number)).map_or("", |word| word)
    }

    /// The number of a word that is known already.
    pub(crate) fn find(&self, word: &str) -> Option<u16> {
        self.numbers.get(word).copied()
    }

    /// Adds a word; None where it is too long or there are too many.
    pub(crate) fn add(&mut self, word: &str) -> Option<u16> {
        if word.len() > MAX_WORD {
            return None;
        }
        let number = u16::try_from(self.words.len()).ok()?;
        let word: Arc<str> = word.into();
        self.words.push(word.clone());
        self.numbers.insert(word, number);
        Some(number)
    }

    pub(crate) fn heap_bytes(&self) -> usize {
        let entry = size_of::<Arc<str>>() * 2 + size_of::<u16>();
        self.words.iter().map(|word| word.len() + entry).sum()
    }
}
