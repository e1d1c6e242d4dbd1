//! Processes of the control plane under the platform's signals.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// The first of three consecutive ports that are free for now.
fn free_ports() -> u16 {
    loop {
        let first = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = first.local_addr().unwrap().port();
        let is_free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if port < 65_000 && is_free(port + 1) && is_free(port + 2) {
            return port;
        }
    }
}

fn settings(directory: &Path) -> String {
    let (port, control) = (free_ports(), free_ports());
    format!(
        r#"node_name = "one"
role = "store"
machine_class = "storage"
serves = ["storage"]
ip_address = "127.0.0.1"
zone = "a"
region = "r"
internal_ports = [{port},{}]
seed_nodes = ["127.0.0.1:{control}"]
first_start = true
counts_toward_quorum = true
data_directory = "{}"
heartbeat_ms = 1200
[listen_addresses]
control_plane = "127.0.0.1:{control}"
[limits]
cpu_share = 0.5
memory_mb = 300
max_open_files = 8200
disk_mb = 100
[fault_tolerance]
machines = 1
[bounds]
"#,
        port + 15,
        directory.display()
    )
}

/// Starts the verb and waits for the log line of this prefix, which reports that it serves.
fn start(verb: &str, settings: &Path, prefix: &str) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mintlb-control"));
    command
        .arg(verb)
        .env("MINTLB_BOOT", settings)
        .stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let mut lines = lines.map_while(Result::ok);
    assert!(
        lines.any(|line| line.contains(prefix)),
        "{verb} logged nothing with {prefix:?}"
    );
    // The pipe needs a reader, or the process blocks when it logs.
    std::thread::spawn(move || lines.for_each(drop));
    child
}

fn survives_sighup(verb: &str, prefix: &str) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("node.toml");
    std::fs::write(&path, settings(&directory.path().join("data"))).unwrap();
    std::fs::create_dir(directory.path().join("data")).unwrap();
    let mut child = start(verb, &path, prefix);
    let pid = Pid::from_raw(child.id() as i32);
    kill(pid, Signal::SIGHUP).unwrap();
    kill(pid, Signal::SIGTERM).unwrap();
    let status = child.wait().unwrap();
    assert!(status.success(), "{verb}: {status}");
}

#[test]
fn a_store_survives_sighup_and_shuts_down_gracefully() {
    survives_sighup("store", "store:");
}

#[test]
fn a_controller_survives_sighup_and_shuts_down_gracefully() {
    survives_sighup("controller", "controller:");
}
