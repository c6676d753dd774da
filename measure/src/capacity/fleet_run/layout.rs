//! Which machine stands where, and at which loopback address each party of a fleet is reached.

use std::net::Ipv4Addr;

/// Regions, which divide the zones evenly.
pub const REGIONS: u32 = 2;

/// The first two bytes of the loopback addresses of each kind of party; the last two hold its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Party {
    /// Where a router's datagrams come from and go to.
    Peer,
    /// Where the relay takes datagrams for a real router.
    Relay,
    Host,
    /// Discovery, as one router reaches it.
    Discovery,
    /// The platform, as one router reaches it.
    Platform,
}

impl Party {
    const fn second_byte(self) -> u8 {
        match self {
            Party::Peer => 10,
            Party::Relay => 11,
            Party::Host => 20,
            Party::Discovery => 30,
            Party::Platform => 31,
        }
    }

    pub fn address(self, number: u32) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second_byte(), (number >> 8) as u8, number as u8)
    }

    /// Whose address this is.
    pub fn number(self, address: Ipv4Addr) -> Option<u32> {
        let [first, second, high, low] = address.octets();
        (first == 127 && second == self.second_byte())
            .then(|| u32::from(high) << 8 | u32::from(low))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub region: u32,
    pub zone: u32,
    pub rack: u32,
}

/// How many machines there are of each kind, and over how many racks and zones they are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    pub routers: u32,
    /// Of the routers, those that are processes of the program itself.
    pub real: u32,
    pub hosts: u32,
    pub zones: u32,
    pub racks: u32,
}

impl Layout {
    fn place(&self, number: u32) -> Place {
        let rack = number % self.racks;
        let zone = rack % self.zones;
        Place {
            region: zone * REGIONS / self.zones,
            zone,
            rack,
        }
    }

    pub fn router_place(&self, router: u32) -> Place {
        self.place(router)
    }

    pub fn host_place(&self, host: u32) -> Place {
        self.place(host)
    }

    /// The real routers, spread evenly over the numbers, and so over racks and zones.
    pub fn real_routers(&self) -> impl Iterator<Item = u32> + use<> {
        let step = self.routers / self.real.max(1);
        (0..self.real).map(move |place| place * step)
    }

    pub fn is_real(&self, router: u32) -> bool {
        let step = self.routers / self.real.max(1);
        router.is_multiple_of(step) && router / step < self.real
    }

    pub fn hollow_routers(&self) -> impl Iterator<Item = u32> + use<> {
        let layout = *self;
        (0..layout.routers).filter(move |router| !layout.is_real(*router))
    }
}

#[cfg(test)]
mod tests;
