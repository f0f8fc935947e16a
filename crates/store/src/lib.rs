//! A durable log of key states that stays within a fixed amount of disk space.
//!
//! A record puts, merges into or deletes the state of one key. Deleted keys make room: old segments are
//! removed once no live key begins in them. `docs/design/recovery.md` describes the guarantees.
//!
//! - [`frame`]: the byte format of segments and records.
//! - [`segment_scan`]: reads the records of one segment and finds damaged byte ranges.
//! - [`folder_scan`]: reads a whole folder without changing it and classifies the damage.
//! - [`log`]: appends records, syncs them, and cleans segments.
//! - [`quarantine`]: copies damaged bytes to files of their own.
//! - [`file_system`]: the file operations that the log uses; [`disk`] implements them on a real disk, [`sim`]
//!   in memory, with power loss and fault injection.
pub mod disk;
pub mod file_system;
pub mod folder_scan;
pub mod frame;
pub mod log;
pub mod quarantine;
mod segment_index;
pub mod segment_scan;
pub mod sim;
