//! What the processes say of themselves at their operators' door, a few times a second: for the report alone, the audit
//! does not see it.

use crate::processes::Net;
use crate::seen::Book;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Between two looks, and for an answer.
const APART: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_millis(100);

/// A figure of a process at a moment; `None` where it did not answer.
#[derive(Clone, Debug)]
pub struct Sample {
    pub at: f64,
    pub process: usize,
    /// Name and value, without what all names begin with.
    pub figures: Option<Vec<(String, f64)>>,
}

impl Sample {
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.figures
            .as_ref()?
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| *value)
    }
}

pub struct Sampler {
    end: Arc<AtomicBool>,
    taken: Arc<Mutex<Vec<Sample>>>,
    thread: JoinHandle<()>,
}

impl Sampler {
    pub fn start(processes: usize, net: &Net, book: Book) -> Sampler {
        let doors: Vec<SocketAddr> = (0..processes).map(|p| net.ops(p)).collect();
        let (end, taken): (Arc<AtomicBool>, Arc<Mutex<Vec<Sample>>>) = Default::default();
        let (ends, takes) = (end.clone(), taken.clone());
        let thread = std::thread::spawn(move || {
            while !ends.load(Relaxed) {
                for (process, door) in doors.iter().enumerate() {
                    let (at, figures) = (book.now(), asked(*door).ok());
                    let sample = Sample {
                        at,
                        process,
                        figures,
                    };
                    takes
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(sample);
                }
                std::thread::sleep(APART);
            }
        });
        Sampler { end, taken, thread }
    }

    /// All that was seen, counted from this moment.
    pub fn end(self, from: f64) -> Vec<Sample> {
        self.end.store(true, Relaxed);
        self.thread.join().ok();
        let mut taken =
            std::mem::take(&mut *self.taken.lock().unwrap_or_else(PoisonError::into_inner));
        taken.iter_mut().for_each(|sample| sample.at -= from);
        taken
    }
}

fn asked(door: SocketAddr) -> std::io::Result<Vec<(String, f64)>> {
    let mut stream = TcpStream::connect_timeout(&door, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(b"DUMP\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let figure = |line: &str| {
        let (name, value) = line.strip_prefix("edge_router.")?.split_once('=')?;
        Some((name.to_string(), value.parse().ok()?))
    };
    Ok(answer.lines().filter_map(figure).collect())
}
