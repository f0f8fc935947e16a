//! A durable log of what a process owes, in bounded room. `docs/design/recovery.md` says what is promised.
//!
//! `frame` and `scan` are the format, `survey` reads a folder of it and tells damage apart; `log` keeps segments and cleans
//! them; `quarantine` sets damaged bytes aside; `files` is all that is done on disk, with `disk` the real one and `sim`
//! one that loses power and breaks.
mod accounts;
pub mod disk;
pub mod files;
pub mod frame;
pub mod log;
pub mod quarantine;
pub mod scan;
pub mod sim;
pub mod survey;
