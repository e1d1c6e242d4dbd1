//! Log lines while keys are checked. In a test program of its own, as a process has only one logger.

mod harness;

use harness::{CONFIGURATION, STEP_TIMEOUT, TestDispatcher, run_single_threaded};
use log::{LevelFilter, Log, Metadata, Record};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::{advance, pause, resume, timeout};

/// Longer than the interval at which a dispatcher logs its counts.
const REPORT_TIME: Duration = Duration::from_millis(5100);

/// A logger that sends each line to the test.
struct LineSender(UnboundedSender<String>);

impl Log for LineSender {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        self.0.send(record.args().to_string()).ok();
    }

    fn flush(&self) {}
}

#[test]
fn admissions_are_logged_in_one_line_and_no_log_line_contains_a_key() {
    let (sender, mut lines) = unbounded_channel();
    log::set_boxed_logger(Box::new(LineSender(sender))).unwrap();
    log::set_max_level(LevelFilter::Trace);
    run_single_threaded(async move {
        let dispatcher = TestDispatcher::start().await;
        let tenants =
            r#""config_version":3,"tenant_list":[{"name":"north","api_keys":["secret-1"]}],"#;
        let configuration = CONFIGURATION.replacen(r#""config_version":3,"#, tenants, 1);
        dispatcher.configure(&configuration).await;
        for (id, value) in [("a", "Bearer secret-2"), ("b", "Basic secret-1")] {
            let mut client = dispatcher.connect().await;
            let headers = format!("Authorization: {value}\r\n");
            client.send_request("/p/1", id, &headers, "").await;
            assert_eq!(client.read_response().await.status, 401);
        }
        // There is no worker: this request is rejected after a while, or waits until the end of the test.
        let mut client = dispatcher.connect().await;
        let headers = "Authorization: Bearer secret-1\r\n";
        client.send_request("/p/1", "c", headers, "").await;
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
        timeout(STEP_TIMEOUT, reported)
            .await
            .expect("the counts were not logged in time");
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
        assert_eq!(with_key, None, "a log line contains a key");
    });
}
