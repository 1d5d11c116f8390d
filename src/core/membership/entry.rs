//! The state of one entry in a view.

use std::net::SocketAddr;

use laburnum_derive::state;

use super::message::Update;
use super::settings::Site;
use crate::core::time::Instant;

/// The state of one entry.
#[state]
pub(super) struct Entry {
    pub(super) listed: Option<Listed>,
    pub(super) update: Option<Update>,
    /// When the update was adopted.
    pub(super) updated_at: Instant,
    /// When this node last received a heartbeat from the entry itself, or restarted its silence
    /// timer.
    pub(super) last_heard: Instant,
    /// In how many more heartbeats the update is sent.
    pub(super) sends_left: u32,
}

/// The data of one entry in the VM list.
#[state]
pub(super) struct Listed {
    pub(super) site: Site,
    pub(super) address: SocketAddr,
    pub(super) is_leaving: bool,
}
