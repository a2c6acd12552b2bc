//! A TCP proxy on loopback whose connections can be delayed, reset, cut one way or silenced.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// What happens to the bytes of all connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// They pass.
    Pass,
    /// They pass later.
    Delay(Duration),
    /// Those that come back from the server are dropped.
    CutBack,
    /// All are dropped, and connections stay open.
    Silent,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    server: Mutex<SocketAddr>,
    mode: Mutex<Mode>,
    /// Connections opened before the last reset are closed.
    resets: AtomicU64,
}

/// Time between two looks for a reset.
const CHECK: Duration = Duration::from_millis(20);

impl Proxy {
    /// Starts a proxy in front of a server.
    pub async fn start(server: SocketAddr) -> Arc<Proxy> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bind");
        let proxy = Arc::new(Proxy {
            address: listener.local_addr().expect("bound"),
            server: Mutex::new(server),
            mode: Mutex::new(Mode::Pass),
            resets: AtomicU64::new(0),
        });
        let accepting = proxy.clone();
        tokio::spawn(async move {
            loop {
                let Ok((client, _)) = listener.accept().await else { continue };
                tokio::spawn(accepting.clone().serve(client));
            }
        });
        proxy
    }

    /// Sets what happens to bytes from now on.
    pub fn set(&self, mode: Mode) {
        *self.mode.lock() = mode;
    }

    /// Resets every open connection.
    pub fn reset(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
    }

    async fn serve(self: Arc<Proxy>, client: TcpStream) {
        let server = *self.server.lock();
        let resets = self.resets.load(Ordering::SeqCst);
        let Ok(server) = TcpStream::connect(server).await else { return };
        let (client_rx, client_tx) = client.into_split();
        let (server_rx, server_tx) = server.into_split();
        tokio::select! {
            () = self.copy(client_rx, server_tx, false) => {}
            () = self.copy(server_rx, client_tx, true) => {}
            () = self.was_reset(resets) => {}
        }
    }

    async fn was_reset(&self, resets: u64) {
        while self.resets.load(Ordering::SeqCst) == resets {
            tokio::time::sleep(CHECK).await;
        }
    }

    async fn copy(&self, mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, back: bool) {
        let mut buf = vec![0; 16 << 10];
        while let Ok(read @ 1..) = rx.read(&mut buf).await {
            let mode = *self.mode.lock();
            match mode {
                Mode::Silent => continue,
                Mode::CutBack if back => continue,
                Mode::Delay(by) => tokio::time::sleep(by).await,
                Mode::Pass | Mode::CutBack => {}
            }
            if tx.write_all(&buf[..read]).await.is_err() {
                return;
            }
        }
    }
}
