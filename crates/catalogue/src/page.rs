//! Records of endpoints with neighbouring numbers, with their names.

use crate::{Lifecycle, ARC_COUNTS};
use std::net::{IpAddr, SocketAddr};

/// Records of one page at most.
pub(crate) const PAGE: usize = 128;

/// One endpoint. Zone and machine type are numbers of an interner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Record {
    pub(crate) destination: u64,
    pub(crate) weight: f64,
    /// Of IPv4; of another kind the page has it beside its records. Set by [`Page::put`].
    pub(crate) address: [u8; 4],
    pub(crate) port: u16,
    pub(crate) zone: u16,
    pub(crate) machine_type: u16,
    pub(crate) state: State,
    /// Where its name begins in the page's names, and its length; set by [`Page::put`].
    pub(crate) name_at: u16,
    pub(crate) name_length: u8,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum State {
    /// No endpoint has this number now.
    #[default]
    Vacant,
    Ready,
    Draining,
}

impl State {
    pub(crate) fn lifecycle(self) -> Option<Lifecycle> {
        match self {
            State::Vacant => None,
            State::Ready => Some(Lifecycle::Ready),
            State::Draining => Some(Lifecycle::Draining),
        }
    }
}

impl From<Lifecycle> for State {
    fn from(lifecycle: Lifecycle) -> State {
        match lifecycle {
            Lifecycle::Ready => State::Ready,
            Lifecycle::Draining => State::Draining,
        }
    }
}

#[derive(Clone, Default)]
pub(crate) struct Page {
    records: Vec<Record>,
    names: String,
    /// Addresses that are not IPv4, by place.
    other_addresses: Vec<(usize, SocketAddr)>,
}

impl Page {
    /// The record at a place, where an endpoint has it.
    pub(crate) fn record(&self, place: usize) -> Option<&Record> {
        self.records.get(place).filter(|record| record.state != State::Vacant)
    }

    pub(crate) fn name(&self, record: &Record) -> &str {
        let start = usize::from(record.name_at);
        &self.names[start..start + usize::from(record.name_length)]
    }

    pub(crate) fn address(&self, place: usize, record: &Record) -> SocketAddr {
        let other = self.other_addresses.iter().find(|other| other.0 == place);
        other.map_or_else(|| SocketAddr::from((record.address, record.port)), |other| other.1)
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.records.len()).filter(|&place| self.record(place).is_some())
    }

    /// Puts a record in its place. A name has at most [`crate::MAX_NAME_BYTES`] bytes.
    pub(crate) fn put(&mut self, place: usize, name: &str, address: SocketAddr, mut record: Record) {
        self.other_addresses.retain(|other| other.0 != place);
        match address.ip() {
            IpAddr::V4(packed) => (record.address, record.port) = (packed.octets(), address.port()),
            IpAddr::V6(_) => self.other_addresses.push((place, address)),
        }
        if self.records.is_empty() && place == 0 {
            // Numbers are given in order: this page will be filled.
            self.records.reserve_exact(PAGE);
        }
        if self.records.len() <= place {
            self.records.resize(place + 1, Record::default());
        }
        let old = self.records[place];
        if old.state != State::Vacant && self.name(&old) == name {
            (record.name_at, record.name_length) = (old.name_at, old.name_length);
        } else {
            record.name_at = u16::try_from(self.names.len()).expect("a page's names are bounded");
            record.name_length = u8::try_from(name.len()).expect("a name's length is bounded");
            self.names.push_str(name);
        }
        self.records[place] = record;
        if self.records.len() == PAGE {
            self.shrink();
        }
    }

    /// Makes a place vacant, and drops its name.
    pub(crate) fn clear(&mut self, place: usize) {
        if let Some(record) = self.records.get_mut(place) {
            *record = Record::default();
        }
        self.other_addresses.retain(|other| other.0 != place);
        let old = std::mem::take(&mut self.names);
        for record in self.records.iter_mut().filter(|record| record.state != State::Vacant) {
            let start = usize::from(record.name_at);
            record.name_at = u16::try_from(self.names.len()).expect("a page's names are bounded");
            self.names.push_str(&old[start..start + usize::from(record.name_length)]);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.live().next().is_none()
    }

    pub(crate) fn shrink(&mut self) {
        self.records.shrink_to_fit();
        self.names.shrink_to_fit();
        self.other_addresses.shrink_to_fit();
    }

    pub(crate) fn heap_bytes(&self) -> usize {
        let rows = size_of_val(self.records.as_slice()) + size_of_val(self.other_addresses.as_slice());
        rows + self.names.len() + size_of::<Page>() + ARC_COUNTS
    }
}
