//! Hosts between which the connections of their peer addresses can be cut, in silence. The cases on such
//! a cut include this file as a module, beside `platform`.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::platform::{self, Daemon, HostSettings, Names, Store};

/// One of four machines is cut off: a share of 0.25 (`node_cut`: up to 0.35).
const HOSTS: u8 = 4;

/// The path between the two sides of the cut to one machine's peer address. Machines tell each other
/// their addresses, so it replaces them by those of such paths.
struct Link {
    address: SocketAddr,
    target: SocketAddr,
    forth: Names,
    back: Names,
}

impl Link {
    fn listen(self, is_cut: &Arc<AtomicBool>) {
        let listener = TcpListener::bind(self.address).expect("a free address");
        let is_cut = is_cut.clone();
        thread::spawn(move || {
            let link = Arc::new(self);
            for near in listener.incoming().flatten() {
                let (link, is_cut) = (link.clone(), is_cut.clone());
                thread::spawn(move || {
                    wait_until_whole(&is_cut);
                    let Ok(far) = TcpStream::connect(link.target) else { return };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let (n, f) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                    let (back, cut) = (link.back.clone(), is_cut.clone());
                    thread::spawn(move || pump(f, n, &back, &cut));
                    pump(near, far, &link.forth, &is_cut);
                });
            }
        });
    }
}

fn wait_until_whole(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Passes bytes on. While the sides are cut off from each other, holds them back in silence.
fn pump(mut from: TcpStream, mut to: TcpStream, names: &Names, is_cut: &AtomicBool) {
    let longest = names.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    let mut chunk = vec![0; 65_536];
    let mut held: Vec<u8> = Vec::new();
    while let Ok(count @ 1..) = from.read(&mut chunk) {
        held.extend_from_slice(&chunk[..count]);
        // An address may be cut by the end of what was read.
        let tail = held.len().saturating_sub(longest.saturating_sub(1));
        let is_open = |at: &usize| {
            let rest = &held[*at..];
            rest.len() > 2 && names.iter().any(|(name, _)| name.as_bytes().starts_with(rest))
        };
        let end = (tail..held.len()).find(is_open).unwrap_or(held.len());
        let out = platform::replace(names, &held[..end]);
        held.drain(..end);
        wait_until_whole(is_cut);
        if to.write_all(&out).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

/// Starts four hosts, of which the first one can be cut off from the others.
pub fn start_hosts(folder: &Path, store: &Store, is_cut: &Arc<AtomicBool>) -> Vec<Daemon> {
    // The second half of the addresses are those of the paths between the sides.
    let ips = platform::host_addresses(2 * HOSTS);
    let (relay_port, peer_port) = (platform::common_port(&ips), platform::common_port(&ips));
    let is_alone = |i: usize| i == 0;
    let own = |i: usize| SocketAddr::from((ips[i], peer_port));
    let alias = |i: usize| SocketAddr::from((ips[i + usize::from(HOSTS)], peer_port));
    let hosts = 0..usize::from(HOSTS);
    // What one side calls addresses, as the other side calls them.
    let names = |from_alone: bool| -> Names {
        let pair = |i: usize| match is_alone(i) == from_alone {
            true => (own(i).to_string(), alias(i).to_string()),
            false => (alias(i).to_string(), own(i).to_string()),
        };
        Arc::new(hosts.clone().map(pair).collect())
    };
    let (from_alone, from_others) = (names(true), names(false));
    for i in hosts.clone() {
        let (forth, back) = match is_alone(i) {
            true => (&from_others, &from_alone),
            false => (&from_alone, &from_others),
        };
        let link = Link { address: alias(i), target: own(i), forth: forth.clone(), back: back.clone() };
        link.listen(is_cut);
    }
    let shown = |to_alone: bool| -> Names {
        let of_other_side = hosts.clone().filter(|&i| is_alone(i) != to_alone);
        Arc::new(of_other_side.map(|i| (own(i).to_string(), alias(i).to_string())).collect())
    };
    let (store_alone, store_others) = (store.listen(shown(true)), store.listen(shown(false)));
    let ips: Vec<Ipv4Addr> = ips.clone();
    let start = |i: usize| {
        let seed = |s: usize| if is_alone(s) == is_alone(i) { own(s) } else { alias(s) };
        let settings = HostSettings {
            name: format!("edge-a-{}", i + 1),
            ip: ips[i],
            peer_port,
            relay_port,
            seeds: (0..3).map(|s| seed(s).to_string()).collect(),
            store: if is_alone(i) { store_alone } else { store_others },
        };
        Daemon::start(folder, settings, "")
    };
    hosts.clone().map(start).collect()
}
