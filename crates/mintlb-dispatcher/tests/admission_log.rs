//! The lines of the log while keys are checked. A test process of its own: the log is one for all of its tests.

mod machine;

use log::{LevelFilter, Log, Metadata, Record};
use machine::{CONFIGURATION, Machine, STEP, on_one_thread};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::{advance, pause, resume, timeout};

/// The time after which a dispatcher reports its counts, and more.
const REPORT_TIME: Duration = Duration::from_millis(5100);

/// Passes on each line that it is given.
struct Lines(UnboundedSender<String>);

impl Log for Lines {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        self.0.send(record.args().to_string()).ok();
    }

    fn flush(&self) {}
}

#[test]
fn admissions_are_one_line_of_the_log_and_no_line_has_a_key() {
    let (sender, mut lines) = unbounded_channel();
    log::set_boxed_logger(Box::new(Lines(sender))).unwrap();
    log::set_max_level(LevelFilter::Trace);
    on_one_thread(async move {
        let machine = Machine::start().await;
        let tenants =
            r#""config_version":3,"tenant_list":[{"name":"north","api_keys":["secret-1"]}],"#;
        let configuration = CONFIGURATION.replacen(r#""config_version":3,"#, tenants, 1);
        machine.configure(&configuration).await;
        for (id, value) in [("a", "Bearer secret-2"), ("b", "Basic secret-1")] {
            let mut client = machine.client().await;
            let headers = format!("Authorization: {value}\r\n");
            client.post("/p/1", id, &headers, "").await;
            assert_eq!(client.get().await.status, 401);
        }
        // No worker is there: it is refused after a while, or stays until the end of the test.
        let mut client = machine.client().await;
        let headers = "Authorization: Bearer secret-1\r\n";
        client.post("/p/1", "c", headers, "").await;
        pause();
        advance(REPORT_TIME).await;
        resume();
        let mut seen = Vec::new();
        let reported = async {
            while let Some(line) = lines.recv().await {
                let is_report = line.starts_with("admission: ");
                seen.push(line);
                if is_report {
                    return;
                }
            }
        };
        timeout(STEP, reported).await.expect("no line tells of it");
        while let Ok(line) = lines.try_recv() {
            seen.push(line);
        }
        let reports: Vec<&String> = seen
            .iter()
            .filter(|line| line.starts_with("admission: "))
            .collect();
        assert_eq!(
            reports,
            [
                "admission: 0 admitted, 0 over their tenant's limit, 0 undecided, 0.0 ms on average and 0 ms at most; \
              0 without a key, 1 malformed, 1 with an unknown key"
            ]
        );
        let with_key = seen.iter().find(|line| line.contains("secret"));
        assert_eq!(with_key, None, "a line of the log has a key");
    });
}
