//! The membership snapshot file, which one process leaves for the next one of the same scheduler name, and the
//! messages of the list service that it is made of. The next process may run another version of the program, so the
//! file's name and its bytes must stay as they are in `fixtures/`, for example when fields are renamed in the
//! source.

use mintlb::membership_snapshot::SnapshotFile;
use mintlb_http::list_service::ListMessage;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The file's name for a scheduler named `n1`.
const FILE: &str = "mintlb-list-7b07b558dc73.json";
/// The file's content.
const CONTENT: &str = include_str!("fixtures/mintlb-list-7b07b558dc73.json");
/// The messages that lead to this content: the full list, and then a change.
const MESSAGES: &str = include_str!("fixtures/said.jsonl");

const DISCOVERY: &str = "127.0.0.1:9000";

fn create_directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("mintlb-wire-{name}-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    directory
}

fn snapshot_file(directory: &Path, name: &str) -> SnapshotFile {
    SnapshotFile::new(directory, name, DISCOVERY.parse::<SocketAddr>().unwrap())
}

#[test]
fn the_snapshot_is_written_as_in_the_fixture() {
    let directory = create_directory("left");
    let mut file = snapshot_file(&directory, "n1");
    for line in MESSAGES.lines() {
        file.update(&serde_json::from_str::<ListMessage>(line).unwrap())
            .unwrap();
    }
    let files: Vec<_> = fs::read_dir(&directory)
        .unwrap()
        .map(|file| file.unwrap().file_name())
        .collect();
    assert_eq!(files, [FILE]);
    assert_eq!(fs::read_to_string(directory.join(FILE)).unwrap(), CONTENT);
    fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn the_snapshot_is_read_as_in_the_fixture() {
    let directory = create_directory("read");
    let without_address = CONTENT.replace(&format!(r#""at":"{DISCOVERY}","#), "");
    assert_ne!(without_address, CONTENT);
    for (content, case) in [
        (CONTENT, "as it is written now"),
        (
            &without_address,
            "of a program version that wrote no address",
        ),
    ] {
        fs::write(directory.join(FILE), content).unwrap();
        let mut file = snapshot_file(&directory, "n1");
        let list = file.newer(None).expect(case);
        let json = serde_json::to_string(&list).unwrap();
        assert!(
            CONTENT.contains(&format!(r#""list":{json}"#)),
            "{case}: {json}"
        );
        file.update(&list).unwrap();
        assert_eq!(
            fs::read_to_string(directory.join(FILE)).unwrap(),
            CONTENT,
            "{case}: written again"
        );
    }
    fs::remove_dir_all(&directory).unwrap();
}
