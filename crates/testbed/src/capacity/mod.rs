//! `docs/CAPACITY.md`: its tables are made from the files that the scale tests gave, in `docs/capacity/`.
//!
//! A table stands between `<!-- table NAME -->` and `<!-- end -->`; everything else on the page is written by hand.
mod measured;
pub mod page;
mod sender_tables;
pub mod table;
mod tables;
