//! A TCP proxy on the loopback interface that can delay, reset or drop traffic.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The treatment of the bytes on all connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// All bytes are forwarded.
    Forward,
    /// All bytes are forwarded after a delay.
    Delay(Duration),
    /// Bytes from the server are dropped.
    DropResponses,
    /// All bytes are dropped, and connections stay open.
    DropAll,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    /// The address that the proxy listens on.
    pub address: SocketAddr,
    server: Mutex<SocketAddr>,
    mode: Mutex<Mode>,
    /// The number of resets. A reset closes all connections opened before it.
    reset_count: AtomicU64,
    /// Whether the server's process has ended, so that no connection is accepted.
    ended: watch::Sender<bool>,
}

/// Time between checks for a reset.
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Proxy {
    /// Starts a proxy in front of a server.
    pub async fn start(server: SocketAddr) -> Arc<Proxy> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bind");
        let proxy = Arc::new(Proxy {
            address: listener.local_addr().expect("bound"),
            server: Mutex::new(server),
            mode: Mutex::new(Mode::Forward),
            reset_count: AtomicU64::new(0),
            ended: watch::Sender::new(false),
        });
        tokio::spawn(proxy.clone().accept(listener));
        proxy
    }

    /// Accepts connections while the server's process runs.
    async fn accept(self: Arc<Proxy>, listener: TcpListener) {
        let mut ended = self.ended.subscribe();
        let mut listener = Some(listener);
        loop {
            if *ended.borrow_and_update() {
                listener = None;
                let _ = ended.wait_for(|ended| !ended).await;
            }
            let open = match listener.take() {
                Some(open) => open,
                None => match TcpListener::bind(self.address).await {
                    Ok(open) => open,
                    Err(_) => {
                        tokio::time::sleep(RESET_CHECK_INTERVAL).await;
                        continue;
                    }
                },
            };
            tokio::select! {
                accepted = open.accept() => {
                    if let Ok((client, _)) = accepted {
                        tokio::spawn(self.clone().serve(client));
                    }
                }
                _ = ended.changed() => {}
            }
            listener = Some(open);
        }
    }

    /// Sets whether the server's process has ended. If so, its connections are reset.
    pub fn set_ended(&self, ended: bool) {
        self.ended.send_replace(ended);
        if ended {
            self.reset();
        }
    }

    /// Sets what happens to bytes from now on.
    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock() = mode;
    }

    /// Resets every open connection.
    pub fn reset(&self) {
        self.reset_count.fetch_add(1, Ordering::SeqCst);
    }

    async fn serve(self: Arc<Proxy>, client: TcpStream) {
        let server = *self.server.lock();
        let resets = self.reset_count.load(Ordering::SeqCst);
        let Ok(server) = TcpStream::connect(server).await else { return };
        let (client_rx, client_tx) = client.into_split();
        let (server_rx, server_tx) = server.into_split();
        tokio::select! {
            () = self.copy(client_rx, server_tx, false) => {}
            () = self.copy(server_rx, client_tx, true) => {}
            () = self.wait_for_reset(resets) => {}
        }
    }

    async fn wait_for_reset(&self, resets: u64) {
        while self.reset_count.load(Ordering::SeqCst) == resets {
            tokio::time::sleep(RESET_CHECK_INTERVAL).await;
        }
    }

    async fn copy(&self, mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, is_response: bool) {
        let mut buf = vec![0; 16 << 10];
        while let Ok(read @ 1..) = rx.read(&mut buf).await {
            let mode = *self.mode.lock();
            match mode {
                Mode::DropAll => continue,
                Mode::DropResponses if is_response => continue,
                Mode::Delay(delay) => tokio::time::sleep(delay).await,
                Mode::Forward | Mode::DropResponses => {}
            }
            if tx.write_all(&buf[..read]).await.is_err() {
                return;
            }
        }
    }
}
