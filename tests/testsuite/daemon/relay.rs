//! A relay in front of an entry, whose connections can go silent or be refused.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// How much is forwarded at once, in bytes.
const CHUNK_BYTES: usize = 16 * 1_024;

/// The switches and counts of a relay.
#[derive(Default)]
struct State {
    opened: Cell<u64>,
    silent_below: Cell<u64>,
    is_cut: Cell<bool>,
}

/// Forwards connections to an entry until it is dropped with its test.
pub(super) struct Relay {
    /// Where the relay answers.
    pub(super) address: SocketAddr,
    state: Rc<State>,
}

impl Relay {
    /// Starts a relay to `entry`.
    pub(super) async fn start(entry: SocketAddr) -> Relay {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Rc::new(State::default());
        actix_rt::spawn(accept(listener, entry, Rc::clone(&state)));
        Relay { address, state }
    }

    /// Returns how many connections were forwarded so far.
    pub(super) fn opened(&self) -> u64 {
        self.state.opened.get()
    }

    /// Makes the open connections silent for good; new ones work.
    pub(super) fn silence(&self) {
        self.state.silent_below.set(self.opened());
    }

    /// Refuses new connections and makes the open ones silent for good, or ends the refusal.
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

/// Forwards one direction of connection `number`; a silent one is held open and its bytes are lost.
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
