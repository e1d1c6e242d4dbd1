//! Two events that cross, in the order that is the worse one: the program on real sockets. Each peer does the second thing
//! once it has seen the first.

mod harness;

use harness::*;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A dial that takes longer than a listener here is late by.
const PATIENT: (&str, &str) = ("\"dial_timeout\": 250.0", "\"dial_timeout\": 4000.0");
const MAY_NOT: (&str, &str) = ("\"may_cancel\": true", "\"may_cancel\": false");

/// A system tries again after one second, and then after two.
const TRIED_AGAIN: Duration = Duration::from_millis(3500);

/// The connection to a worker comes up after the worker was heard to drain or to be gone, or after the client has left:
/// nothing is written to it.
#[test]
fn what_has_changed_while_a_worker_was_dialled_holds() {
    for (shown, state, may_cancel) in [
        ("nothing happens", "SERVING", true),
        ("it drains", "DRAINING", true),
        ("it is gone", "DELETED", true),
        ("its client leaves", "", true),
        ("its client leaves, and nothing may be called off", "", false),
    ] {
        let late = late();
        let at = late.0.local_addr().unwrap();
        let slot = Arc::new(Mutex::new(listing(2, &[("s-1", at, "SERVING")])));
        let (limit, list) = (("\"hard_limit\": 3000.0", "\"hard_limit\": 30000.0"), list_by(slot.clone()));
        let mut changes = vec![SOON, PATIENT, ("127.0.0.1:8500", &list), limit];
        changes.extend(Some(MAY_NOT).filter(|_| !may_cancel));
        let mut program = start_at(at, "", &changes, None);
        let mut client = program.connect();
        client.write_all(post("/charge", "").as_bytes()).unwrap();
        program.logged("allocation sent");
        match state {
            "SERVING" => {}
            "" => {
                drop(client);
                program.logged("client has left");
            }
            _ => {
                *slot.lock().unwrap() = listing(3, &[("s-1", at, state)]);
                program.logged("the list has no ready worker");
            }
        }
        let came = came_late(late, TRIED_AGAIN);
        assert_eq!(came.starts_with("POST /charge"), state == "SERVING", "{shown}: {came:?}");
    }
}
