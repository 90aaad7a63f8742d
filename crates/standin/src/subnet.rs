//! Loopback subnets that are unique to a run on this machine.

use std::io;
use std::net::{Ipv4Addr, UdpSocket};

/// A /24 of loopback addresses, reserved until the value is dropped.
///
/// The kernel assigns a port that no other process uses; the port number determines the subnet.
#[derive(Debug)]
pub struct Subnet {
    reservation: UdpSocket,
    port: u16,
}

impl Subnet {
    /// Reserves a subnet.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel has no free port.
    pub fn reserve() -> io::Result<Self> {
        let reservation = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        let port = reservation.local_addr()?.port();
        Ok(Self { reservation, port })
    }

    /// Returns an address of the subnet.
    #[must_use]
    pub const fn address(&self, host: u8) -> Ipv4Addr {
        let [high, low] = self.port.to_be_bytes();
        Ipv4Addr::new(127, high, low, host)
    }

    /// Returns the socket whose port reserves the subnet.
    #[must_use]
    pub const fn reservation(&self) -> &UdpSocket {
        &self.reservation
    }
}
