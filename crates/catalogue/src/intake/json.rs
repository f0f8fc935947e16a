//! The JSON form of a list, visited without holding it.

use super::builder::Builder;
use super::source::Progress;
use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;

/// A list: an object with `generation`, `reset` and `instances` in any order.
pub(super) struct List<'b, 'c> {
    pub(super) builder: &'b mut Builder<'c>,
    pub(super) progress: Progress,
}

/// An object one member of which is a list.
pub(super) struct Member<'b, 'c> {
    pub(super) name: &'b str,
    pub(super) found: &'b mut bool,
    pub(super) builder: &'b mut Builder<'c>,
    pub(super) progress: Progress,
}

struct Instances<'b, 'c> {
    builder: &'b mut Builder<'c>,
    progress: Progress,
}

impl<'de> DeserializeSeed<'de> for List<'_, '_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for List<'_, '_> {
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
                    map.next_value_seed(Instances { builder: &mut *self.builder, progress })?;
                }
                _ => _ = map.next_value::<IgnoredAny>()?,
            }
        }
        Ok(())
    }
}

impl<'de> DeserializeSeed<'de> for Instances<'_, '_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for Instances<'_, '_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("the entries of a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        // What can't be read as an entry is still read over as JSON.
        while let Some(entry) = seq.next_element::<Box<RawValue>>()? {
            self.builder.entry(entry.get()).map_err(A::Error::custom)?;
            self.progress.entry_read();
        }
        Ok(())
    }
}

impl<'de> DeserializeSeed<'de> for Member<'_, '_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for Member<'_, '_> {
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
            map.next_value_seed(List { builder: &mut *self.builder, progress })?;
        }
        Ok(())
    }
}
