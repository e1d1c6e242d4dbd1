//! The way of words between every two processes: a relay for each direction, which loses, delays, doubles and cuts them
//! and plays old ones again. Each process knows another by the relay's address alone.

use crate::chance::Chance;
use crate::processes::Net;
use crate::scenario::{Deed, Words};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Old words kept to be played again.
const OLD: usize = 64;

pub struct Relays {
    /// What each way is like now, by from and to.
    ways: Mutex<Vec<Vec<Words>>>,
    chance: Mutex<Chance>,
    /// Words and bytes that came to a relay, by who sent them.
    counts: Mutex<Vec<(u64, u64)>>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relays {
    /// Binds all, and relays until the runtime ends.
    pub async fn start(
        n: usize,
        seed: u64,
        words: Words,
        net: &Net,
    ) -> std::io::Result<Arc<Relays>> {
        let relays = Arc::new(Relays {
            ways: Mutex::new(vec![vec![words; n]; n]),
            chance: Mutex::new(Chance::new(seed ^ 0x3355)),
            counts: Mutex::new(vec![(0, 0); n]),
        });
        let mut sockets: Vec<Vec<Option<Arc<UdpSocket>>>> = vec![vec![None; n]; n];
        for (from, row) in sockets.iter_mut().enumerate() {
            for (to, socket) in row.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                *socket = Some(Arc::new(UdpSocket::bind(net.relay(from, to)).await?));
            }
        }
        let pairs = (0..n).flat_map(|from| (0..n).map(move |to| (from, to)));
        for (from, to) in pairs {
            // What comes from one goes on from the address by which the other knows it.
            if let (Some(comes), Some(goes)) = (&sockets[from][to], &sockets[to][from]) {
                let (source, target) = (net.words(from), net.words(to));
                let way = Way {
                    from,
                    to,
                    source,
                    target,
                    goes: goes.clone(),
                };
                tokio::spawn(relays.clone().relay(comes.clone(), way));
            }
        }
        Ok(relays)
    }

    async fn relay(self: Arc<Relays>, comes: Arc<UdpSocket>, way: Way) {
        let (mut piece, mut old) = ([0; 2048], VecDeque::<Vec<u8>>::new());
        loop {
            let Ok((n, at)) = comes.recv_from(&mut piece).await else {
                continue;
            };
            if at != way.source {
                continue;
            }
            let words = lock(&self.ways)[way.from][way.to];
            {
                let mut counts = lock(&self.counts);
                counts[way.from].0 += 1;
                counts[way.from].1 += n as u64;
            }
            let draw = || lock(&self.chance).draw();
            if draw() < words.old && !old.is_empty() {
                let again = old[(draw() * old.len() as f64) as usize].clone();
                tokio::spawn(way.clone().pass(again, words.delay));
            }
            old.push_back(piece[..n].to_vec());
            if old.len() > OLD {
                old.pop_front();
            }
            if words.cut || draw() < words.loss {
                continue;
            }
            let copies = 1 + usize::from(draw() < words.doubled);
            for _ in 0..copies {
                // Each has a wait of its own, so that they pass one another.
                let late = if draw() < words.late {
                    words.late_by * draw()
                } else {
                    0.0
                };
                let wait = words.delay + words.jitter * draw() + late;
                tokio::spawn(way.clone().pass(piece[..n].to_vec(), wait));
            }
        }
    }

    pub fn take(&self, deed: &Deed) {
        let Deed::Words {
            from,
            to,
            back,
            words,
        } = deed
        else {
            return;
        };
        let mut ways = lock(&self.ways);
        let n = ways.len();
        let all: Vec<usize> = (0..n).collect();
        let from = if from.is_empty() { &all } else { from };
        let to = if to.is_empty() { &all } else { to };
        for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))) {
            ways[a][b] = *words;
            if *back {
                ways[b][a] = *words;
            }
        }
    }

    /// Words and bytes by process so far.
    pub fn counts(&self) -> Vec<(u64, u64)> {
        lock(&self.counts).clone()
    }
}

#[derive(Clone)]
struct Way {
    from: usize,
    to: usize,
    source: std::net::SocketAddr,
    target: std::net::SocketAddr,
    goes: Arc<UdpSocket>,
}

impl Way {
    async fn pass(self, word: Vec<u8>, wait: f64) {
        if wait > 0.0 {
            sleep(Duration::from_secs_f64(wait)).await;
        }
        // Who is not there hears nothing.
        self.goes.send_to(&word, self.target).await.ok();
    }
}
