//! All messages that are owed their end, by number, as records make them.
use super::{payload, Owed, Record};
use std::collections::BTreeMap;
use store::frame;
use store::log::SnapshotSource;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Book {
    owed: BTreeMap<u64, Owed>,
}

impl Book {
    pub fn owed(&self) -> &BTreeMap<u64, Owed> {
        &self.owed
    }

    pub fn enter(&mut self, owed: Owed) {
        self.owed.insert(owed.taken.id, owed);
    }

    pub fn note(&mut self, record: &Record) {
        if let Record::Taken(taken) = record {
            self.enter(Owed { taken: taken.clone(), attempts: Vec::new(), ending: None });
            return;
        }
        let Some(owed) = self.owed.get_mut(&record.id()) else { return };
        match record {
            Record::Begun(_, begun) => owed.attempts.push(begun.clone()),
            Record::NeverRan(_, number) => {
                owed.attempts.iter_mut().filter(|a| a.number == *number).for_each(|a| a.never_ran = true);
            }
            Record::Decided(_, ending) => owed.ending = Some(*ending),
            Record::Taken(_) | Record::Ended(_) => _ = self.owed.remove(&record.id()),
        }
    }

    /// What the log has of a message.
    pub fn read(&mut self, record: &frame::Record) -> Result<(), String> {
        match record.operation {
            frame::Operation::Put => self.enter(payload::read_image(record.key, record.payload)?),
            frame::Operation::Merge => self.note(&payload::read_addition(record.key, record.payload)?),
            frame::Operation::Delete => self.note(&Record::Ended(record.key)),
        }
        Ok(())
    }
}

impl SnapshotSource for Book {
    fn snapshot(&self, key: u64) -> Option<Vec<u8>> {
        self.owed.get(&key).map(payload::image)
    }
}
