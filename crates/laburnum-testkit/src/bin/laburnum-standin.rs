//! A program that runs stand-ins for the platform and targets.
//!
//! The program prints one line `listening ADDRESS` per stand-in, in the order log service, VM list,
//! workers, targets, and then one line `control ADDRESS`.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use eyre::WrapErr as _;
use laburnum_testkit::standin::{Host, log, target, worker};
use laburnumplank::core::resource::Amount;
use laburnumplank::platform::vms::Vm;

/// The local address with a port that the system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// run stand-ins for the platform and targets
#[derive(FromArgs)]
#[argh(example = "{command_name} --control 127.0.0.1:7000 all --workers 4")]
struct Options {
    /// address of the control port (default: 127.0.0.1:0; port 0 means any free port)
    #[argh(option, default = "ANY_PORT")]
    control: SocketAddr,

    #[argh(subcommand)]
    role: Role,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Role {
    Log(LogOptions),
    Vms(VmsOptions),
    Worker(WorkerOptions),
    Target(TargetOptions),
    All(AllOptions),
}

/// run a stand-in for the log service
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "log",
    example = "{command_name} --listen 127.0.0.1:7001 --rate 300"
)]
struct LogOptions {
    /// address to listen on (default: 127.0.0.1:0)
    #[argh(option, default = "ANY_PORT")]
    listen: SocketAddr,

    /// number of entries that a stream retains (default: 1000000)
    #[argh(option, default = "log::Limits::default().entries")]
    entries: usize,

    /// seconds for which an entry is retained (default: 3600)
    #[argh(option, default = "log::Limits::default().age.as_secs()")]
    age_s: u64,

    /// appends accepted per second over all streams (default: 500)
    #[argh(option, default = "log::Limits::default().appends_per_second")]
    rate: u32,
}

/// run a stand-in for the VM list
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "vms",
    example = "{command_name} --file vms.json --lag-ms 2000"
)]
struct VmsOptions {
    /// address to listen on (default: 127.0.0.1:0)
    #[argh(option, default = "ANY_PORT")]
    listen: SocketAddr,

    /// JSON file with an array of VMs (default: an empty list)
    #[argh(option)]
    file: Option<PathBuf>,

    /// milliseconds until a change is published (default: 0)
    #[argh(option, default = "0")]
    lag_ms: u64,
}

/// run stand-ins for workers
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "worker",
    example = "{command_name} --count 10 --accelerators 2"
)]
struct WorkerOptions {
    /// address of the first worker (default: 127.0.0.1:0); others use the ports that follow, or any
    /// free port when the port is 0
    #[argh(option, default = "ANY_PORT")]
    listen: SocketAddr,

    /// number of workers (default: 1)
    #[argh(option, default = "1")]
    count: u16,

    /// CPU of each worker in thousandths of a core (default: 16000)
    #[argh(option, default = "worker::Options::default().size.cpu_millis")]
    cpu_millis: u64,

    /// memory of each worker in MiB (default: 65536)
    #[argh(option, default = "worker::Options::default().size.memory_mib")]
    memory_mib: u64,

    /// number of accelerators of each worker (default: 0)
    #[argh(option, default = "0")]
    accelerators: u64,

    /// lag of the reported usage in milliseconds (default: 5000)
    #[argh(option, default = "5000")]
    usage_lag_ms: u64,
}

/// run stand-ins for targets
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "target",
    example = "{command_name} --count 5 --slots 8"
)]
struct TargetOptions {
    /// address of the first target (default: 127.0.0.1:0); others use the ports that follow, or any
    /// free port when the port is 0
    #[argh(option, default = "ANY_PORT")]
    listen: SocketAddr,

    /// number of targets (default: 1)
    #[argh(option, default = "1")]
    count: u16,

    /// number of calls that a target runs concurrently (default: 8)
    #[argh(option, default = "target::Options::default().slots")]
    slots: u32,

    /// number of connections that a target accepts (default: 64)
    #[argh(option, default = "target::Options::default().connections")]
    connections: u32,
}

/// run a log service, a VM list, workers and targets, all with their default settings
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "all",
    example = "{command_name} --workers 4 --targets 2"
)]
struct AllOptions {
    /// number of workers (default: 2)
    #[argh(option, default = "2")]
    workers: u16,

