//! The list service: each process has an address of its own for it, and is told its own addresses of the workers.

use crate::scenario::Scenario;
use crate::seen::{Book, Told};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Serving,
    Draining,
    Deleted,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    zone: usize,
    state: State,
    started_ms: u64,
    /// The version that this is of.
    version: u64,
}

struct Inner {
    entries: Mutex<(u64, Vec<Entry>)>,
    changed: Condvar,
    zones: Vec<String>,
    /// By worker and process.
    at: Vec<Vec<SocketAddr>>,
    book: Book,
}

#[derive(Clone)]
pub struct List(Arc<Inner>);

/// While nothing changes, an empty line comes so often.
const BEAT: Duration = Duration::from_secs(2);
/// Between looks for who connects.
const ACCEPT: Duration = Duration::from_millis(5);

impl List {
    pub fn new(scenario: &Scenario, at: Vec<Vec<SocketAddr>>, book: Book) -> List {
        let entry = |(zone, _)| Entry {
            zone,
            state: State::Serving,
            started_ms: 0,
            version: 1,
        };
        List(Arc::new(Inner {
            entries: Mutex::new((1, scenario.workers().map(entry).collect())),
            changed: Condvar::new(),
            zones: scenario.zones.iter().map(|z| z.name.clone()).collect(),
            at,
            book,
        }))
    }

    /// From now on the zone's workers are listed so; those that come back have started now.
    pub fn change(&self, zone: &str, state: State, started_ms: Option<u64>) {
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

    /// Serves one process at its address, for as long as the play lasts.
    pub fn listen(&self, process: usize, at: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(at)?;
        listener.set_nonblocking(true)?;
        let list = Arc::downgrade(&self.0);
        std::thread::spawn(move || {
            while let Some(list) = list.upgrade().map(List) {
                match listener.accept() {
                    Ok((stream, _)) => drop(std::thread::spawn(move || {
                        stream.set_nonblocking(false)?;
                        list.serve(process, stream)
                    })),
                    Err(_) => std::thread::sleep(ACCEPT),
                }
            }
        });
        Ok(())
    }

    /// What has changed since, or all, as it is written, with the version.
    fn told(
        &self,
        process: usize,
        since: Option<u64>,
        (version, entries): &(u64, Vec<Entry>),
    ) -> String {
        let news = entries
            .iter()
            .enumerate()
            .filter(|(_, e)| since.is_none_or(|since| e.version > since));
        let now = self.0.book.now();
        let mut said = Vec::new();
        for (worker, entry) in news {
            if entry.state == State::Deleted && since.is_none() {
                continue;
            }
            let state = match entry.state {
                State::Serving => "SERVING",
                State::Draining => "DRAINING",
                State::Deleted => "DELETED",
            };
            let Entry {
                zone, started_ms, ..
            } = *entry;
            said.push(format!(
                "{{\"id\":\"s-{:08x}\",\"addr\":\"{}\",\"zone\":\"{}\",\"kind\":\"m\",\"cell\":0,\"state\":\"{state}\",\
                 \"weight\":1.0,\"started_ms\":{started_ms}}}",
                worker + 1,
                self.0.at[worker][process],
                self.0.zones[zone]
            ));
            let ready = entry.state == State::Serving;
            self.0.book.seen().told.push(Told {
                process,
                worker,
                at: now,
                ready,
            });
        }
        let full = since.is_none();
        format!(
            "{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}",
            said.join(",")
        )
    }

    fn serve(&self, process: usize, mut stream: TcpStream) -> std::io::Result<()> {
        let (mut asked, mut piece) = (Vec::new(), [0; 4096]);
        while !asked.windows(4).any(|end| end == b"\r\n\r\n") {
            let n = stream.read(&mut piece)?;
            if n == 0 || asked.len() > 1 << 16 {
                return Ok(());
            }
            asked.extend_from_slice(&piece[..n]);
        }
        let asked = String::from_utf8_lossy(&asked).to_string();
        let line = asked.lines().next().unwrap_or_default();
        let lock = || {
            self.0
                .entries
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
        };
        if !line.contains("watch=1") {
            let whole = self.told(process, None, &lock());
            let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: ";
            return write!(stream, "{head}{}\r\n\r\n{whole}", whole.len());
        }
        let after = line
            .split("after=")
            .nth(1)
            .and_then(|v| v.split([' ', '&']).next()?.parse().ok());
        write!(
            stream,
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        )?;
        let (mut known, mut entries): (Option<u64>, _) = (after, lock());
        loop {
            let said = self.told(process, known, &entries);
            let version = entries.0;
            known = Some(version);
            drop(entries);
            write!(stream, "{:x}\r\n{said}\n\r\n", said.len() + 1)?;
            entries = loop {
                let unchanged = |entries: &mut (u64, Vec<Entry>)| entries.0 <= version;
                let woken = self.0.changed.wait_timeout_while(lock(), BEAT, unchanged);
                let (entries, _) = woken.unwrap_or_else(PoisonError::into_inner);
                if entries.0 > version {
                    break entries;
                }
                drop(entries);
                write!(stream, "1\r\n\n\r\n")?;
            };
        }
    }
}
