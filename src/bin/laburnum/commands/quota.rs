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

/// list the quotas of teams and what they use
#[derive(FromArgs)]
#[argh(subcommand, name = "list", example = "{command_name} --format json")]
struct List {
    /// text or json (default: text)
    #[argh(option, default = "Format::Text")]
    format: Format,
}

pub(crate) async fn exec(context: &Context, options: Options) -> eyre::Result<()> {
    let Command::List(options) = options.command;
    let answer: ListQuotasResponse = context
        .client
        .call("Operator", "ListQuotas", &ListQuotasRequest {})
        .await?;
    let columns = ["team", "cpu", "memory", "accelerators"];
    let rows = answer.quotas.iter().map(row).collect();
    Listing {
        answer: &answer,
        columns: &columns,
        rows,
    }
    .print(options.format)
}

fn row(quota: &QuotaStatus) -> Vec<String> {
    let used = quota.used.unwrap_or_default();
    let most = |part: fn(&Amount) -> u64| {
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
            most(|amount| amount.cpu_millis)
        ),
        format!(
            "{} MiB of {} MiB",
            used.memory_mib,
            most(|amount| amount.memory_mib)
        ),
        format!(
            "{} of {}",
            used.accelerators,
            most(|amount| amount.accelerators)
        ),
    ]
}
