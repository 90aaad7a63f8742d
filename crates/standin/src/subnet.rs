//! Loopback addresses that no other run on this machine uses.

use std::io;
use std::net::{Ipv4Addr, UdpSocket};

/// A /24 of loopback addresses, taken for as long as the value lives.
///
/// The kernel picks a port that no other process has; the port names the subnet.
#[derive(Debug)]
pub struct Subnet {
    reservation: UdpSocket,
    port: u16,
}

impl Subnet {
    /// Takes a subnet.
    ///
    /// # Errors
    ///
    /// If the kernel has no port left.
    pub fn reserve() -> io::Result<Self> {
        let reservation = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        let port = reservation.local_addr()?.port();
        Ok(Self { reservation, port })
    }

    /// An address of the subnet.
    #[must_use]
    pub const fn address(&self, host: u8) -> Ipv4Addr {
        let [high, low] = self.port.to_be_bytes();
        Ipv4Addr::new(127, high, low, host)
    }

    /// The socket that holds the subnet.
    #[must_use]
    pub const fn reservation(&self) -> &UdpSocket {
        &self.reservation
    }
}
