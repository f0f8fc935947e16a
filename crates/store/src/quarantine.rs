//! Copies damaged byte ranges to files of their own, so that they can be examined after cleaning has removed
//! their segment.
use crate::file_system::{AppendFile, FileSystem};
use crate::folder_scan::{segment_name, Damage};
use crate::segment_index::allocated_bytes;
use std::io;

const FILE_PREFIX: &str = "damaged-";

/// What was quarantined.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Quarantine {
    /// Files written by this call.
    pub files: Vec<String>,
    /// Damaged ranges that were not copied, because they exceed the limit or the copy failed.
    pub skipped: usize,
    /// Disk space of all quarantine files in bytes, including those of earlier starts.
    pub bytes: u64,
}

/// Copies damaged ranges that were not copied before, as far as all quarantine files together stay within
/// `limit` bytes.
///
/// A failed copy counts as skipped and does not keep a log from being opened: the damage is reported in any
/// case.
pub fn quarantine_damage(files: &impl FileSystem, damage: &[Damage], limit: u64) -> io::Result<Quarantine> {
    let mut quarantine = Quarantine::default();
    let names: Vec<String> = files.file_names()?.into_iter().filter(|n| n.starts_with(FILE_PREFIX)).collect();
    for name in &names {
        quarantine.bytes += allocated_bytes(files.read(name)?.len() as u64);
    }
    for (segment, range) in damage.iter().filter_map(Damage::byte_range) {
        let name = format!("{FILE_PREFIX}{}-{:x}", segment_name(segment), range.start);
        let length = range.end - range.start;
        if names.contains(&name) {
            continue;
        }
        if quarantine.bytes + allocated_bytes(length) > limit {
            quarantine.skipped += 1;
            continue;
        }
        match copy(files, &segment_name(segment), range.start as usize..range.end as usize, &name) {
            Ok(()) => {
                quarantine.bytes += allocated_bytes(length);
                quarantine.files.push(name);
            }
            Err(_) => {
                quarantine.skipped += 1;
                // A partial copy that can't be removed still takes space.
                if files.remove(&name).is_err() {
                    quarantine.bytes += allocated_bytes(length);
                }
            }
        }
    }
    Ok(quarantine)
}

fn copy(files: &impl FileSystem, from: &str, range: std::ops::Range<usize>, to: &str) -> io::Result<()> {
    let bytes = files.read(from)?;
    let range = range.start.min(bytes.len())..range.end.min(bytes.len());
    files.create(to)?.append(&bytes[range])
}
