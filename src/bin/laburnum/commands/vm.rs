//! `laburnum vm`: lists VMs and drains an entry.

use argh::FromArgs;
use laburnumplank::api::schema::{
    Amount, DrainVmRequest, DrainVmResponse, ListVmsRequest, ListVmsResponse, VmStatus,
};

use crate::Context;
use crate::output::{Format, Listing};

/// list VMs and drain an entry
#[derive(FromArgs)]
#[argh(subcommand, name = "vm", example = "{command_name} list")]
pub(crate) struct Options {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    List(List),
    Drain(Drain),
}

/// list entries, workers and targets
#[derive(FromArgs)]
#[argh(subcommand, name = "list", example = "{command_name} --format json")]
struct List {
    /// text or json (default: text)
    #[argh(option, default = "Format::Text")]
    format: Format,
}

/// stop the entry that --entry names: finish requests in flight, hand leases over, exit
#[derive(FromArgs)]
#[argh(subcommand, name = "drain", example = "{command_name}")]
struct Drain {}

pub(crate) async fn exec(context: &Context, options: Options) -> eyre::Result<()> {
    match options.command {
        Command::List(options) => list(context, &options).await,
        Command::Drain(_) => {
            let response: DrainVmResponse = context
                .client
                .call("Operator", "DrainVm", &DrainVmRequest {})
                .await?;
            println!("{} requests in flight", response.in_flight);
            Ok(())
        }
    }
}

async fn list(context: &Context, options: &List) -> eyre::Result<()> {
    let response: ListVmsResponse = context
        .client
        .call("Operator", "ListVms", &ListVmsRequest {})
        .await?;
    let columns = [
        "vm",
        "role",
        "state",
        "data centre",
        "address",
        "size",
        "committed",
    ];
    let rows = response.vms.iter().map(row).collect();
    Listing {
        response: &response,
        columns: &columns,
        rows,
    }
    .print(options.format)
}

fn row(vm: &VmStatus) -> Vec<String> {
    vec![
        vm.id.to_string(),
        vm.role.clone(),
        vm.state.clone(),
        vm.data_centre.clone(),
        vm.address.clone(),
        amount(vm.size.as_ref()),
        amount(vm.committed.as_ref()),
    ]
}

/// Formats an amount of resources as CPU/memory/accelerators.
fn amount(amount: Option<&Amount>) -> String {
    amount.map_or_else(String::new, |amount| {
        format!(
            "{}m/{}MiB/{}",
            amount.cpu_millis, amount.memory_mib, amount.accelerators
        )
    })
}
