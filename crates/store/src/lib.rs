//! A durable log of what a process owes, in bounded room. `docs/design/recovery.md` says what is promised.
//!
//! `frame` and `scan` are the format; `log` keeps segments and cleans them; `files` is all that it does on disk, with
//! `disk` the real one and `sim` one that loses power and breaks.
pub mod disk;
pub mod files;
pub mod frame;
pub mod log;
pub mod scan;
pub mod sim;
