//! When the system gives no descriptor any more. In a process of its own, as all of one share its limit.

mod machine;

use machine::limits;
use mintlb_http::limits::HttpLimits;
use mintlb_http::list_service::ListClient;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use std::fs::File;
use std::net::TcpListener;
use std::time::Duration;

/// The list is called all the same, again and again, by the descriptor that is kept for it; whoever takes what is given up.
#[tokio::test]
async fn the_list_is_called_when_all_descriptors_are_taken() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let soon = Duration::from_millis(200);
    let limits = HttpLimits {
        list_call_timeout: soon,
        ..limits()
    };
    let list = ListClient::new(&limits, listener.local_addr().unwrap());
    let (_, most) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
    setrlimit(Resource::RLIMIT_NOFILE, 64, most).unwrap();
    let mut taken: Vec<File> = Vec::new();
    for call in 0..4 {
        taken.extend(std::iter::from_fn(|| File::open("/dev/null").ok()));
        // It comes up, but nobody answers.
        let said = list.watch(Some(1), |_| ()).await;
        assert!(said.contains("silent"), "call {call}: {said}");
    }
    assert!(taken.len() < 64);
}
