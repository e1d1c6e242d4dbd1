//! The file by which one process leaves the list of workers to the next one of its name, and the list service's words
//! that it is made of. The next process may be of another version, so that a change of the source, such as a renaming,
//! must leave the file's name and its bytes as they are in `fixtures/`.

use mintlb::record::Record;
use mintlb_http::list_service::ListMessage;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The file's name for a scheduler named `n1`, and what it holds.
const FILE: &str = "mintlb-list-7b07b558dc73.json";
const LEFT: &str = include_str!("fixtures/mintlb-list-7b07b558dc73.json");
/// What the list service said before: the whole list, and then a change of it.
const SAID: &str = include_str!("fixtures/said.jsonl");

const AT: &str = "127.0.0.1:9000";

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("mintlb-wire-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn record(folder: &Path, name: &str) -> Record {
    Record::new(folder, name, AT.parse::<SocketAddr>().unwrap())
}

#[test]
fn the_list_is_left_as_in_the_fixture() {
    let folder = folder("left");
    let mut record = record(&folder, "n1");
    for line in SAID.lines() {
        record
            .hear(&serde_json::from_str::<ListMessage>(line).unwrap())
            .unwrap();
    }
    let files: Vec<_> = fs::read_dir(&folder)
        .unwrap()
        .map(|file| file.unwrap().file_name())
        .collect();
    assert_eq!(files, [FILE]);
    assert_eq!(fs::read_to_string(folder.join(FILE)).unwrap(), LEFT);
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_fixture_is_read_as_the_list_that_was_left() {
    let folder = folder("read");
    let older = LEFT.replace(&format!(r#""at":"{AT}","#), "");
    assert_ne!(older, LEFT);
    for (left, why) in [
        (LEFT, "as it is left now"),
        (&older, "left by a version that wrote no address"),
    ] {
        fs::write(folder.join(FILE), left).unwrap();
        let mut record = record(&folder, "n1");
        let list = record.newer(None).expect(why);
        let json = serde_json::to_string(&list).unwrap();
        assert!(LEFT.contains(&format!(r#""list":{json}"#)), "{why}: {json}");
        record.hear(&list).unwrap();
        assert_eq!(
            fs::read_to_string(folder.join(FILE)).unwrap(),
            LEFT,
            "{why}: left again"
        );
    }
    fs::remove_dir_all(&folder).unwrap();
}
