//! The form of records in the log: a byte for the form, then MessagePack by name, then the body as it came.
use super::{Begun, Ending, Owed, Record, Taken, MAX_NAME};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use store::frame::{Operation, RECORD_HEADER_BYTES};

const FORM: u8 = 1;
/// Form, and length of what comes before the body.
const PREFIX: usize = 5;
/// Upper bounds in bytes, of what surrounds texts and body of a message, of one attempt with what becomes known of it,
/// and of the records of an end.
const AROUND: usize = 160;
const ATTEMPT: usize = RECORD_HEADER_BYTES + 30 + MAX_NAME + RECORD_HEADER_BYTES + 16;
const END: usize = 160;

#[derive(Serialize, Deserialize)]
struct Image {
    #[serde(rename = "m")]
    taken: Rc<Taken>,
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    attempts: Vec<Begun>,
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    ending: Option<Ending>,
}

#[derive(Serialize, Deserialize)]
enum Addition {
    #[serde(rename = "B")]
    Begun(Begun),
    #[serde(rename = "N")]
    NeverRan(u32),
    #[serde(rename = "D")]
    Decided(Ending),
}

fn pack(value: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("records are plain data")
}

fn texts(taken: &Taken) -> usize {
    let key = taken.key.as_ref().map_or(0, String::len);
    taken.class.len() + taken.tenant.len() + taken.trace.len() + key
}

/// Bytes that a message may come to in the log, all of its records together.
pub fn claim(taken: &Taken, max_attempts: usize) -> u64 {
    (AROUND + texts(taken) + taken.body.len() + ATTEMPT * max_attempts + END) as u64
}

/// Bytes of the longest payload, with a body of `body` bytes and `texts` bytes of names and ids.
pub fn largest(body: usize, texts: usize, max_attempts: usize) -> usize {
    AROUND + texts + body + ATTEMPT * max_attempts
}

/// All that is known of a message, as one payload.
pub fn image(owed: &Owed) -> Vec<u8> {
    let Owed { taken, attempts, ending } = owed;
    let head = pack(&Image { taken: taken.clone(), attempts: attempts.clone(), ending: *ending });
    let mut all = Vec::with_capacity(PREFIX + head.len() + taken.body.len());
    all.push(FORM);
    all.extend_from_slice(&(head.len() as u32).to_le_bytes());
    all.extend_from_slice(&head);
    all.extend_from_slice(&taken.body);
    all
}

fn form(payload: &[u8]) -> Result<&[u8], String> {
    match payload.split_first() {
        Some((&FORM, rest)) => Ok(rest),
        Some((form, _)) => Err(format!("form {form} is not known")),
        None => Err("it is empty".into()),
    }
}

pub fn read_image(key: u64, payload: &[u8]) -> Result<Owed, String> {
    let rest = form(payload)?;
    let (length, rest) = rest.split_first_chunk::<4>().ok_or("it is cut short")?;
    let length = u32::from_le_bytes(*length) as usize;
    let (head, body) = rest.split_at_checked(length).ok_or("it is cut short")?;
    let Image { taken, attempts, ending } = rmp_serde::from_slice(head).map_err(|e| e.to_string())?;
    if taken.id != key {
        return Err(format!("message {} stands under {key}", taken.id));
    }
    let taken = Taken { body: Bytes::copy_from_slice(body), ..Rc::unwrap_or_clone(taken) };
    Ok(Owed { taken: Rc::new(taken), attempts, ending })
}

pub fn read_addition(key: u64, payload: &[u8]) -> Result<Record, String> {
    let addition = rmp_serde::from_slice(form(payload)?).map_err(|e| e.to_string())?;
    Ok(match addition {
        Addition::Begun(begun) => Record::Begun(key, begun),
        Addition::NeverRan(number) => Record::NeverRan(key, number),
        Addition::Decided(ending) => Record::Decided(key, ending),
    })
}

/// What a record does to its message, and its payload.
pub fn write(record: &Record) -> (Operation, Vec<u8>) {
    let addition = match record {
        Record::Taken(taken) => {
            let owed = Owed { taken: taken.clone(), attempts: Vec::new(), ending: None };
            return (Operation::Put, image(&owed));
        }
        Record::Ended(_) => return (Operation::Delete, Vec::new()),
        Record::Begun(_, begun) => Addition::Begun(begun.clone()),
        Record::NeverRan(_, number) => Addition::NeverRan(*number),
        Record::Decided(_, ending) => Addition::Decided(*ending),
    };
    let mut all = vec![FORM];
    all.extend_from_slice(&pack(&addition));
    (Operation::Merge, all)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The longest of everything stays within what was claimed and allowed for it.
    #[test]
    fn a_message_never_comes_to_more_than_its_claim() {
        let text = |length: usize| "\u{1}".repeat(length);
        let taken = Taken {
            id: u64::MAX,
            class: text(256),
            tenant: text(256),
            dest: u64::MAX,
            trace: text(256),
            key: Some(text(256)),
            end: i64::MIN,
            body: Bytes::from(vec![0xFF; 64 << 10]),
        };
        for attempts in [0, 1, 3, 1_000] {
            let mut owed = Owed { taken: Rc::new(taken.clone()), attempts: Vec::new(), ending: None };
            let mut records = vec![Record::Taken(owed.taken.clone())];
            for number in u32::MAX - attempts..u32::MAX {
                let begun = Begun { number, at: i64::MIN, endpoint: text(MAX_NAME), never_ran: true };
                owed.attempts.push(begun.clone());
                records.push(Record::Begun(u64::MAX, Begun { never_ran: false, ..begun }));
                records.push(Record::NeverRan(u64::MAX, number));
            }
            owed.ending = Some(Ending::HandedBack(Some(u64::MAX)));
            records.push(Record::Decided(u64::MAX, Ending::HandedBack(Some(u64::MAX))));
            records.push(Record::Ended(u64::MAX));
            let written: usize = records.iter().map(|r| RECORD_HEADER_BYTES + write(r).1.len()).sum();
            assert!(written as u64 <= claim(&taken, attempts as usize), "{attempts} attempts: {written}");
            let image = image(&owed);
            assert!(image.len() <= largest(64 << 10, 4 * 256, attempts as usize), "{}", image.len());
            assert_eq!(read_image(u64::MAX, &image).unwrap(), owed);
        }
    }
}
