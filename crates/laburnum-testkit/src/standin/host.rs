//! A host that runs stand-ins on one thread.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use laburnum_derive::value;
use laburnumplank::platform::vms::Vm;
use tokio::sync::Notify;

use super::server::{Serve, Server};
use super::{control, log, target, vms, worker};

/// The kind of component that a stand-in replaces.
#[value]
pub enum Role {
    /// The log service.
    Log,
    /// The VM list.
    Vms,
    /// A worker.
    Worker,
    /// A target.
    Target,
}

impl Role {
    /// All roles, in the order in which a host starts them.
    pub const ALL: [Role; 4] = [Role::Log, Role::Vms, Role::Worker, Role::Target];

    /// Returns the role's name in control paths and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Role::Log => "log",
            Role::Vms => "vms",
            Role::Worker => "worker",
            Role::Target => "target",
        }
    }

    /// Returns the role with this name, or `None` when there is none.
    pub fn parse(name: &str) -> Option<Role> {
        Role::ALL.into_iter().find(|role| role.name() == name)
    }
}

/// The servers of one role, in the order in which they were added.
type Group<S> = RefCell<Vec<Rc<Server<S>>>>;

/// All servers of a host.
#[derive(Default)]
pub(super) struct Servers {
    pub(super) logs: Group<log::Service>,
    pub(super) vms: Group<vms::Service>,
    pub(super) workers: Group<worker::Service>,
    pub(super) targets: Group<target::Service>,
}

/// Stand-ins on this thread and their control port. They run until the thread's runtime stops.
pub struct Host {
    servers: Rc<Servers>,
    control: Rc<Server<control::Service>>,
    stop: Rc<Notify>,
}

impl Host {
    /// Starts a host without stand-ins that listens for control requests on `address`.
    ///
    /// # Errors
    ///
    /// Fails when the host cannot listen on `address`.
    pub fn start(address: SocketAddr) -> io::Result<Host> {
        let servers = Rc::new(Servers::default());
        let stop = Rc::new(Notify::new());
        let service = control::Service {
            servers: Rc::clone(&servers),
            stop: Rc::clone(&stop),
        };
        let control = Server::start(address, service)?;
        Ok(Host {
            servers,
            control,
            stop,
        })
    }

    /// Returns the address of the control port.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Starts a log service on `address` and returns the address with the actual port.
    ///
    /// # Errors
    ///
    /// Fails when the host cannot listen on `address`.
    pub fn add_log(&self, address: SocketAddr, limits: log::Limits) -> io::Result<SocketAddr> {
        add(&self.servers.logs, address, log::Service::new(limits))
    }

    /// Starts a VM list on `address` and returns the address with the actual port.
    ///
    /// `list` is published at once, each later change after `lag`.
    ///
    /// # Errors
    ///
    /// Fails when the host cannot listen on `address`.
    pub fn add_vms(
        &self,
        address: SocketAddr,
        lag: Duration,
        list: Vec<Vm>,
    ) -> io::Result<SocketAddr> {
        add(&self.servers.vms, address, vms::Service::new(lag, list))
    }

    /// Starts a worker on `address` and returns the address with the actual port.
    ///
    /// # Errors
    ///
    /// Fails when the host cannot listen on `address`.
    pub fn add_worker(
        &self,
        address: SocketAddr,
        options: worker::Options,
    ) -> io::Result<SocketAddr> {
        let service = worker::Service::new(options);
        add(&self.servers.workers, address, service)
    }

    /// Starts a target on `address` and returns the address with the actual port.
    ///
    /// # Errors
    ///
    /// Fails when the host cannot listen on `address`.
    pub fn add_target(
        &self,
        address: SocketAddr,
        options: target::Options,
    ) -> io::Result<SocketAddr> {
        let service = target::Service::new(options);
        add(&self.servers.targets, address, service)
    }

    /// Waits until the control port receives a stop request.
    pub async fn stopped(&self) {
        self.stop.notified().await;
    }
}

/// Starts a server and adds it to its group.
fn add<S: Serve>(group: &Group<S>, address: SocketAddr, service: S) -> io::Result<SocketAddr> {
    let server = Server::start(address, service)?;
    let address = server.address();
    group.borrow_mut().push(server);
    Ok(address)
}
