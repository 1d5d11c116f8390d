//! A TCP proxy in front of an entry, whose connections can be silenced or refused.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// The buffer size of one direction of a connection, in bytes.
const CHUNK_BYTES: usize = 16 * 1_024;

/// The state that a proxy shares with its connections.
#[derive(Default)]
struct State {
    /// How many connections were forwarded so far.
    opened: Cell<u64>,
    /// Connections with a lower number are silent.
    silent_below: Cell<u64>,
    /// Whether new connections are refused.
    is_cut: Cell<bool>,
}

/// Forwards connections to an entry until it is dropped with its test.
pub(super) struct Proxy {
    /// The address that the proxy listens on.
    pub(super) address: SocketAddr,
    state: Rc<State>,
}

impl Proxy {
    /// Starts a proxy for the entry at an address.
    pub(super) async fn start(entry: SocketAddr) -> Proxy {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Rc::new(State::default());
        actix_rt::spawn(accept(listener, entry, Rc::clone(&state)));
        Proxy { address, state }
    }

    /// Returns how many connections were forwarded so far.
    pub(super) fn opened(&self) -> u64 {
        self.state.opened.get()
    }

    /// Silences the open connections permanently; new connections work.
    pub(super) fn silence(&self) {
        self.state.silent_below.set(self.opened());
    }

    /// Silences the open connections permanently, and starts or stops to refuse new ones.
    pub(super) fn cut(&self, is_cut: bool) {
        self.silence();
        self.state.is_cut.set(is_cut);
    }
}

async fn accept(listener: TcpListener, entry: SocketAddr, state: Rc<State>) {
    while let Ok((near, _)) = listener.accept().await {
        if state.is_cut.get() {
            continue;
        }
        let Ok(far) = TcpStream::connect(entry).await else {
            continue;
        };
        let number = state.opened.get();
        state.opened.set(number + 1);
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        actix_rt::spawn(forward(near_read, far_write, number, Rc::clone(&state)));
        actix_rt::spawn(forward(far_read, near_write, number, Rc::clone(&state)));
    }
}

/// Forwards one direction of connection `number`; a silent connection stays open and drops its
/// data.
async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, number: u64, state: Rc<State>) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut chunk).await.unwrap_or(0);
        let is_silent = number < state.silent_below.get();
        match (is_silent, read) {
            (true, 0) => std::future::pending().await,
            (true, _) => {}
            (false, 0) => return,
            (false, read) => {
                if to.write_all(&chunk[..read]).await.is_err() {
                    return;
                }
            }
        }
    }
}
