//! A synthetic deployment of any size, drawn from a seed, and its endpoint list in discovery's JSON form.
use crate::platform::list::Lifecycle;
use crate::seed::Seed;
use rand::{Rng, RngExt};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};

/// Regions, each with its own address of the list service.
pub const REGIONS: u32 = 4;
/// Zones in all regions: four in the first region, three in each other.
pub const ZONES: u32 = 13;
/// Machine types of endpoints.
pub const MACHINE_TYPES: [&str; 3] = ["flagship", "independent", "small"];
/// Destinations per thousand that are down at any time.
pub const DOWN_IN_1000: u32 = 11;
/// Multiplier of a multiplicative hash; odd, so that the hash is a bijection on 32 bits.
const HASH_MULTIPLIER: u32 = 0x9e37_79b1;

/// Returns the region that a zone belongs to.
pub fn region_of_zone(zone: u32) -> u32 {
    zone % REGIONS
}

/// Returns a zone's name in the list and in the settings.
pub fn zone_name(zone: u32) -> String {
    format!("r{}-zone-{}", region_of_zone(zone) + 1, zone / REGIONS + 1)
}

/// The size of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    pub destinations: u32,
    /// Mean number of endpoints per destination, at least 1; the excess over 1 goes to randomly drawn
    /// destinations.
    pub endpoints_per_destination: f64,
}

impl Size {
    /// Returns the size with one endpoint for each destination.
    pub fn single(destinations: u32) -> Size {
        Size { destinations, endpoints_per_destination: 1.0 }
    }
}

/// The addresses that the list gives for endpoints.
#[derive(Clone, Debug)]
pub enum Addresses {
    /// One for each endpoint, in 10.0.0.0/8. Nothing listens there, so nothing may call them.
    Synthetic,
    /// Endpoints share the `live` sockets; those of destinations that are down all get the address `down`.
    Shared { live: Vec<SocketAddr>, down: SocketAddr },
}

/// An endpoint that is or was in the list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    pub destination: u32,
    pub lifecycle: Lifecycle,
    pub weight: f32,
}

/// A change of the deployment, by the endpoint's number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The endpoint is gone, and a new one takes its place.
    Replace(u32),
    /// The endpoint starts to drain.
    Drain(u32),
    /// The endpoint has a new weight.
    Weight(u32, f32),
}

/// The endpoints of all destinations.
#[derive(Clone, Debug)]
pub struct Deployment {
    seed: Seed,
    size: Size,
    addresses: Addresses,
    endpoints: Vec<Endpoint>,
}

impl Deployment {
    /// Draws a deployment from a seed.
    pub fn new(seed: Seed, size: Size, addresses: Addresses) -> Deployment {
        let mut random = seed.stream("deployment", 0);
        let mut endpoints =
            Vec::with_capacity((f64::from(size.destinations) * size.endpoints_per_destination) as usize);
        let mean_extra = (size.endpoints_per_destination - 1.0).max(0.0);
        for destination in 0..size.destinations {
            // The number of extra endpoints is geometric: most destinations have none, a few have many.
            let mut count = 1;
            while random.random::<f64>() < mean_extra / (1.0 + mean_extra) {
                count += 1;
            }
            for _ in 0..count {
                let weight = (random.random_range(1..=400) as f32) / 100.0;
                endpoints.push(Endpoint { destination, lifecycle: Lifecycle::Ready, weight });
            }
        }
        Deployment { seed, size, addresses, endpoints }
    }

    /// Returns the number of destinations.
    pub fn destinations(&self) -> u32 {
        self.size.destinations
    }

    /// Returns the count of endpoints so far, including those that are gone, as numbers are not reused.
    pub fn endpoints(&self) -> u32 {
        self.endpoints.len() as u32
    }

    /// Returns the endpoint of a number.
    pub fn endpoint(&self, number: u32) -> Endpoint {
        self.endpoints[number as usize]
    }

    /// Returns the number of endpoints in the whole list.
    pub fn listed_endpoints(&self) -> usize {
        self.endpoints.iter().filter(|e| e.lifecycle != Lifecycle::Gone).count()
    }

    /// Returns the instance id of an endpoint.
    pub fn name(&self, number: u32) -> String {
        format!("s-{:08x}", (number ^ self.seed.0 as u32).wrapping_mul(HASH_MULTIPLIER))
    }

    /// Returns the zone of an endpoint.
    pub fn zone(&self, number: u32) -> u32 {
        (number.wrapping_mul(HASH_MULTIPLIER) >> 8) % ZONES
    }