    /// number of targets (default: 2)
    #[argh(option, default = "2")]
    targets: u16,

    /// milliseconds until a change of the VM list is published (default: 0)
    #[argh(option, default = "0")]
    lag_ms: u64,
}

fn main() -> eyre::Result<()> {
    let options: Options = argh::from_env();
    actix_rt::System::new().block_on(run(options))
}

/// Starts the stand-ins and serves until the control port receives a stop request.
async fn run(options: Options) -> eyre::Result<()> {
    let host = Host::start(options.control).wrap_err_with(|| {
        format!(
            "--control {}: cannot listen on this address",
            options.control
        )
    })?;
    match options.role {
        Role::Log(options) => start_log(&host, &options)?,
        Role::Vms(options) => start_vms(&host, &options)?,
        Role::Worker(options) => start_workers(&host, &options)?,
        Role::Target(options) => start_targets(&host, &options)?,
        Role::All(options) => start_all(&host, &options)?,
    }
    println!("control {}", host.control_address());
    host.stopped().await;
    Ok(())
}

fn start_log(host: &Host, options: &LogOptions) -> eyre::Result<()> {
    let limits = log::Limits {
        entries: options.entries,
        age: Duration::from_secs(options.age_s),
        appends_per_second: options.rate,
    };
    announce(host.add_log(options.listen, limits)?);
    Ok(())
}

fn start_vms(host: &Host, options: &VmsOptions) -> eyre::Result<()> {
    let list = options.file.as_ref().map(read_list).transpose()?;
    let lag = Duration::from_millis(options.lag_ms);
    announce(host.add_vms(options.listen, lag, list.unwrap_or_default())?);
    Ok(())
}

fn start_workers(host: &Host, options: &WorkerOptions) -> eyre::Result<()> {
    let worker = worker::Options {
        size: Amount {
            cpu_millis: options.cpu_millis,
            memory_mib: options.memory_mib,
            accelerators: options.accelerators,
        },
        usage_lag: Duration::from_millis(options.usage_lag_ms),
    };
    for index in 0..options.count {
        let address = nth_address(options.listen, index)?;
        announce(host.add_worker(address, worker)?);
    }
    Ok(())
}

fn start_targets(host: &Host, options: &TargetOptions) -> eyre::Result<()> {
    let target = target::Options {
        slots: options.slots,
        connections: options.connections,
    };
    for index in 0..options.count {
        let address = nth_address(options.listen, index)?;
        announce(host.add_target(address, target)?);
    }
    Ok(())
}

fn start_all(host: &Host, options: &AllOptions) -> eyre::Result<()> {
    let lag = Duration::from_millis(options.lag_ms);
    announce(host.add_log(ANY_PORT, log::Limits::default())?);
    announce(host.add_vms(ANY_PORT, lag, Vec::new())?);
    for _ in 0..options.workers {
        announce(host.add_worker(ANY_PORT, worker::Options::default())?);
    }
    for _ in 0..options.targets {
        announce(host.add_target(ANY_PORT, target::Options::default())?);
    }
    Ok(())
}

/// Reads a JSON file that holds an array of VMs.
fn read_list(path: &PathBuf) -> eyre::Result<Vec<Vm>> {
    let text = fs::read(path)
        .wrap_err_with(|| format!("--file {}: cannot read the file", path.display()))?;
    serde_json::from_slice(&text).wrap_err_with(|| {
        format!(
            "--file {}: the file is not a JSON array of VMs",
            path.display()
        )
    })
}

/// Returns the address `index` ports after `first`; port 0 stays 0.
fn nth_address(first: SocketAddr, index: u16) -> eyre::Result<SocketAddr> {
    let port = match first.port() {
        0 => 0,
        port => port.checked_add(index).ok_or_else(|| {
            eyre::eyre!("--listen {first}: fewer than {index} ports follow this one")
        })?,
    };
    Ok(SocketAddr::new(first.ip(), port))
}

/// Prints the address that a stand-in listens on.
fn announce(address: SocketAddr) {
    println!("listening {address}");
}
