//! Parses one entry of a list.

use crate::{Endpoint, Lifecycle, MAX_NAME_BYTES};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::borrow::Cow;

/// A parsed entry.
pub(super) enum Entry<'a> {
    /// The endpoint is listed.
    Listed(Endpoint<'a>),
    /// The endpoint of this name is removed from the list.
    Gone(&'a str),
}

/// The JSON members of an entry. Optional members that can't be read have their default value.
#[derive(Deserialize)]
pub(super) struct Fields<'a> {
    #[serde(rename = "instanceId", borrow)]
    name: Cow<'a, str>,
    #[serde(rename = "hostPort", borrow)]
    address: Cow<'a, str>,
    cell: u64,
    #[serde(borrow)]
    lifecycle: Cow<'a, str>,
    #[serde(default, deserialize_with = "value_or_default")]
    zone: String,
    #[serde(default, rename = "machineType", deserialize_with = "value_or_default")]
    machine_type: String,
    #[serde(default, deserialize_with = "value_or_default")]
    weight: f64,
}

/// Deserializes a value, or returns the default if it has the wrong type.
fn value_or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: serde::de::DeserializeOwned + Default,
{
    let raw = <&RawValue>::deserialize(deserializer)?;
    Ok(serde_json::from_str(raw.get()).unwrap_or_default())
}

impl<'a> Fields<'a> {
    /// Parses the JSON of an entry; `None` if it is no object or a required member can't be read.
    pub(super) fn parse(text: &'a str) -> Option<Fields<'a>> {
        serde_json::from_str(text).ok()
    }

    /// The entry; `None` if its name is too long or its address can't be parsed.
    pub(super) fn entry(&self) -> Option<Entry<'_>> {
        if self.name.len() > MAX_NAME_BYTES {
            return None;
        }
        let lifecycle = match self.lifecycle.as_ref() {
            "Gone" => return Some(Entry::Gone(&self.name)),
            "Ready" => Lifecycle::Ready,
            // `Terminating`, and any unknown value: the endpoint gets no new calls.
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
