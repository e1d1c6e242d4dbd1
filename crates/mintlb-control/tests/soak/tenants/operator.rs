//! The operator: takes keys away, adds them, moves them and changes limits, one change at a time.

use super::configuration::{History, JOB_TENANTS, TENANTS, TenantList, new_key};
use crate::cluster::network::Network;
use crate::http::{self, Answer, CallError};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const PAUSE_MS: std::ops::Range<u64> = 100..900;
/// An order is clear after this time: everything works again.
const ORDER_TIME: Duration = Duration::from_secs(60);
const LOWEST_RATE: u32 = 5;

/// The operator of one run.
pub struct Operator {
    controllers: Vec<SocketAddr>,
    history: Arc<Mutex<History>>,
    tenants: TenantList,
    version: u64,
    random: fastrand::Rng,
    seed: u64,
    new_keys: usize,
}

impl Operator {
    pub fn new(
        network: Network,
        controllers: &[usize],
        history: Arc<Mutex<History>>,
        seed: u64,
    ) -> Operator {
        let controllers = controllers.iter();
        Operator {
            controllers: controllers
                .map(|number| network.control_plane(*number))
                .collect(),
            history,
            tenants: TenantList::first(seed),
            version: 0,
            random: fastrand::Rng::with_seed(seed),
            seed,
            new_keys: 0,
        }
    }

    /// Sends the first configuration until it is acknowledged.
    pub async fn send_first_configuration(&mut self) {
        self.send("first".to_string()).await;
    }

    /// Changes the configuration again and again for this time; the last change is acknowledged.
    pub async fn change_repeatedly(mut self, time: Duration) -> Operator {
        let began = Instant::now();
        while began.elapsed() < time {
            let pause = self.random.u64(PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
            if let Some(change) = self.draw_change() {
                self.send(change).await;
            }
        }
        self
    }

    /// The configuration is read back as it was sent last.
    pub async fn check_read(&self) {
        let deadline = Instant::now() + ORDER_TIME;
        loop {
            if let Some(text) = self.read().await {
                assert_eq!(text, self.tenants.text(self.version), "as read back");
                return;
            }
            assert!(Instant::now() < deadline, "it can't be read");
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Changes the tenants, and tells how.
    fn draw_change(&mut self) -> Option<String> {
        let position = self.random.usize(0..TENANTS.len());
        // The first change takes a key away, so that each run has time left to try it.
        let kind = match self.version {
            1 => 0,
            _ => self.random.u32(0..4),
        };
        match kind {
            0 => {
                let key = self.take_key(position)?;
                Some(format!("{key} is taken away"))
            }
            1 => {
                self.new_keys += 1;
                let tenant = &mut self.tenants.0[position];
                let key = new_key(self.seed, tenant.name, self.new_keys + 1);
                tenant.keys.push(key.clone());
                Some(format!("{key} is added"))
            }
            2 => {
                let other = (position + self.random.usize(1..TENANTS.len())) % TENANTS.len();
                let key = self.take_key(position)?;
                let tenant = &mut self.tenants.0[other];
                tenant.keys.push(key.clone());
                Some(format!("{key} is moved to {}", tenant.name))
            }
            _ => {
                let tenant = &mut self.tenants.0[position];
                let usual = TENANTS[position].1;
                // Lower, or as it was before.
                tenant.rate = match tenant.rate == usual {
                    true => (usual / 2).max(LOWEST_RATE),
                    false => usual,
                };
                Some(format!("{} has the rate {}", tenant.name, tenant.rate))
            }
        }
    }

    /// Takes a key of a tenant that has another one.
    fn take_key(&mut self, position: usize) -> Option<String> {
        let keys = &mut self.tenants.0[position].keys;
        let first = usize::from(position < JOB_TENANTS);
        if keys.len() < 2 {
            return None;
        }
        Some(keys.remove(self.random.usize(first..keys.len())))
    }

    /// Sends the tenants as the next version until it is clear that they are in force.
    async fn send(&mut self, change: String) {
        let base = self.version.to_string();
        self.version += 1;
        let text = self.tenants.text(self.version);
        let headers = [
            ("host", "control"),
            ("if-match", base.as_str()),
            ("content-type", "application/json"),
        ];
        let deadline = Instant::now() + ORDER_TIME;
        self.history.lock().on_sent(self.tenants.clone(), change);
        loop {
            let request = http::request("PUT", "/v1/configuration", &headers, text.clone());
            match self.call_any(request).await.map(|answer| answer.status) {
                Ok(200) => break,
                // An attempt before may have succeeded.
                Ok(412) if self.read().await.is_some_and(|read| read == text) => break,
                Ok(400) => panic!("version {} is refused as invalid", self.version),
                _ => sleep(RETRY_PAUSE).await,
            }
            assert!(Instant::now() < deadline, "no clear answer to a change");
        }
        let mut history = self.history.lock();
        history.versions.last_mut().unwrap().acknowledged = Some(Instant::now());
    }

    async fn read(&self) -> Option<String> {
        let request = http::request("GET", "/v1/configuration", &[("host", "control")], "");
        let answer = self.call_any(request).await.ok()?;
        (answer.status == 200).then(|| String::from_utf8(answer.body.to_vec()).unwrap())
    }

    async fn call_any(
        &self,
        request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
    ) -> Result<Answer, CallError> {
        let controller = fastrand::usize(0..self.controllers.len());
        http::call(self.controllers[controller], request, CALL_TIMEOUT).await
    }
}
