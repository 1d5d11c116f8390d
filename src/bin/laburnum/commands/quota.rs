//! `laburnum quota`: lists the quotas of teams.

use argh::FromArgs;
use laburnumplank::api::schema::{Amount, ListQuotasRequest, ListQuotasResponse, QuotaStatus};

use crate::Context;
use crate::output::{Format, Listing};

/// list the quotas of teams
#[derive(FromArgs)]
#[argh(subcommand, name = "quota", example = "{command_name} list")]
pub(crate) struct Options {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    List(List),
}

/// list the quotas of teams and the resources that the teams use
#[derive(FromArgs)]
#[argh(subcommand, name = "list", example = "{command_name} --format json")]
struct List {
    /// text or json (default: text)
    #[argh(option, default = "Format::Text")]
    format: Format,
}

pub(crate) async fn exec(context: &Context, options: Options) -> eyre::Result<()> {
    let Command::List(options) = options.command;
    let response: ListQuotasResponse = context
        .client
        .call("Operator", "ListQuotas", &ListQuotasRequest {})
        .await?;
    let columns = ["team", "cpu", "memory", "accelerators"];
    let rows = response.quotas.iter().map(row).collect();
    Listing {
        response: &response,
        columns: &columns,
        rows,
    }
    .print(options.format)
}

fn row(quota: &QuotaStatus) -> Vec<String> {
    let used = quota.used.unwrap_or_default();
    let limit = |part: fn(&Amount) -> u64| {
        quota
            .quota
            .as_ref()
            .map_or_else(|| "-".to_owned(), |amount| part(amount).to_string())
    };
    vec![
        quota.team.clone(),
        format!(
            "{}m of {}m",
            used.cpu_millis,
            limit(|amount| amount.cpu_millis)
        ),
        format!(
            "{} MiB of {} MiB",
            used.memory_mib,
            limit(|amount| amount.memory_mib)
        ),
        format!(
            "{} of {}",
            used.accelerators,
            limit(|amount| amount.accelerators)
        ),
    ]
}
