//! Bytes of damaged places, set aside for those who look into it before cleaning removes their segment.
use crate::accounts::room;
use crate::files::{Append, Files};
use crate::survey::{segment_name, Damage};
use std::io;

const PREFIX: &str = "damaged-";

/// What was set aside.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Aside {
    /// Files written now.
    pub files: Vec<String>,
    /// Damaged places for which there was no room, or whose bytes could not be written.
    pub left: usize,
    /// Bytes that all such files take, those of earlier starts included.
    pub room: u64,
}

/// Sets aside what is not there yet, in `limit` bytes together with what is.
///
/// No failure here keeps a log from being opened: the damage is told in any case.
pub fn set_aside(files: &impl Files, damage: &[Damage], limit: u64) -> io::Result<Aside> {
    let mut aside = Aside::default();
    let names: Vec<String> = files.names()?.into_iter().filter(|n| n.starts_with(PREFIX)).collect();
    for name in &names {
        aside.room += room(files.read(name)?.len() as u64);
    }
    for (segment, range) in damage.iter().filter_map(Damage::place) {
        let name = format!("{PREFIX}{}-{:x}", segment_name(segment), range.start);
        let length = range.end - range.start;
        if names.contains(&name) {
            continue;
        }
        if aside.room + room(length) > limit {
            aside.left += 1;
            continue;
        }
        match copy(files, &segment_name(segment), range.start as usize..range.end as usize, &name) {
            Ok(()) => {
                aside.room += room(length);
                aside.files.push(name);
            }
            Err(_) => {
                aside.left += 1;
                // What is left of it is counted where it can't be removed.
                if files.remove(&name).is_err() {
                    aside.room += room(length);
                }
            }
        }
    }
    Ok(aside)
}

fn copy(files: &impl Files, from: &str, range: std::ops::Range<usize>, to: &str) -> io::Result<()> {
    let bytes = files.read(from)?;
    let range = range.start.min(bytes.len())..range.end.min(bytes.len());
    files.create(to)?.append(&bytes[range])
}
