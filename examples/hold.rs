//! Holds the clients' listening socket as a platform does: binds an address and becomes the command, which inherits the
//! socket. What that command starts can serve on it, one after another or side by side.
//!
//!     cargo run --release --example hold -- 127.0.0.1:7070 sh

use socket2::SockRef;
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::process::Command;

fn main() -> Result<(), String> {
    let mut words = std::env::args().skip(1);
    let (Some(at), Some(command)) = (words.next(), words.next()) else {
        return Err("an address and a command are needed: 127.0.0.1:7070 sh".to_string());
    };
    let listener = TcpListener::bind(&at).map_err(|e| format!("{at}: {e}"))?;
    SockRef::from(&listener)
        .set_cloexec(false)
        .map_err(|e| format!("{at}: {e}"))?;
    let number = listener.as_raw_fd().to_string();
    let why = Command::new(&command)
        .args(words)
        .env("ROUTER_PASSED_SOCKET", number)
        .exec();
    Err(format!("{command}: {why}"))
}
