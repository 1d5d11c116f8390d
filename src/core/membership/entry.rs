//! What a view knows of one entry.

use std::net::SocketAddr;

use laburnum_derive::state;

use super::message::Update;
use super::settings::Site;
use crate::core::time::Instant;

/// What is known of one entry.
#[state]
pub(super) struct Entry {
    pub(super) listed: Option<Listed>,
    pub(super) update: Option<Update>,
    /// When the update was learnt.
    pub(super) learnt: Instant,
    /// When this node last heard the entry itself.
    pub(super) heard: Instant,
    /// How often the update is still to be carried on.
    pub(super) carries: u32,
}

/// What the VM list says of one entry.
#[state]
pub(super) struct Listed {
    pub(super) site: Site,
    pub(super) address: SocketAddr,
    pub(super) is_leaving: bool,
}
