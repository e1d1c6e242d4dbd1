//! Samples the metrics that the processes report at their operations addresses, a few times a second. Used only for the
//! report; the audit does not read them.

use crate::observations::Recorder;
use crate::processes::LoopbackNetwork;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
const METRICS_TIMEOUT: Duration = Duration::from_millis(100);

/// The metrics of a process at one time.
#[derive(Clone, Debug)]
pub struct Sample {
    pub at: f64,
    pub process: usize,
    /// Names, without the common prefix, and values; `None` if the process did not answer.
    pub metrics: Option<Vec<(String, f64)>>,
}

impl Sample {
    pub fn metric(&self, name: &str) -> Option<f64> {
        self.metrics
            .as_ref()?
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| *value)
    }
}

pub struct Sampler {
    stop: Arc<AtomicBool>,
    samples: Arc<Mutex<Vec<Sample>>>,
    thread: JoinHandle<()>,
}

impl Sampler {
    pub fn start(processes: usize, network: &LoopbackNetwork, recorder: Recorder) -> Sampler {
        let addresses: Vec<SocketAddr> = (0..processes).map(|p| network.ops_address(p)).collect();
        let (stop, samples): (Arc<AtomicBool>, Arc<Mutex<Vec<Sample>>>) = Default::default();
        let (stop_flag, sample_buffer) = (stop.clone(), samples.clone());
        let thread = std::thread::spawn(move || {
            while !stop_flag.load(Relaxed) {
                for (process, address) in addresses.iter().enumerate() {
                    let (at, metrics) = (recorder.now(), fetch_metrics(*address).ok());
                    let sample = Sample {
                        at,
                        process,
                        metrics,
                    };
                    sample_buffer
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(sample);
                }
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Sampler {
            stop,
            samples,
            thread,
        }
    }

    /// Stops sampling and returns all samples, with times relative to `from`.
    pub fn stop(self, from: f64) -> Vec<Sample> {
        self.stop.store(true, Relaxed);
        self.thread.join().ok();
        let mut samples =
            std::mem::take(&mut *self.samples.lock().unwrap_or_else(PoisonError::into_inner));
        samples.iter_mut().for_each(|sample| sample.at -= from);
        samples
    }
}

fn fetch_metrics(address: SocketAddr) -> std::io::Result<Vec<(String, f64)>> {
    let mut stream = TcpStream::connect_timeout(&address, METRICS_TIMEOUT)?;
    stream.set_read_timeout(Some(METRICS_TIMEOUT))?;
    stream.write_all(b"DUMP\n")?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    let parse_metric = |line: &str| {
        let (name, value) = line.strip_prefix("edge_router.")?.split_once('=')?;
        Some((name.to_string(), value.parse().ok()?))
    };
    Ok(response.lines().filter_map(parse_metric).collect())
}
