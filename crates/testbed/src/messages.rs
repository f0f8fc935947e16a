//! The registry of messages, shared by the stub servers and clients: clients register what they hand in,
//! endpoints check calls against it, and discovery passes notices on to the clients.
use crate::clock::Ns;
use crate::facts::MessageId;
use rand::Rng;
use std::collections::HashMap;
use std::sync::Mutex;
use tokio::sync::oneshot;

/// A message to be registered.
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
    accepted: bool,
    ended: bool,
    /// Tells the client that its message was handed back, with the time to wait before a retry if there is
    /// one.
    on_handed_back: Option<oneshot::Sender<Option<Ns>>>,
}

/// What an endpoint needs to know of the message of a call.
#[derive(Clone, Copy, Debug)]
pub struct CalledMessage {
    pub dest: u32,
    pub work: Ns,
    pub due: Ns,
    /// Whether the body of the call is the one that the client handed in.
    pub intact: bool,
    /// Number of calls so far, including this one.
    pub attempts: usize,
}

/// All messages that were handed in, by id.
#[derive(Default)]
pub struct MessageRegistry {
    entries: Mutex<HashMap<MessageId, Entry>>,
}

/// Formats an id as the protocol has it.
pub fn format_id(id: MessageId) -> String {
    format!("{id:016x}")
}

/// Parses an id in the form of the protocol: sixteen lower-case hexadecimal digits.
pub fn parse_id(name: &str) -> Option<MessageId> {
    let digits = name.len() == 16 && name.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    digits.then(|| MessageId::from_str_radix(name, 16).ok()).flatten()
}

impl MessageRegistry {
    /// Registers a message under a new id. If the message is handed back, the receiver gets the wait
    /// before a retry, if there is one.
    pub fn register(
        &self,
        random: &mut impl Rng,
        message: &NewMessage,
    ) -> (MessageId, oneshot::Receiver<Option<Ns>>) {
        let (sender, receiver) = oneshot::channel();
        let entry = Entry {
            dest: message.dest,
            work: message.work,
            due: message.due,
            checksum: crc32fast::hash(&message.body),
            attempts: 0,
            accepted: false,
            ended: false,
            on_handed_back: Some(sender),
        };
        let mut entries = self.entries();
        let id = loop {
            let id = random.next_u64();
            if !entries.contains_key(&id) {
                break id;
            }
        };
        entries.insert(id, entry);
        (id, receiver)
    }

    fn entries(&self) -> std::sync::MutexGuard<'_, HashMap<MessageId, Entry>> {
        self.entries.lock().expect("no holder panics")
    }

    /// Counts a call and checks its body. Returns `None` if no message has this id.
    pub fn note_call(&self, id: MessageId, body: &[u8]) -> Option<CalledMessage> {
        let mut entries = self.entries();
        let entry = entries.get_mut(&id)?;
        entry.attempts += 1;
        let intact = crc32fast::hash(body) == entry.checksum;
        let Entry { dest, work, due, attempts, .. } = *entry;
        Some(CalledMessage { dest, work, due, intact, attempts })
    }

    /// Marks a message as accepted, once its client has learned of it.
    pub fn note_accepted(&self, id: MessageId) {
        if let Some(entry) = self.entries().get_mut(&id) {
            entry.accepted = true;
        }
    }

    /// Marks a message that was delivered or given up.
    pub fn note_ended(&self, id: MessageId) {
        if let Some(entry) = self.entries().get_mut(&id) {
            entry.ended = true;
            entry.on_handed_back = None;
        }
    }

    /// Marks a message that was handed back and tells its client.
    pub fn note_handed_back(&self, id: MessageId, retry_in: Option<Ns>) {
        if let Some(entry) = self.entries().get_mut(&id) {
            entry.ended = true;
            // The receiver is gone if the client has stopped waiting.
            let _ = entry.on_handed_back.take().map(|sender| sender.send(retry_in));
        }
    }

    /// Counts accepted messages that have not ended and are less than `grace` past their deadline.
    pub fn count_open(&self, now: Ns, grace: Ns) -> usize {
        self.entries().values().filter(|e| e.accepted && !e.ended && now < e.due + grace).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_only_protocol_form_of_id() {
        assert_eq!(parse_id(&format_id(0x9b1f_03aa_5c7e_2d41)), Some(0x9b1f_03aa_5c7e_2d41));
        assert_eq!(format_id(7), "0000000000000007");
        for bad in ["", "7", "9B1F03AA5C7E2D41", "+b1f03aa5c7e2d41", "9b1f03aa5c7e2d411"] {
            assert_eq!(parse_id(bad), None, "{bad:?}");
        }
    }
}
