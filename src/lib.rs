#![doc = include_str!("../README.md")]
pub mod api;
pub mod policy;
pub mod records;
pub mod settings;
mod state;
mod statistics;
