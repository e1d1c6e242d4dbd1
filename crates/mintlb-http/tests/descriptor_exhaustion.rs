//! Exhaustion of file descriptors. A test program of its own, as the limit applies to the whole process.

mod support;

use mintlb_http::limits::HttpLimits;
use mintlb_http::list_service::ListClient;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use std::fs::File;
use std::net::TcpListener;
use std::time::Duration;
use support::limits;

/// The list client dials with its reserved descriptor when all others are in use, and gets the descriptor back after
/// each call although the rest of the process takes every descriptor that is closed.
#[tokio::test]
async fn the_list_service_is_dialled_when_all_descriptors_are_in_use() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let call_timeout = Duration::from_millis(200);
    let limits = HttpLimits {
        list_call_timeout: call_timeout,
        ..limits()
    };
    let list = ListClient::new(&limits, listener.local_addr().unwrap());
    let (_, hard_limit) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
    setrlimit(Resource::RLIMIT_NOFILE, 64, hard_limit).unwrap();
    let mut open_files: Vec<File> = Vec::new();
    for attempt in 0..4 {
        open_files.extend(std::iter::from_fn(|| File::open("/dev/null").ok()));
        // The connection is established, but nobody answers.
        let reason = list.watch(Some(1), |_| ()).await;
        assert!(
            reason.contains("timed out after 0.2 s"),
            "call {attempt}: {reason}"
        );
    }
    assert!(open_files.len() < 64);
}
