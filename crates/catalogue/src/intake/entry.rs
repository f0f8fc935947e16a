//! One entry of a list.

use crate::{Endpoint, Lifecycle, MAX_NAME_BYTES};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::borrow::Cow;

/// What an entry says of an endpoint.
pub(super) enum Entry<'a> {
    Listed(Endpoint<'a>),
    /// The endpoint of that name is off the list.
    Gone(&'a str),
}

/// The members of an entry. Those that an endpoint can do without are read as far as they can be.
#[derive(Deserialize)]
pub(super) struct Fields<'a> {
    #[serde(rename = "instanceId", borrow)]
    name: Cow<'a, str>,
    #[serde(rename = "hostPort", borrow)]
    address: Cow<'a, str>,
    cell: u64,
    #[serde(borrow)]
    lifecycle: Cow<'a, str>,
    #[serde(default, deserialize_with = "readable")]
    zone: String,
    #[serde(default, rename = "machineType", deserialize_with = "readable")]
    machine_type: String,
    #[serde(default, deserialize_with = "readable")]
    weight: f64,
}

/// The value if it has the right form, else the default.
fn readable<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: serde::de::DeserializeOwned + Default,
{
    let raw = <&RawValue>::deserialize(deserializer)?;
    Ok(serde_json::from_str(raw.get()).unwrap_or_default())
}

impl<'a> Fields<'a> {
    pub(super) fn parse(text: &'a str) -> Option<Fields<'a>> {
        serde_json::from_str(text).ok()
    }

    /// The entry; None where a member that it needs can't be read.
    pub(super) fn entry(&self) -> Option<Entry<'_>> {
        if self.name.len() > MAX_NAME_BYTES {
            return None;
        }
        let lifecycle = match self.lifecycle.as_ref() {
            "Gone" => return Some(Entry::Gone(&self.name)),
            "Ready" => Lifecycle::Ready,
            // Also what is not known: it gets nothing new.
            _ => Lifecycle::Draining,
        };
        Some(Entry::Listed(Endpoint {
            name: &self.name,
            address: self.address.parse().ok()?,
            zone: &self.zone,
            machine_type: &self.machine_type,
            destination: self.cell,
            lifecycle,
            weight: self.weight,
        }))
    }
}
