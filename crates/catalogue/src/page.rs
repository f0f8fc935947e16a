//! A page: the records of endpoints with consecutive numbers, and their names.

use crate::{Lifecycle, ARC_COUNTS_BYTES};
use std::net::{IpAddr, SocketAddr};

/// Maximum number of records in a page.
pub(crate) const PAGE_RECORDS: usize = 128;

/// One endpoint. Zone and machine type are numbers of interned strings.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Record {
    pub(crate) destination: u64,
    pub(crate) weight: f64,
    /// The IPv4 address; the page keeps IPv6 addresses apart from its records. Set by [`Page::put`].
    pub(crate) address: [u8; 4],
    pub(crate) port: u16,
    pub(crate) zone: u16,
    pub(crate) machine_type: u16,
    pub(crate) state: RecordState,
    /// Offset of the name within the page's names; set by [`Page::put`].
    pub(crate) name_offset: u16,
    /// Length of the name in bytes; set by [`Page::put`].
    pub(crate) name_length: u8,
}

/// State of a record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RecordState {
    /// No listed endpoint has this number.
    #[default]
    Vacant,
    Ready,
    Draining,
}

impl RecordState {
    /// The lifecycle of the endpoint; `None` if the record is vacant.
    pub(crate) fn lifecycle(self) -> Option<Lifecycle> {
        match self {
            RecordState::Vacant => None,
            RecordState::Ready => Some(Lifecycle::Ready),
            RecordState::Draining => Some(Lifecycle::Draining),
        }
    }
}

impl From<Lifecycle> for RecordState {
    fn from(lifecycle: Lifecycle) -> RecordState {
        match lifecycle {
            Lifecycle::Ready => RecordState::Ready,
            Lifecycle::Draining => RecordState::Draining,
        }
    }
}

/// Records by their position in the page, with names and IPv6 addresses.
#[derive(Clone, Default)]
pub(crate) struct Page {
    records: Vec<Record>,
    /// The names of all records, one after the other.
    names: String,
    /// IPv6 addresses, with the position of their record.
    ipv6_addresses: Vec<(usize, SocketAddr)>,
}

impl Page {
    /// The record at a position, unless it is vacant.
    pub(crate) fn record(&self, position: usize) -> Option<&Record> {
        self.records.get(position).filter(|record| record.state != RecordState::Vacant)
    }

    /// The name of a record of this page.
    pub(crate) fn name(&self, record: &Record) -> &str {
        let start = usize::from(record.name_offset);
        &self.names[start..start + usize::from(record.name_length)]
    }

    /// The address of the record at a position.
    pub(crate) fn address(&self, position: usize, record: &Record) -> SocketAddr {
        let ipv6 = self.ipv6_addresses.iter().find(|ipv6| ipv6.0 == position);
        ipv6.map_or_else(|| SocketAddr::from((record.address, record.port)), |ipv6| ipv6.1)
    }

    /// The positions that are not vacant, ascending.
    pub(crate) fn occupied(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.records.len()).filter(|&position| self.record(position).is_some())
    }

    /// Sets the record at a position. The name has at most [`crate::MAX_NAME_BYTES`] bytes.
    pub(crate) fn put(&mut self, position: usize, name: &str, address: SocketAddr, mut record: Record) {
        self.ipv6_addresses.retain(|ipv6| ipv6.0 != position);
        match address.ip() {
            IpAddr::V4(ipv4) => (record.address, record.port) = (ipv4.octets(), address.port()),
            IpAddr::V6(_) => self.ipv6_addresses.push((position, address)),
        }
        if self.records.is_empty() && position == 0 {
            // Numbers are assigned in order, so this page will be filled.
            self.records.reserve_exact(PAGE_RECORDS);
        }
        if self.records.len() <= position {
            self.records.resize(position + 1, Record::default());
        }
        let old = self.records[position];
        if old.state != RecordState::Vacant && self.name(&old) == name {
            (record.name_offset, record.name_length) = (old.name_offset, old.name_length);
        } else {
            record.name_offset =
                u16::try_from(self.names.len()).expect("the names of a page take less than 64 KiB");
            record.name_length = u8::try_from(name.len()).expect("a name takes at most MAX_NAME_BYTES");
            self.names.push_str(name);
        }
        self.records[position] = record;
        if self.records.len() == PAGE_RECORDS {
            self.shrink();
        }
    }

    /// Makes a position vacant and removes its name.
    pub(crate) fn clear(&mut self, position: usize) {
        if let Some(record) = self.records.get_mut(position) {
            *record = Record::default();
        }
        self.ipv6_addresses.retain(|ipv6| ipv6.0 != position);
        let old = std::mem::take(&mut self.names);
        for record in self.records.iter_mut().filter(|record| record.state != RecordState::Vacant) {
            let start = usize::from(record.name_offset);
            record.name_offset =
                u16::try_from(self.names.len()).expect("the names of a page take less than 64 KiB");
            self.names.push_str(&old[start..start + usize::from(record.name_length)]);
        }
    }

    /// Whether all positions are vacant.
    pub(crate) fn is_empty(&self) -> bool {
        self.occupied().next().is_none()
    }

    /// Releases spare capacity.
    pub(crate) fn shrink(&mut self) {
        self.records.shrink_to_fit();
        self.names.shrink_to_fit();
        self.ipv6_addresses.shrink_to_fit();
    }

    /// Heap memory of the page, without spare capacity.
    pub(crate) fn heap_bytes(&self) -> usize {
        let rows = size_of_val(self.records.as_slice()) + size_of_val(self.ipv6_addresses.as_slice());
        rows + self.names.len() + size_of::<Page>() + ARC_COUNTS_BYTES
    }
}
