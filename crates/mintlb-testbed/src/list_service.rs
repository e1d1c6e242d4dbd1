//! The simulated list service. Each process reaches it at a separate address and is given its own addresses of the
//! workers.

use crate::observations::{ListUpdate, Recorder};
use crate::scenario::Scenario;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// State of a worker as reported to processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    Serving,
    Draining,
    Deleted,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    zone: usize,
    state: WorkerState,
    started_ms: u64,
    /// Version of the list in which this entry last changed.
    version: u64,
}

struct Inner {
    /// Version of the list, and its entries by worker.
    entries: Mutex<(u64, Vec<Entry>)>,
    changed: Condvar,
    zones: Vec<String>,
    /// Addresses of the workers, by worker and process.
    worker_addresses: Vec<Vec<SocketAddr>>,
    recorder: Recorder,
}

#[derive(Clone)]
pub struct ListService(Arc<Inner>);

/// Interval of empty lines sent to watchers while nothing changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl ListService {
    pub fn new(
        scenario: &Scenario,
        worker_addresses: Vec<Vec<SocketAddr>>,
        recorder: Recorder,
    ) -> ListService {
        let entry = |(zone, _)| Entry {
            zone,
            state: WorkerState::Serving,
            started_ms: 0,
            version: 1,
        };
        ListService(Arc::new(Inner {
            entries: Mutex::new((1, scenario.workers().map(entry).collect())),
            changed: Condvar::new(),
            zones: scenario.zones.iter().map(|z| z.name.clone()).collect(),
            worker_addresses,
            recorder,
        }))
    }

    /// Changes the state of the zone's workers, and their start time if one is given.
    pub fn set_zone_state(&self, zone: &str, state: WorkerState, started_ms: Option<u64>) {
        let mut entries = self
            .0
            .entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        entries.0 += 1;
        let version = entries.0;
        for entry in entries
            .1
            .iter_mut()
            .filter(|entry| self.0.zones[entry.zone] == zone)
        {
            let started_ms = started_ms.unwrap_or(entry.started_ms);
            *entry = Entry {
                state,
                started_ms,
                version,
                ..*entry
            };
        }
        self.0.changed.notify_all();
    }

    /// Serves one process at its address until the service is dropped.
    pub fn listen(&self, process: usize, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let service = Arc::downgrade(&self.0);
        std::thread::spawn(move || {
            while let Some(service) = service.upgrade().map(ListService) {
                match listener.accept() {
                    Ok((stream, _)) => drop(std::thread::spawn(move || {
                        stream.set_nonblocking(false)?;
                        service.serve(process, stream)
                    })),
                    Err(_) => std::thread::sleep(ACCEPT_POLL_INTERVAL),
                }
            }
        });
        Ok(())
    }

    /// The list as JSON: the entries changed after version `since`, or all if it is absent. Records what the process is
    /// told.
    fn render_update(
        &self,
        process: usize,
        since: Option<u64>,
        (version, entries): &(u64, Vec<Entry>),
    ) -> String {
        let changed = entries
            .iter()
            .enumerate()
            .filter(|(_, e)| since.is_none_or(|since| e.version > since));
        let now = self.0.recorder.now();
        let mut servers = Vec::new();
        for (worker, entry) in changed {
            if entry.state == WorkerState::Deleted && since.is_none() {
                continue;
            }
            let state = match entry.state {
                WorkerState::Serving => "SERVING",
                WorkerState::Draining => "DRAINING",
                WorkerState::Deleted => "DELETED",
            };
            let Entry {
                zone, started_ms, ..
            } = *entry;
            servers.push(format!(
                "{{\"id\":\"s-{:08x}\",\"addr\":\"{}\",\"zone\":\"{}\",\"kind\":\"m\",\"cell\":0,\"state\":\"{state}\",\
                 \"weight\":1.0,\"started_ms\":{started_ms}}}",
                worker + 1,
                self.0.worker_addresses[worker][process],
                self.0.zones[zone]
            ));
            let ready = entry.state == WorkerState::Serving;
            self.0
                .recorder
                .observations()
                .list_updates
                .push(ListUpdate {
                    process,
                    worker,
                    at: now,
                    ready,
                });
        }
        let full = since.is_none();
        format!(
            "{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}",
            servers.join(",")
        )
    }

    fn serve(&self, process: usize, mut stream: TcpStream) -> std::io::Result<()> {
        let (mut request, mut buffer) = (Vec::new(), [0; 4096]);
        while !request.windows(4).any(|end| end == b"\r\n\r\n") {
            let n = stream.read(&mut buffer)?;
            if n == 0 || request.len() > 1 << 16 {
                return Ok(());
            }
            request.extend_from_slice(&buffer[..n]);
        }
        let request = String::from_utf8_lossy(&request).to_string();
        let line = request.lines().next().unwrap_or_default();
        let lock = || {
            self.0
                .entries
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
        };
        if !line.contains("watch=1") {
            let body = self.render_update(process, None, &lock());
            let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ";
            return write!(stream, "{head}{}\r\n\r\n{body}", body.len());
        }
        let after = line
            .split("after=")
            .nth(1)
            .and_then(|v| v.split([' ', '&']).next()?.parse().ok());
        write!(
            stream,
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        )?;
        let (mut known_version, mut entries): (Option<u64>, _) = (after, lock());
        loop {
            let update = self.render_update(process, known_version, &entries);
            let version = entries.0;
            known_version = Some(version);
            drop(entries);
            write!(stream, "{:x}\r\n{update}\n\r\n", update.len() + 1)?;
            entries = loop {
                let unchanged = |entries: &mut (u64, Vec<Entry>)| entries.0 <= version;
                let waited =
                    self.0
                        .changed
                        .wait_timeout_while(lock(), KEEPALIVE_INTERVAL, unchanged);
                let (entries, _) = waited.unwrap_or_else(PoisonError::into_inner);
                if entries.0 > version {
                    break entries;
                }
                drop(entries);
                write!(stream, "1\r\n\n\r\n")?;
            };
        }
    }
}
