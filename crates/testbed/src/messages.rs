//! What the stand-ins know of each other's messages: clients enter what they hand in, endpoints check calls
//! against it, and discovery passes notices on to the clients.
use crate::clock::Ns;
use crate::facts::MessageId;
use rand::Rng;
use std::collections::HashMap;
use std::sync::Mutex;
use tokio::sync::oneshot;

/// A message as its client hands it in.
pub struct NewMessage {
    pub dest: u32,
    pub work: Ns,
    pub due: Ns,
    pub body: Vec<u8>,
}

struct Entry {
    dest: u32,
    work: Ns,
    due: Ns,
    checksum: u32,
    attempts: usize,
    taken: bool,
    ended: bool,
    /// Wakes the client with the time after which it may come again, if that is told.
    back: Option<oneshot::Sender<Option<Ns>>>,
}

/// What an endpoint needs of a message that it is called with.
#[derive(Clone, Copy, Debug)]
pub struct CalledMessage {
    pub dest: u32,
    pub work: Ns,
    pub due: Ns,
    pub intact: bool,
    /// Calls so far, this one included.
    pub attempts: usize,
}

#[derive(Default)]
pub struct MessageRegistry {
    entries: Mutex<HashMap<MessageId, Entry>>,
}

pub fn format_id(id: MessageId) -> String {
    format!("{id:016x}")
}

/// An id in the form of the protocol: sixteen digits in lower hex.
pub fn parse_id(name: &str) -> Option<MessageId> {
    let digits = name.len() == 16 && name.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    digits.then(|| MessageId::from_str_radix(name, 16).ok()).flatten()
}

impl MessageRegistry {
    /// Enters a message under a new id. The receiver hears of its being handed back.
    pub fn register(
        &self,
        random: &mut impl Rng,
        handed: &NewMessage,
    ) -> (MessageId, oneshot::Receiver<Option<Ns>>) {
        let (back, handed_back) = oneshot::channel();
        let entry = Entry {
            dest: handed.dest,
            work: handed.work,
            due: handed.due,
            checksum: crc32fast::hash(&handed.body),
            attempts: 0,
            taken: false,
            ended: false,
            back: Some(back),
        };
        let mut entries = self.entries();
        let id = loop {
            let id = random.next_u64();
            if !entries.contains_key(&id) {
                break id;
            }
        };
        entries.insert(id, entry);
        (id, handed_back)
    }

    fn entries(&self) -> std::sync::MutexGuard<'_, HashMap<MessageId, Entry>> {
        self.entries.lock().expect("no holder panics")
    }

    pub fn note_call(&self, id: MessageId, body: &[u8]) -> Option<CalledMessage> {
        let mut entries = self.entries();
        let entry = entries.get_mut(&id)?;
        entry.attempts += 1;
        let intact = crc32fast::hash(body) == entry.checksum;
        let Entry { dest, work, due, attempts, .. } = *entry;
        Some(CalledMessage { dest, work, due, intact, attempts })
    }

    /// Its client has heard that it is taken on.
    pub fn note_accepted(&self, id: MessageId) {
        if let Some(entry) = self.entries().get_mut(&id) {
            entry.taken = true;
        }
    }

    /// It was delivered, or given up.
    pub fn note_ended(&self, id: MessageId) {
        if let Some(entry) = self.entries().get_mut(&id) {
            entry.ended = true;
            entry.back = None;
        }
    }

    pub fn note_handed_back(&self, id: MessageId, retry_in: Option<Ns>) {
        if let Some(entry) = self.entries().get_mut(&id) {
            entry.ended = true;
            // Gone where the client has stopped waiting for it.
            let _ = entry.back.take().map(|back| back.send(retry_in));
        }
    }

    /// Messages that were taken on and have no end, and whose time is not long up.
    pub fn count_open(&self, now: Ns, grace: Ns) -> usize {
        self.entries().values().filter(|e| e.taken && !e.ended && now < e.due + grace).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ids_are_read_in_their_one_form() {
        assert_eq!(parse_id(&format_id(0x9b1f_03aa_5c7e_2d41)), Some(0x9b1f_03aa_5c7e_2d41));
        assert_eq!(format_id(7), "0000000000000007");
        for bad in ["", "7", "9B1F03AA5C7E2D41", "+b1f03aa5c7e2d41", "9b1f03aa5c7e2d411"] {
            assert_eq!(parse_id(bad), None, "{bad:?}");
        }
    }
}
