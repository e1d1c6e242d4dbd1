//! The addresses of one run: each machine has a loopback address of its own, ports are alike on all.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The first of the internal ports; a dispatcher listens on it.
const INTERNAL_PORT: u16 = 27_760;
const INTERNAL_PORTS: u16 = 16;
const CONTROLLER_PORT: u16 = INTERNAL_PORT + 1;
const CONTROL_PLANE_PORT: u16 = 28_080;
const FRONTEND_PORT: u16 = 28_144;
const READINESS_PORT: u16 = 28_140;
/// The first machines are the seeds.
const SEEDS: usize = 3;

/// The network of one run: machine `n` has the address 127.A.B.n.
#[derive(Clone, Copy)]
pub struct Network(u8, u8);

impl Network {
    /// A network of its own for a seed; two runs at a time have different process ids.
    pub fn new(seed: u64) -> Network {
        let number = u64::from(std::process::id()) * 31 + seed;
        Network((number / 250 % 100 + 100) as u8, (number % 250 + 1) as u8)
    }

    pub fn address(self, machine: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, machine as u8)
    }

    /// Where a dispatcher takes messages of the tier.
    pub fn dispatcher(self, machine: usize) -> SocketAddr {
        self.at(machine, INTERNAL_PORT)
    }

    /// Where a dispatcher takes clients' requests.
    pub fn frontend(self, machine: usize) -> SocketAddr {
        self.at(machine, FRONTEND_PORT)
    }

    /// Where a dispatcher tells whether it is ready.
    pub fn readiness(self, machine: usize) -> SocketAddr {
        self.at(machine, READINESS_PORT)
    }

    /// Where a controller takes calls of workers and the operator.
    pub fn control_plane(self, machine: usize) -> SocketAddr {
        self.at(machine, CONTROL_PLANE_PORT)
    }

    /// The internal addresses of the seeds.
    pub fn seeds(self) -> Vec<SocketAddr> {
        let machines = 1..=SEEDS;
        machines
            .map(|machine| self.at(machine, CONTROLLER_PORT))
            .collect()
    }

    /// The `seed_nodes` of a settings file.
    pub fn seed_nodes(self) -> String {
        let machines = 1..=SEEDS;
        let seeds: Vec<String> = machines
            .map(|machine| format!("\"{}\"", self.control_plane(machine)))
            .collect();
        seeds.join(", ")
    }

    /// The `internal_ports` of a settings file.
    pub fn internal_ports(self) -> String {
        format!("{INTERNAL_PORT}, {}", INTERNAL_PORT + INTERNAL_PORTS - 1)
    }

    /// The `listen_addresses` of a settings file.
    pub fn listen_addresses(self, machine: usize) -> String {
        format!(
            "control_plane = \"{}\"\nfrontend = \"{}\"\nreadiness = \"{}\"",
            self.control_plane(machine),
            self.frontend(machine),
            self.readiness(machine)
        )
    }

    fn at(self, machine: usize, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.address(machine)), port)
    }
}
