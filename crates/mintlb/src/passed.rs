//! The clients' listening socket, where the platform holds it for all processes of a scheduler and passes it on.

use socket2::SockRef;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};

/// The variable that names its descriptor.
pub const VARIABLE: &str = "ROUTER_PASSED_SOCKET";

/// The socket of the descriptor that the variable's value names. To be called once: the socket is owned from then on.
pub fn listener(value: &str) -> Result<TcpListener, String> {
    let wrong = |why: &str| format!("{VARIABLE}: {value:?} {why}");
    let number: RawFd = value
        .trim()
        .parse()
        .map_err(|_| wrong("is no descriptor's number"))?;
    // 0 to 2 are the standard streams.
    if number < 3 {
        return Err(wrong("is no descriptor that a socket is passed as"));
    }
    // SAFETY: it is only asked what it is, and a number that stands for nothing is answered by an error.
    let known = unsafe { BorrowedFd::borrow_raw(number) };
    match SockRef::from(&known).is_listener() {
        Ok(true) => {}
        Ok(false) => return Err(wrong("is a socket that does not listen")),
        Err(e) => return Err(wrong(&format!("is no listening socket: {e}"))),
    }
    // SAFETY: the platform passes it to this process, and nothing else here uses it.
    let listener = unsafe { TcpListener::from_raw_fd(number) };
    listener
        .set_nonblocking(true)
        .map_err(|e| wrong(&format!("can't be listened on: {e}")))?;
    match listener.local_addr() {
        Ok(SocketAddr::V4(_) | SocketAddr::V6(_)) => Ok(listener),
        Err(e) => Err(wrong(&format!("is no TCP socket: {e}"))),
    }
}
