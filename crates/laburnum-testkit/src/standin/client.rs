//! The client of a host's control port.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use laburnumplank::platform::vms::List;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::fault::Faults;
use super::{Role, log, target, vms, worker};
use crate::http;

/// A client of one host's control port; `index` counts the stand-ins of a role from 0.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    http: http::Client,
}

impl Client {
    /// Creates a client of the control port at `address`.
    pub fn new(address: SocketAddr, http: http::Client) -> Client {
        Client { address, http }
    }

    /// Sets all fault switches of a stand-in; earlier settings are replaced.
    ///
    /// # Errors
    ///
    /// Fails when the host does not respond or has no such stand-in.
    pub async fn set_faults(&self, role: Role, index: usize, faults: &Faults) -> eyre::Result<()> {
        let _: Faults = self.post(role, index, "faults", faults).await?;
        Ok(())
    }

    /// Changes the VM list and returns the changed list, which is published after the lag.
    ///
    /// # Errors
    ///
    /// Fails when the host does not respond or has no VM list.
    pub async fn edit_vms(&self, edit: &vms::Edit) -> eyre::Result<List> {
        self.post(Role::Vms, 0, "vms", edit).await
    }

    /// Returns the counts of calls and connections of a target.
    ///
    /// # Errors
    ///
    /// Fails when the host does not respond or has no such target.
    pub async fn effects(&self, index: usize) -> eyre::Result<target::Effects> {
        self.get(Role::Target, index, "effects").await
    }

    /// Returns the violations that a worker recorded.
    ///
    /// # Errors
    ///
    /// Fails when the host does not respond or has no such worker.
    pub async fn violations(&self, index: usize) -> eyre::Result<Vec<worker::Violation>> {
        self.get(Role::Worker, index, "violations").await
    }

    /// Returns the time span of each attempt on a worker.
    ///
    /// # Errors
    ///
    /// Fails when the host does not respond or has no such worker.
    pub async fn spans(&self, index: usize) -> eyre::Result<Vec<worker::Span>> {
        self.get(Role::Worker, index, "spans").await
    }

    /// Returns the counts of a worker since its start.
    ///
    /// # Errors
    ///
    /// Fails when the host does not respond or has no such worker.
    pub async fn worker_counts(&self, index: usize) -> eyre::Result<worker::Counts> {
        self.get(Role::Worker, index, "counts").await
    }

    /// Returns the counts of the log service since its start.
    ///
    /// # Errors
    ///
    /// Fails when the host does not respond or has no log service.
    pub async fn log_counts(&self) -> eyre::Result<log::Counts> {
        self.get(Role::Log, 0, "counts").await
    }

    /// Returns the extent of each stream of the log service.
    ///
    /// # Errors
    ///
    /// Fails when the host does not respond or has no log service.
    pub async fn extents(&self) -> eyre::Result<BTreeMap<String, log::Extent>> {
        self.get(Role::Log, 0, "streams").await
    }

    /// Stops the host.
    ///
    /// # Errors
    ///
    /// Fails when the host does not respond.
    pub async fn stop(&self) -> eyre::Result<()> {
        let url = format!("http://{}/v1/stop", self.address);
        let _: Value = self.http.post(&url, &json!({})).await?;
        Ok(())
    }

    async fn get<T: DeserializeOwned>(
        &self,
        role: Role,
        index: usize,
        path: &str,
    ) -> eyre::Result<T> {
        self.http.get(&self.url(role, index, path)).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        role: Role,
        index: usize,
        path: &str,
        message: &impl Serialize,
    ) -> eyre::Result<T> {
        let url = self.url(role, index, path);
        self.http.post(&url, message).await
    }

    fn url(&self, role: Role, index: usize, path: &str) -> String {
        format!("http://{}/v1/{}/{index}/{path}", self.address, role.name())
    }
}