    /// Returns the machine type of an endpoint.
    pub fn machine_type(&self, number: u32) -> &'static str {
        MACHINE_TYPES[(number.wrapping_mul(HASH_MULTIPLIER) >> 4) as usize % MACHINE_TYPES.len()]
    }

    /// Returns whether the destination is down for the whole run.
    pub fn is_down(&self, destination: u32) -> bool {
        (destination ^ self.seed.0 as u32).wrapping_mul(HASH_MULTIPLIER) / 1_000 % 1_000 < DOWN_IN_1000
    }

    /// Returns the address that the list gives for an endpoint.
    pub fn address(&self, number: u32) -> SocketAddr {
        match &self.addresses {
            Addresses::Synthetic => {
                let host = Ipv4Addr::from(0x0a00_0000 | (number & 0x00ff_ffff));
                SocketAddr::from((host, 5_000 + (number >> 24) as u16))
            }
            Addresses::Shared { down, .. } if self.is_down(self.endpoint(number).destination) => *down,
            Addresses::Shared { live, .. } => live[number as usize % live.len()],
        }
    }

    /// Draws a change of a ready endpoint: 6 of 10 are replacements, as after a restart elsewhere, the rest
    /// new weights.
    ///
    /// None is a drain, as a destination whose only endpoint drains could not be delivered to.
    pub fn draw_change(&self, random: &mut impl Rng) -> Change {
        let number = loop {
            let number = random.random_range(0..self.endpoints());
            if self.endpoint(number).lifecycle == Lifecycle::Ready {
                break number;
            }
        };
        match random.random_range(0..10) {
            0..6 => Change::Replace(number),
            _ => Change::Weight(number, (random.random_range(1..=400) as f32) / 100.0),
        }
    }

    /// Applies a change, and returns the numbers of the endpoints whose entries it touches.
    pub fn apply(&mut self, change: Change) -> Vec<u32> {
        match change {
            Change::Replace(number) => {
                let old = &mut self.endpoints[number as usize];
                let new = Endpoint { lifecycle: Lifecycle::Ready, ..*old };
                old.lifecycle = Lifecycle::Gone;
                self.endpoints.push(new);
                vec![number, self.endpoints() - 1]
            }
            Change::Drain(number) => {
                self.endpoints[number as usize].lifecycle = Lifecycle::Terminating;
                vec![number]
            }
            Change::Weight(number, weight) => {
                self.endpoints[number as usize].weight = weight;
                vec![number]
            }
        }
    }

    /// Writes one entry of the list.
    pub fn write_entry(&self, number: u32, to: &mut impl Write) -> io::Result<()> {
        let Endpoint { destination, lifecycle, weight } = self.endpoint(number);
        write!(
            to,
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"{}\",\"cell\":{destination},\
             \"lifecycle\":\"{}\",\"weight\":{weight:.2},\"startedAtMs\":0}}",
            self.name(number),
            self.address(number),
            zone_name(self.zone(number)),
            self.machine_type(number),
            lifecycle.name(),
        )
    }

    /// Writes the entries whose lifecycle passes `keep`, in order and separated by commas.
    pub fn write_entries(
        &self,
        numbers: impl Iterator<Item = u32>,
        keep: impl Fn(Lifecycle) -> bool,
        to: &mut impl Write,
    ) -> io::Result<()> {
        let mut first = true;
        for number in numbers.filter(|&n| keep(self.endpoint(n).lifecycle)) {
            if !std::mem::take(&mut first) {
                to.write_all(b",")?;
            }
            self.write_entry(number, to)?;
        }
        Ok(())
    }

    /// Writes the whole list without holding more than one entry in memory.
    pub fn write_list(&self, generation: u64, to: &mut impl Write) -> io::Result<()> {
        write!(to, "{}", list_head(generation, true))?;
        self.write_entries(0..self.endpoints(), |l| l != Lifecycle::Gone, to)?;
        to.write_all(LIST_END)
    }
}

/// The end of a serialised list.
pub const LIST_END: &[u8] = b"]}";

/// Returns the start of a serialised list, up to its first entry.
pub fn list_head(generation: u64, reset: bool) -> String {
    format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[")
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::Value;
    use std::collections::BTreeSet;

    fn list(deployment: &Deployment) -> Value {
        let mut bytes = Vec::new();
        deployment.write_list(7, &mut bytes).unwrap();
        serde_json::from_slice(&bytes).unwrap()
    }

    #[test]
    fn list_has_each_endpoint_once_and_no_gone_ones() {
        let mut deployment = Deployment::new(Seed(5), Size::single(1_000), Addresses::Synthetic);
        assert_eq!(deployment.apply(Change::Replace(3)), [3, 1_000]);
        assert_eq!(deployment.apply(Change::Drain(4)), [4]);
        let list = list(&deployment);
        let entries = list["instances"].as_array().unwrap();
        let names: BTreeSet<&str> = entries.iter().map(|e| e["instanceId"].as_str().unwrap()).collect();
        assert_eq!((names.len(), entries.len(), deployment.listed_endpoints()), (1_000, 1_000, 1_000));
        assert!(!names.contains(deployment.name(3).as_str()));
        assert_eq!(entries[3]["lifecycle"], "Terminating");
        assert_eq!(entries[999]["cell"], 3);
    }

    #[test]
    fn drawn_shares_match_the_configured_ones() {
        let size = Size { destinations: 20_000, endpoints_per_destination: 1.6 };
        let deployment = Deployment::new(Seed(6), size, Addresses::Synthetic);
        let mean = f64::from(deployment.endpoints()) / 20_000.0;
        assert!((mean - 1.6).abs() < 0.05, "{mean}");
        let down = (0..20_000).filter(|&d| deployment.is_down(d)).count() as f64 / 20_000.0;
        assert!((down - 0.011).abs() < 0.003, "{down}");
        let zones: BTreeSet<u32> = (0..1_000).map(|n| deployment.zone(n)).collect();
        assert_eq!(zones.len(), ZONES as usize);
    }
}
