//! The connections between the hosts of a cluster, a proxy for each direction of each pair.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::proxy::{Mode, Proxy};

/// Proxies through which each host connects to each other one.
pub struct Links {
    proxies: HashMap<(usize, usize), Proxy>,
}

impl Links {
    /// Starts the proxies of all pairs of hosts. `address` returns where the first host connects to the
    /// second one, which listens at the address for itself.
    pub async fn start(hosts: usize, address: impl Fn(usize, usize) -> SocketAddr) -> Self {
        let mut proxies = HashMap::new();
        for from in 0..hosts {
            for to in (0..hosts).filter(|to| *to != from) {
                let proxy = Proxy::listen(address(from, to), address(to, to)).await;
                proxies.insert((from, to), proxy);
            }
        }
        Self { proxies }
    }

    /// Refuses new connections of a host to others. Open ones are reset with the next data.
    pub fn cut(&mut self, from: usize, others: impl IntoIterator<Item = usize>) {
        for to in others.into_iter().filter(|to| *to != from) {
            let proxy = self.proxies.get_mut(&(from, to)).expect("a pair of hosts");
            proxy.refuse();
            proxy.set_mode(Mode::Reset);
        }
    }

    /// Accepts connections of a host to all others again.
    pub async fn join(&mut self, from: usize) {
        let proxies = self.proxies.iter_mut();
        for (_, proxy) in proxies.filter(|((of, _), _)| *of == from) {
            proxy.set_mode(Mode::Pass);
            proxy.accept().await;
        }
    }
}
