//! What a process makes its machine hold: memory, bytes that have arrived for
//! it, descriptors.

use std::{collections::HashSet, fs, net::SocketAddr};

/// What a process holds at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Footprint {
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Bytes that have arrived at its sockets and that it has not read.
    pub unread_bytes: u64,
    /// Number of open descriptors.
    pub descriptors: u64,
}

impl Footprint {
    /// Returns the footprint of a process; `None` if it has ended.
    ///
    /// The unread bytes include those of connections to `listener` that it
    /// has not accepted yet.
    pub fn of(process_id: u32, listener: SocketAddr) -> Option<Footprint> {
        let links = fs::read_dir(format!("/proc/{process_id}/fd")).ok()?;
        let links: Vec<_> = links.flatten().collect();
        let sockets: HashSet<u64> = links
            .iter()
            .filter_map(|link| {
                let target = fs::read_link(link.path()).ok()?;
                let target = target.to_str()?.strip_prefix("socket:[")?;
                target.strip_suffix(']')?.parse().ok()
            })
            .collect();
        let table = fs::read_to_string("/proc/net/tcp").ok()?;
        let listener = kernel_address(listener)?;
        let unread = table.lines().skip(1).filter_map(|line| {
            Socket::parse(line).filter(|socket| {
                let is_pending = socket.inode == 0 && socket.local == listener;
                is_pending || sockets.contains(&socket.inode)
            })
        });
        Some(Footprint {
            resident_bytes: status_bytes(process_id, "VmRSS")?,
            unread_bytes: unread.map(|socket| socket.unread_bytes).sum(),
            descriptors: links.len() as u64,
        })
    }

    /// Returns the bytes that the process has and those that wait for it.
    pub fn held_bytes(self) -> u64 {
        self.resident_bytes + self.unread_bytes
    }
}

/// A connected socket in the kernel's table.
struct Socket {
    local: String,
    unread_bytes: u64,
    inode: u64,
}

impl Socket {
    /// Parses a line of `/proc/net/tcp`; `None` for a socket that listens,
    /// whose queue counts connections.
    fn parse(line: &str) -> Option<Socket> {
        const LISTENING: &str = "0A";
        let words: Vec<&str> = line.split_whitespace().collect();
        let (_, unread) = words.get(4)?.split_once(':')?;
        (*words.get(3)? != LISTENING).then_some(())?;
        Some(Socket {
            local: (*words.get(1)?).to_owned(),
            unread_bytes: u64::from_str_radix(unread, 16).ok()?,
            inode: words.get(9)?.parse().ok()?,
        })
    }
}

/// Returns an IPv4 address as the kernel's table has it.
fn kernel_address(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

/// Returns a size from the status of a process, in bytes; `None` if it has
/// ended.
pub(crate) fn status_bytes(process_id: u32, field: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process_id}/status"));
    let status = status.ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(field))?;
    let kib = line.strip_prefix(':')?.split_whitespace().next()?;
    Some(kib.parse::<u64>().ok()? << 10)
}
