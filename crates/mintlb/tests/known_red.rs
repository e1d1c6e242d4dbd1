//! What CI passes over: the tests that KNOWN-RED.txt lists, and no others.

use std::path::Path;
use std::process::Command;

#[test]
fn only_what_is_listed_well_is_passed_over() {
    let tests = "running::a: test\na_test: test\nanother: test\nthird: test\nfourth: test\n\n5 tests, 0 benchmarks\n";
    let line = |name: &str| format!("{name}, its cause, 41\n");
    let cases = [
        ("nothing", String::new(), Ok("")),
        ("one", line("a_test"), Ok("a_test\n")),
        ("by its path", line("running::a"), Ok("running::a\n")),
        (
            "three",
            line("a_test") + &line("another") + "\n" + &line("third"),
            Ok("a_test\nanother\nthird\n"),
        ),
        (
            "four",
            ["a_test", "another", "third", "fourth"].map(line).concat(),
            Err("4 tests, 3 at most"),
        ),
        (
            "none of that name",
            line("a_tes"),
            Err("a_tes: there is no such test"),
        ),
        (
            "a part of a name",
            line("a"),
            Err("a: there is no such test"),
        ),
        (
            "without an issue",
            "a_test, its cause\n".into(),
            Err("test, cause, issue"),
        ),
        (
            "without a cause",
            "a_test,,41\n".into(),
            Err("test, cause, issue"),
        ),
        ("a name alone", "a_test\n".into(), Err("test, cause, issue")),
    ];
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("known-red");
    std::fs::create_dir_all(&folder).unwrap();
    let (file, list) = (folder.join("KNOWN-RED.txt"), folder.join("tests"));
    std::fs::write(&list, tests).unwrap();
    let run = || Command::new(&script).args([&file, &list]).output().unwrap();
    std::fs::remove_file(&file).ok();
    assert!(run().status.success() && run().stdout.is_empty(), "no file");
    for (shown, text, expected) in cases {
        std::fs::write(&file, text).unwrap();
        let ran = run();
        let (out, err) = (
            String::from_utf8_lossy(&ran.stdout),
            String::from_utf8_lossy(&ran.stderr),
        );
        match expected {
            Ok(names) => assert!(ran.status.success() && out == names, "{shown}: {out}{err}"),
            Err(why) => assert!(
                !ran.status.success() && err.contains(why),
                "{shown}: {out}{err}"
            ),
        }
    }
}
