//! The listening socket for clients that the platform opens for all processes of one scheduler and passes to each as an
//! inherited file descriptor.

use socket2::SockRef;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};

/// The environment variable that holds the descriptor's number.
pub const ENV_VAR: &str = "ROUTER_PASSED_SOCKET";

/// Takes ownership of the listening socket whose descriptor number is in `value`, the value of [`ENV_VAR`]. Call it at
/// most once in a process. Fails if the number is no inherited, listening TCP socket.
pub fn listener(value: &str) -> Result<TcpListener, String> {
    let error = |why: &str| format!("{ENV_VAR}: {value:?} {why}");
    let descriptor: RawFd = value
        .trim()
        .parse()
        .map_err(|_| error("is not a descriptor number"))?;
    // 0 to 2 are the standard streams.
    if descriptor < 3 {
        return Err(error(
            "is a standard stream or negative, not an inherited socket",
        ));
    }
    // SAFETY: the descriptor is only queried; for a number that is not open the query returns an error.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    match SockRef::from(&borrowed).is_listener() {
        Ok(true) => {}
        Ok(false) => return Err(error("is a socket that is not listening")),
        Err(e) => return Err(error(&format!("is not a listening socket: {e}"))),
    }
    // SAFETY: the platform passes the descriptor to this process, and nothing else here uses it.
    let listener = unsafe { TcpListener::from_raw_fd(descriptor) };
    listener
        .set_nonblocking(true)
        .map_err(|e| error(&format!("can't be made non-blocking: {e}")))?;
    match listener.local_addr() {
        Ok(SocketAddr::V4(_) | SocketAddr::V6(_)) => Ok(listener),
        Err(e) => Err(error(&format!("is not a TCP socket: {e}"))),
    }
}
