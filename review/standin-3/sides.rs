//! Hosts of several sides, between which all connections can be cut, in silence. A case on such a cut
//! includes this file as a module, beside `platform`.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::platform::{self, Daemon, HostSettings, Names, Store};

/// The last number of the first address. All have three digits, so that names keep their length.
const FIRST: u8 = 101;

/// The hosts, and the names by which the sides call their peer addresses.
struct Fleet {
    /// The side of each host.
    sides: Vec<usize>,
    ips: Vec<Ipv4Addr>,
    peer_port: u16,
}

impl Fleet {
    fn own(&self, host: usize) -> SocketAddr {
        SocketAddr::from((self.ips[host], self.peer_port))
    }

    /// Returns the address by which a side calls a host: its own, or that of a path to it.
    fn name(&self, side: usize, host: usize) -> SocketAddr {
        match self.sides[host] == side {
            true => self.own(host),
            false => SocketAddr::from((self.ips[self.sides.len() * (side + 1) + host], self.peer_port)),
        }
    }

    fn names(&self, from: usize, to: usize) -> Names {
        let pair = |h| (self.name(from, h).to_string(), self.name(to, h).to_string());
        Arc::new((0..self.sides.len()).map(pair).filter(|(a, b)| a != b).collect())
    }

    /// Returns the names by which a side is shown what hosts say of their own addresses.
    fn shown(&self, side: usize) -> Names {
        let pair = |h| (self.own(h).to_string(), self.name(side, h).to_string());
        Arc::new((0..self.sides.len()).map(pair).filter(|(a, b)| a != b).collect())
    }
}

/// Serves the path from a side to a host of another one.
fn listen(fleet: &Fleet, side: usize, host: usize, is_cut: &Arc<AtomicBool>) {
    let listener = TcpListener::bind(fleet.name(side, host)).expect("a free address");
    let (target, other) = (fleet.own(host), fleet.sides[host]);
    let (forth, back) = (fleet.names(side, other), fleet.names(other, side));
    let is_cut = is_cut.clone();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let (forth, back, is_cut) = (forth.clone(), back.clone(), is_cut.clone());
            thread::spawn(move || {
                wait_until_whole(&is_cut);
                let Ok(far) = TcpStream::connect(target) else { return };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (n, f) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                let cut = is_cut.clone();
                thread::spawn(move || pump(f, n, &back, &cut));
                pump(near, far, &forth, &is_cut);
            });
        }
    });
}

fn wait_until_whole(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Passes bytes on, and the end of a connection. During the cut, holds both back.
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
    wait_until_whole(is_cut);
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

/// Starts a host for each entry of `sides`, which names its side. The first three are the seeds.
pub fn start_hosts(
    folder: &Path,
    store: &Store,
    sides: &[usize],
    is_cut: &Arc<AtomicBool>,
) -> Vec<Daemon> {
    let side_count = sides.iter().max().map_or(0, |s| s + 1);
    let run = 10 + (std::process::id() % 200) as u8;
    let count = u8::try_from(sides.len() * (side_count + 1)).expect("few hosts");
    let ips: Vec<Ipv4Addr> = (FIRST..FIRST + count).map(|i| Ipv4Addr::new(127, 77, run, i)).collect();
    let (relay_port, peer_port) = (platform::common_port(&ips), platform::common_port(&ips));
    let fleet = Fleet { sides: sides.to_vec(), ips, peer_port };
    let mut stores = Vec::new();
    for side in 0..side_count {
        stores.push(store.listen(fleet.shown(side)));
        let others = (0..sides.len()).filter(|h| sides[*h] != side);
        others.for_each(|host| listen(&fleet, side, host, is_cut));
    }
    let start = |i: usize| {
        let settings = HostSettings {
            name: format!("edge-a-{}", i + 1),
            ip: fleet.ips[i],
            peer_port,
            relay_port,
            seeds: (0..3).map(|s| fleet.name(sides[i], s).to_string()).collect(),
            store: stores[sides[i]],
        };
        Daemon::start(folder, settings, "")
    };
    (0..sides.len()).map(start).collect()
}
