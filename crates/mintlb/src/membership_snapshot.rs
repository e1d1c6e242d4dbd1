//! The membership snapshot: a file with the last known list of workers, written by one process for the next one of the
//! same scheduler name. A drain that the list announced to one process binds its successor, too (rule 3): if the list
//! service is unreachable when the successor starts, it still must not send to workers that are known to drain.
//!
//! A file that can't be read, is corrupt, or is of another scheduler name or format version counts as missing.

use mintlb_core::membership::worker_id;
use mintlb_http::list_service::{ListMessage, ListedWorker};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Files with another format version are ignored.
const FORMAT_VERSION: u32 = 1;

#[derive(Deserialize, Serialize)]
struct Snapshot {
    #[serde(rename = "form")]
    format_version: u32,
    name: String,
    /// The list service's address. Missing in files of program versions that could not change the address while
    /// serving; it is then taken to be the current one.
    #[serde(rename = "at")]
    discovery: Option<SocketAddr>,
    list: ListMessage,
}

/// The snapshot file of one scheduler name, and the current list of workers.
pub struct SnapshotFile {
    path: PathBuf,
    name: String,
    /// The list service's address. A snapshot of another list service may be of another deployment and is ignored.
    discovery: SocketAddr,
    workers: BTreeMap<String, ListedWorker>,
}

impl SnapshotFile {
    pub fn new(directory: &Path, name: &str, discovery: SocketAddr) -> SnapshotFile {
        let path = directory.join(format!("mintlb-list-{:012x}.json", worker_id(name)));
        SnapshotFile {
            path,
            name: name.to_string(),
            discovery,
            workers: BTreeMap::new(),
        }
    }

    /// Changes the list service's address, and forgets the workers of the former one.
    pub fn set_discovery(&mut self, discovery: SocketAddr) {
        self.discovery = discovery;
        self.workers.clear();
    }

    /// The list in the file if it is newer than `known`, or else `known`.
    pub fn newer(&self, known: Option<ListMessage>) -> Option<ListMessage> {
        let snapshot = fs::read(&self.path)
            .ok()
            .and_then(|json| serde_json::from_slice::<Snapshot>(&json).ok());
        let snapshot = snapshot.filter(|snapshot| {
            snapshot.format_version == FORMAT_VERSION
                && snapshot.name == self.name
                && snapshot
                    .discovery
                    .is_none_or(|discovery| discovery == self.discovery)
                && snapshot.list.full
        });
        let version = known.as_ref().map_or(0, |known| known.version);
        snapshot
            .map(|snapshot| snapshot.list)
            .filter(|list| list.version > version)
            .or(known)
    }

    /// Applies a message of the list service, and writes the resulting list to the file.
    pub fn update(&mut self, message: &ListMessage) -> io::Result<()> {
        if message.full {
            self.workers.clear();
        }
        for worker in &message.workers {
            match worker.listed_state() {
                mintlb_scheduler::ListState::Gone => drop(self.workers.remove(&worker.id)),
                _ => drop(self.workers.insert(worker.id.clone(), worker.clone())),
            }
        }
        let workers = self.workers.values().cloned().collect();
        let list = ListMessage {
            version: message.version,
            full: true,
            workers,
        };
        let json = serde_json::to_vec(&Snapshot {
            format_version: FORMAT_VERSION,
            name: self.name.clone(),
            discovery: Some(self.discovery),
            list,
        })?;
        // The rename replaces the file atomically, so that it is complete even if this process is killed. The temporary
        // name contains the process id, as two processes may write at the same time.
        let temporary = self.path.with_extension(std::process::id().to_string());
        fs::write(&temporary, json)?;
        fs::rename(&temporary, &self.path)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(version: u64, full: bool, states: &str) -> ListMessage {
        let workers = states.split_whitespace().map(|worker| {
            let (id, state) = worker.split_once('=').unwrap();
            format!(r#"{{"id":"{id}","addr":"127.0.0.1:1","state":"{state}"}}"#)
        });
        let workers: Vec<String> = workers.collect();
        let json = format!(
            r#"{{"version":{version},"full":{full},"servers":[{}]}}"#,
            workers.join(",")
        );
        serde_json::from_str(&json).unwrap()
    }

    #[test]
    fn the_last_list_is_read_back_and_invalid_files_are_ignored() {
        let discovery = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let directory =
            std::env::temp_dir().join(format!("mintlb-snapshot-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let loaded = |name: &str, known: u64| {
            let list = SnapshotFile::new(&directory, name, discovery(1))
                .newer((known > 0).then(|| list(known, true, "k=SERVING")));
            let workers = list.iter().flat_map(|list| &list.workers);
            workers
                .map(|worker| format!("{}={}", worker.id, worker.state))
                .collect::<Vec<_>>()
                .join(" ")
        };
        assert_eq!(
            (loaded("n1", 0).as_str(), loaded("n1", 3).as_str()),
            ("", "k=SERVING"),
            "there is no file"
        );
        let mut file = SnapshotFile::new(&directory, "n1", discovery(1));
        for (message, expected) in [
            (list(4, true, "a=SERVING b=SERVING"), "a=SERVING b=SERVING"),
            (
                list(5, false, "b=DRAINING c=SERVING"),
                "a=SERVING b=DRAINING c=SERVING",
            ),
            (list(6, false, "a=DELETED"), "b=DRAINING c=SERVING"),
            (list(7, true, "d=SERVING"), "d=SERVING"),
        ] {
            file.update(&message).unwrap();
            assert_eq!(loaded("n1", 3), expected, "newer than the known list");
            assert_eq!(loaded("n1", 9), "k=SERVING", "older than the known list");
            assert_eq!(loaded("n2", 3), "k=SERVING", "of another name");
        }
        file.set_discovery(discovery(2));
        file.update(&list(8, false, "e=SERVING")).unwrap();
        assert_eq!(
            loaded("n1", 3),
            "k=SERVING",
            "of another list service, as the address has changed since"
        );
        file.set_discovery(discovery(1));
        file.update(&list(9, true, "f=SERVING")).unwrap();
        assert_eq!(loaded("n1", 3), "f=SERVING");
        let text_written = fs::read_to_string(&file.path).unwrap();
        for (case, text) in [
            (
                "truncated",
                text_written[..text_written.len() / 2].to_string(),
            ),
            ("empty", String::new()),
            (
                "of another format version",
                text_written.replace("\"form\":1", "\"form\":2"),
            ),
            (
                "of another list service",
                text_written.replace("127.0.0.1:1\",\"list", "127.0.0.1:2\",\"list"),
            ),
            ("of another name", text_written.replace("\"n1\"", "\"n3\"")),
        ] {
            fs::write(&file.path, text).unwrap();
            assert_eq!(loaded("n1", 3), "k=SERVING", "{case}");
        }
        let old = text_written.replace("\"at\":\"127.0.0.1:1\",", "");
        assert_ne!(old, text_written);
        fs::write(&file.path, old).unwrap();
        assert_eq!(
            loaded("n1", 3),
            "f=SERVING",
            "of a program version that wrote no address"
        );
        fs::remove_dir_all(&directory).unwrap();
    }
}
