//! The list of workers as a process last heard it, left for the next one of its name. What the list told the one counts
//! for the other, too (rule 3): who takes over while the list is out of reach must not send to what is known to drain.
//!
//! What can't be read, is torn, or is another's or another version's, is as if nothing had been left.

use mintlb_core::membership::worker_id;
use mintlb_http::list_service::{ListMessage, ListedWorker};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Of another form nothing is read.
const FORM: u32 = 1;

#[derive(Deserialize, Serialize)]
struct Kept {
    form: u32,
    name: String,
    /// Where it was heard. Versions that could not move left no address: theirs is the one that is followed.
    at: Option<SocketAddr>,
    list: ListMessage,
}

pub struct Record {
    path: PathBuf,
    name: String,
    /// Where the list is heard: another service's may be of another deployment.
    at: SocketAddr,
    workers: BTreeMap<String, ListedWorker>,
}

impl Record {
    pub fn new(folder: &Path, name: &str, at: SocketAddr) -> Record {
        let path = folder.join(format!("mintlb-list-{:012x}.json", worker_id(name)));
        Record {
            path,
            name: name.to_string(),
            at,
            workers: BTreeMap::new(),
        }
    }

    /// The list is heard there from now on.
    pub fn moved(&mut self, at: SocketAddr) {
        self.at = at;
        self.workers.clear();
    }

    /// What was left, if it is newer than what is known otherwise.
    pub fn newer(&self, known: Option<ListMessage>) -> Option<ListMessage> {
        let kept = fs::read(&self.path)
            .ok()
            .and_then(|json| serde_json::from_slice::<Kept>(&json).ok());
        let kept = kept.filter(|kept| {
            kept.form == FORM
                && kept.name == self.name
                && kept.at.is_none_or(|at| at == self.at)
                && kept.list.full
        });
        let version = known.as_ref().map_or(0, |known| known.version);
        kept.map(|kept| kept.list)
            .filter(|list| list.version > version)
            .or(known)
    }

    /// The list has said this; the whole as it is then is left.
    pub fn hear(&mut self, said: &ListMessage) -> io::Result<()> {
        if said.full {
            self.workers.clear();
        }
        for worker in &said.workers {
            match worker.listed_state() {
                mintlb_scheduler::ListState::Gone => drop(self.workers.remove(&worker.id)),
                _ => drop(self.workers.insert(worker.id.clone(), worker.clone())),
            }
        }
        let workers = self.workers.values().cloned().collect();
        let list = ListMessage {
            version: said.version,
            full: true,
            workers,
        };
        let json = serde_json::to_vec(&Kept {
            form: FORM,
            name: self.name.clone(),
            at: Some(self.at),
            list,
        })?;
        // Whole or not at all, whenever this process is killed; and two write beside each other.
        let fresh = self.path.with_extension(std::process::id().to_string());
        fs::write(&fresh, json)?;
        fs::rename(&fresh, &self.path)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(version: u64, full: bool, states: &str) -> ListMessage {
        let workers = states.split_whitespace().map(|word| {
            let (id, state) = word.split_once('=').unwrap();
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
    fn what_was_heard_last_is_read_and_what_is_spoilt_is_not() {
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let folder = std::env::temp_dir().join(format!("mintlb-record-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let shown = |name: &str, known: u64| {
            let read = Record::new(&folder, name, at(1))
                .newer((known > 0).then(|| list(known, true, "k=SERVING")));
            let workers = read.iter().flat_map(|list| &list.workers);
            workers
                .map(|worker| format!("{}={}", worker.id, worker.state))
                .collect::<Vec<_>>()
                .join(" ")
        };
        assert_eq!(
            (shown("n1", 0).as_str(), shown("n1", 3).as_str()),
            ("", "k=SERVING"),
            "nothing was left"
        );
        let mut record = Record::new(&folder, "n1", at(1));
        for (said, left) in [
            (list(4, true, "a=SERVING b=SERVING"), "a=SERVING b=SERVING"),
            (
                list(5, false, "b=DRAINING c=SERVING"),
                "a=SERVING b=DRAINING c=SERVING",
            ),
            (list(6, false, "a=DELETED"), "b=DRAINING c=SERVING"),
            (list(7, true, "d=SERVING"), "d=SERVING"),
        ] {
            record.hear(&said).unwrap();
            assert_eq!(shown("n1", 3), left, "newer than what is known");
            assert_eq!(shown("n1", 9), "k=SERVING", "older");
            assert_eq!(shown("n2", 3), "k=SERVING", "another's");
        }
        record.moved(at(2));
        record.hear(&list(8, false, "e=SERVING")).unwrap();
        assert_eq!(
            shown("n1", 3),
            "k=SERVING",
            "it was heard at another address since"
        );
        record.moved(at(1));
        record.hear(&list(9, true, "f=SERVING")).unwrap();
        assert_eq!(shown("n1", 3), "f=SERVING");
        let whole = fs::read_to_string(&record.path).unwrap();
        for (why, text) in [
            ("torn", whole[..whole.len() / 2].to_string()),
            ("empty", String::new()),
            ("of another form", whole.replace("\"form\":1", "\"form\":2")),
            (
                "of another list service",
                whole.replace("127.0.0.1:1\",\"list", "127.0.0.1:2\",\"list"),
            ),
            ("of another name", whole.replace("\"n1\"", "\"n3\"")),
        ] {
            fs::write(&record.path, text).unwrap();
            assert_eq!(shown("n1", 3), "k=SERVING", "{why}");
        }
        let old = whole.replace("\"at\":\"127.0.0.1:1\",", "");
        assert_ne!(old, whole);
        fs::write(&record.path, old).unwrap();
        assert_eq!(
            shown("n1", 3),
            "f=SERVING",
            "left by a version that wrote no address"
        );
        fs::remove_dir_all(&folder).unwrap();
    }
}
