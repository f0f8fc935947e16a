//! Generates the tables of `docs/CAPACITY.md` from the results of scale measurements in `docs/capacity/`.
//!
//! A table stands between `<!-- table NAME -->` and `<!-- end -->`; the rest of the page is written by hand.
mod measured;
pub mod page;
mod sender_tables;
pub mod table;
mod tables;
