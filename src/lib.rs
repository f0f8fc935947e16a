#![doc = include_str!("../README.md")]
pub mod api;
pub mod listed;
pub mod on_demand;
pub mod policy;
pub mod records;
pub mod settings;
mod state;
mod statistics;
mod stored;
