//! Visits the JSON of a list without holding it in memory.

use super::bounded_reader::EntryProgress;
use super::builder::Builder;
use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;

/// Deserializes a list: an object with `generation`, `reset` and `instances` in any order.
pub(super) struct ListSeed<'b, 'c> {
    pub(super) builder: &'b mut Builder<'c>,
    pub(super) progress: EntryProgress,
}

/// Deserializes an object that has a list as one of its members.
pub(super) struct MemberSeed<'b, 'c> {
    pub(super) name: &'b str,
    /// Set to true if the object has the member.
    pub(super) found: &'b mut bool,
    pub(super) builder: &'b mut Builder<'c>,
    pub(super) progress: EntryProgress,
}

/// Deserializes the array of entries.
struct InstancesSeed<'b, 'c> {
    builder: &'b mut Builder<'c>,
    progress: EntryProgress,
}

impl<'de> DeserializeSeed<'de> for ListSeed<'_, '_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for ListSeed<'_, '_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list of endpoints")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<Cow<str>>()? {
            match key.as_ref() {
                "generation" => self.builder.generation = map.next_value()?,
                "reset" => self.builder.reset = map.next_value()?,
                "instances" => {
                    let progress = self.progress.clone();
                    map.next_value_seed(InstancesSeed { builder: &mut *self.builder, progress })?;
                }
                _ => _ = map.next_value::<IgnoredAny>()?,
            }
        }
        Ok(())
    }
}

impl<'de> DeserializeSeed<'de> for InstancesSeed<'_, '_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for InstancesSeed<'_, '_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("the entries of a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        // Each element only has to be valid JSON here; the builder leaves out those that are no entries.
        while let Some(entry) = seq.next_element::<Box<RawValue>>()? {
            self.builder.add_entry(entry.get()).map_err(A::Error::custom)?;
            self.progress.entry_read();
        }
        Ok(())
    }
}

impl<'de> DeserializeSeed<'de> for MemberSeed<'_, '_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for MemberSeed<'_, '_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "an object with a list as {:?}", self.name)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<Cow<str>>()? {
            if key != self.name {
                map.next_value::<IgnoredAny>()?;
                continue;
            }
            *self.found = true;
            let progress = self.progress.clone();
            map.next_value_seed(ListSeed { builder: &mut *self.builder, progress })?;
        }
        Ok(())
    }
}
