//! Sockets that listen on free ports, and those of clients that read slowly.

use std::{
    ffi::{c_int, c_void},
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    os::fd::FromRawFd,
    sync::Arc,
    thread,
};

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, size: u32) -> c_int;
    fn connect(fd: c_int, address: *const c_void, size: u32) -> c_int;
}

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;

/// Connects with segments as on Ethernet, and with a receive buffer of about
/// `receive_buffer` bytes.
pub fn connect_as_slow_reader(
    address: SocketAddrV4,
    receive_buffer: c_int,
) -> io::Result<TcpStream> {
    let segment: c_int = 1_460;
    let set = |fd, level, name, value: &c_int| {
        // SAFETY: the pointer is to an integer of the given size.
        unsafe { setsockopt(fd, level, name, (value as *const c_int).cast(), 4) }
    };
    // SAFETY: the call takes plain numbers.
    let fd = unsafe { socket(AF_INET, SOCK_STREAM, 0) };
    if fd < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the descriptor is open, and nothing else owns it.
    let stream = unsafe { TcpStream::from_raw_fd(fd) };
    if set(fd, IPPROTO_TCP, TCP_MAXSEG, &segment) < 0
        || set(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer) < 0
    {
        return Err(io::Error::last_os_error());
    }
    let mut encoded = [0_u8; 16];
    encoded[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    encoded[2..4].copy_from_slice(&address.port().to_be_bytes());
    encoded[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: the pointer is to a socket address of the given size.
    if unsafe { connect(fd, encoded.as_ptr().cast(), 16) } < 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(stream)
}

/// Listens on a free port.
pub fn listen(ip: Ipv4Addr) -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((ip, 0));
    let listener = listener.unwrap_or_else(|err| panic!("listen on a port of {ip}: {err}"));
    match listener.local_addr() {
        Ok(SocketAddr::V4(address)) => (listener, address),
        other => panic!("listen on a port of {ip}: its address is {other:?}"),
    }
}

/// Accepts connections in a thread of its own, and serves each in another one.
pub fn serve(listener: TcpListener, handler: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || handler(stream));
        }
    });
}
