//! UDP relays between every two processes, one for each direction, which lose, delay, duplicate, replay and block
//! datagrams. A process knows the others only by the addresses of their relays.

use crate::processes::LoopbackNetwork;
use crate::rng::Rng;
use crate::scenario::{FaultAction, LinkConditions};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Number of recent datagrams per link that may be replayed.
const REPLAY_BUFFER_LEN: usize = 64;

pub struct DatagramRelays {
    /// Current conditions of each link, by sender and receiver.
    links: Mutex<Vec<Vec<LinkConditions>>>,
    rng: Mutex<Rng>,
    /// Datagrams and bytes received by relays, by sender.
    counts: Mutex<Vec<(u64, u64)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DatagramRelays {
    /// Binds all sockets, and relays until the runtime shuts down.
    pub async fn start(
        processes: usize,
        seed: u64,
        conditions: LinkConditions,
        network: &LoopbackNetwork,
    ) -> std::io::Result<Arc<DatagramRelays>> {
        let relays = Arc::new(DatagramRelays {
            links: Mutex::new(vec![vec![conditions; processes]; processes]),
            rng: Mutex::new(Rng::new(seed ^ 0x3355)),
            counts: Mutex::new(vec![(0, 0); processes]),
        });
        let mut sockets: Vec<Vec<Option<Arc<UdpSocket>>>> = vec![vec![None; processes]; processes];
        for (from, row) in sockets.iter_mut().enumerate() {
            for (to, socket) in row.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                *socket = Some(Arc::new(
                    UdpSocket::bind(network.relay_address(from, to)).await?,
                ));
            }
        }
        let pairs = (0..processes).flat_map(|from| (0..processes).map(move |to| (from, to)));
        for (from, to) in pairs {
            // The receiver must see the datagram come from the address by which it knows the sender.
            if let (Some(incoming), Some(outgoing)) = (&sockets[from][to], &sockets[to][from]) {
                let (source, target) =
                    (network.datagram_address(from), network.datagram_address(to));
                let link = Link {
                    from,
                    to,
                    source,
                    target,
                    outgoing: outgoing.clone(),
                };
                tokio::spawn(relays.clone().relay(incoming.clone(), link));
            }
        }
        Ok(relays)
    }

    async fn relay(self: Arc<DatagramRelays>, incoming: Arc<UdpSocket>, link: Link) {
        let (mut buffer, mut recent) = ([0; 2048], VecDeque::<Vec<u8>>::new());
        loop {
            let Ok((length, sender)) = incoming.recv_from(&mut buffer).await else {
                continue;
            };
            if sender != link.source {
                continue;
            }
            let conditions = lock(&self.links)[link.from][link.to];
            {
                let mut counts = lock(&self.counts);
                counts[link.from].0 += 1;
                counts[link.from].1 += length as u64;
            }
            let uniform = || lock(&self.rng).uniform();
            if uniform() < conditions.replayed && !recent.is_empty() {
                let replayed = recent[(uniform() * recent.len() as f64) as usize].clone();
                tokio::spawn(link.clone().deliver(replayed, conditions.delay));
            }
            recent.push_back(buffer[..length].to_vec());
            if recent.len() > REPLAY_BUFFER_LEN {
                recent.pop_front();
            }
            if conditions.cut || uniform() < conditions.loss {
                continue;
            }
            let copies = 1 + usize::from(uniform() < conditions.duplicated);
            for _ in 0..copies {
                // Each copy has its own delay, so that datagrams overtake one another.
                let late = if uniform() < conditions.late {
                    conditions.late_by * uniform()
                } else {
                    0.0
                };
                let delay = conditions.delay + conditions.jitter * uniform() + late;
                tokio::spawn(link.clone().deliver(buffer[..length].to_vec(), delay));
            }
        }
    }

    /// Applies `FaultAction::SetLink`; other actions have no effect here.
    pub fn apply(&self, action: &FaultAction) {
        let FaultAction::SetLink {
            from,
            to,
            both_directions,
            conditions,
        } = action
        else {
            return;
        };
        let mut links = lock(&self.links);
        let processes = links.len();
        let all: Vec<usize> = (0..processes).collect();
        let from = if from.is_empty() { &all } else { from };
        let to = if to.is_empty() { &all } else { to };
        for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))) {
            links[a][b] = *conditions;
            if *both_directions {
                links[b][a] = *conditions;
            }
        }
    }

    /// Datagrams and bytes sent so far, by process.
    pub fn counts(&self) -> Vec<(u64, u64)> {
        lock(&self.counts).clone()
    }
}

#[derive(Clone)]
struct Link {
    from: usize,
    to: usize,
    source: std::net::SocketAddr,
    target: std::net::SocketAddr,
    outgoing: Arc<UdpSocket>,
}

impl Link {
    async fn deliver(self, datagram: Vec<u8>, delay: f64) {
        if delay > 0.0 {
            sleep(Duration::from_secs_f64(delay)).await;
        }
        // Fails if the receiver is not running; the datagram is then lost.
        self.outgoing.send_to(&datagram, self.target).await.ok();
    }
}
