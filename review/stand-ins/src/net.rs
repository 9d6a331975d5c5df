//! System calls that the standard library does not offer: connections from a given source address, and
//! processes that end with their parent.

use std::{
    io,
    net::{Ipv4Addr, SocketAddrV4, TcpStream},
    os::fd::{FromRawFd, OwnedFd},
};

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// `struct sockaddr_in` of Linux.
#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

impl Address {
    fn new(address: SocketAddrV4) -> Self {
        Self {
            family: AF_INET as u16,
            port: address.port().to_be_bytes(),
            ip: address.ip().octets(),
            zero: [0; 8],
        }
    }
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const Address, length: u32) -> i32;
    fn connect(socket: i32, address: *const Address, length: u32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Makes the calling process get SIGKILL when the thread that started it ends.
pub fn end_with_parent() -> io::Result<()> {
    // SAFETY: this option takes the number of a signal.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Opens a connection from `source` to `target`.
pub fn connect_from(source: Ipv4Addr, target: SocketAddrV4) -> io::Result<TcpStream> {
    let length = size_of::<Address>() as u32;
    let (source, target) = (Address::new(SocketAddrV4::new(source, 0)), Address::new(target));
    // SAFETY: the addresses live through the calls and have the given length; the descriptor is owned by
    // `stream` from its creation on.
    unsafe {
        let number = socket(AF_INET, SOCK_STREAM, 0);
        if number < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from(OwnedFd::from_raw_fd(number));
        if bind(number, &source, length) != 0 || connect(number, &target, length) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
