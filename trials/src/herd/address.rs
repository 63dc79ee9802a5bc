//! Loopback addresses: each broker and server of a herd has one of its own, so that its port stays free while it is
//! down. Ports of outgoing connections are taken on 127.0.0.1.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Addresses that one process of the rig may use.
const BLOCK_BITS: u32 = 15;
/// Blocks in 127.0.0.0/8 without the first, which others use.
const BLOCKS: u32 = (1 << (24 - BLOCK_BITS)) - 2;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A socket that listens at an address of its own, on a free port.
pub fn listen() -> io::Result<TcpListener> {
    let block = 1 + std::process::id() % BLOCKS;
    // The first and the last address of a block are left out.
    let within = 1 + NEXT.fetch_add(1, Ordering::Relaxed) % ((1 << BLOCK_BITS) - 2);
    let address = Ipv4Addr::from_bits((127 << 24) | (block << BLOCK_BITS) | within);
    TcpListener::bind((IpAddr::V4(address), 0))
}

/// An address of its own at which nothing listens yet.
pub fn reserve() -> io::Result<SocketAddr> {
    listen()?.local_addr()
}
