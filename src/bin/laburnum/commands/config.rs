//! `laburnum config`: reads, changes, compares, lists and waits for configuration versions.

use std::fs;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use argh::FromArgs;
use eyre::WrapErr;
use laburnumplank::api::schema::{
    ConfigVersion, GetConfigRequest, GetConfigResponse, ListConfigRequest, ListConfigResponse,
    PutConfigRequest, PutConfigResponse,
};

use crate::Context;
use crate::output::{Format, Listing};

/// Interval at which `wait` reads the version in force.
const WAIT_PERIOD: Duration = Duration::from_millis(100);

/// read, change, compare, list and wait for configuration versions
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "config",
    example = "{command_name} put --base 3 --author ana cell.json"
)]
pub(crate) struct Options {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Get(Get),
    Put(Put),
    Diff(Diff),
    History(History),
    Wait(Wait),
}

/// print a version of the configuration
#[derive(FromArgs)]
#[argh(subcommand, name = "get", example = "{command_name} --version 3")]
struct Get {
    /// the version, 0 for the one in force (default: 0)
    #[argh(option, default = "0")]
    version: u64,

    /// text prints the document, json the whole response (default: text)
    #[argh(option, default = "Format::Text")]
    format: Format,
}

/// change the configuration and print the new version
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "put",
    example = "{command_name} --base 3 --author ana cell.json"
)]
struct Put {
    /// the version that the change was made against, 0 when there is none yet
    #[argh(option)]
    base: u64,

    /// the author of the change
    #[argh(option, default = "String::from(\"command-line\")")]
    author: String,

    /// the file holds a JSON merge patch; it conflicts only with changes of the same keys
    #[argh(switch)]
    patch: bool,

    /// the file with the new document or the patch
    #[argh(positional)]
    file: PathBuf,
}

/// compare two versions line by line
#[derive(FromArgs)]
#[argh(subcommand, name = "diff", example = "{command_name} 3 4")]
struct Diff {
    /// the older version
    #[argh(positional)]
    old: u64,

    /// the newer version, 0 for the one in force
    #[argh(positional)]
    new: u64,
}

/// list the latest versions, newest first
#[derive(FromArgs)]
#[argh(subcommand, name = "history", example = "{command_name} --format json")]
struct History {
    /// text or json (default: text)
    #[argh(option, default = "Format::Text")]
    format: Format,
}

/// wait until a version is in force on the entry that --entry names
#[derive(FromArgs)]
#[argh(subcommand, name = "wait", example = "{command_name} 4")]
struct Wait {
    /// the version
    #[argh(positional)]
    version: u64,
}

pub(crate) async fn exec(context: &Context, options: Options) -> eyre::Result<()> {
    match options.command {
        Command::Get(options) => get(context, &options).await,
        Command::Put(options) => put(context, options).await,
        Command::Diff(options) => diff(context, &options).await,
        Command::History(options) => history(context, &options).await,
        Command::Wait(options) => wait(context, &options).await,
    }
}

async fn read(context: &Context, version: u64) -> eyre::Result<ConfigVersion> {
    let request = GetConfigRequest { version };
    let response: GetConfigResponse = context
        .client
        .call("Operator", "GetConfig", &request)
        .await?;
    Ok(response.config.unwrap_or_default())
}

async fn get(context: &Context, options: &Get) -> eyre::Result<()> {
    let config = read(context, options.version).await?;
    match options.format {
        Format::Json => println!("{}", serde_json::to_string_pretty(&config)?),
        Format::Text => println!("{}", config.document),
    }
    Ok(())
}

async fn put(context: &Context, options: Put) -> eyre::Result<()> {
    let text = fs::read_to_string(&options.file).wrap_err_with(|| {
        format!(
            "cannot read {}; name a readable file",
            options.file.display()
        )
    })?;
    let (document, patch) = match options.patch {
        true => (String::new(), text),
        false => (text, String::new()),
    };
    let request = PutConfigRequest {
        base_version: options.base,
        author: options.author,
        document,
        patch,
    };
    let response: PutConfigResponse = context
        .client
        .call("Operator", "PutConfig", &request)
        .await?;
    println!("{}", response.version);
    Ok(())
}

async fn diff(context: &Context, options: &Diff) -> eyre::Result<()> {
    let old = read(context, options.old).await?.document;
    let new = read(context, options.new).await?.document;
    let diff = similar::TextDiff::from_lines(&old, &new);
    print!("{}", diff.unified_diff().header("old", "new"));
    Ok(())
}

async fn history(context: &Context, options: &History) -> eyre::Result<()> {
    let response: ListConfigResponse = context
        .client
        .call("Operator", "ListConfig", &ListConfigRequest {})
        .await?;
    let row = |version: &ConfigVersion| {
        vec![
            version.version.to_string(),
            version.author.clone(),
            version.document.len().to_string(),
        ]
    };
    let rows = response.versions.iter().map(row).collect();
    Listing {
        response: &response,
        columns: &["version", "author", "bytes"],
        rows,
    }
    .print(options.format)
}

async fn wait(context: &Context, options: &Wait) -> eyre::Result<()> {
    let started = Instant::now();
    loop {
        let in_force = read(context, 0).await.map_or(0, |config| config.version);
        if in_force >= options.version {
            println!("{in_force}");
            return Ok(());
        }
        eyre::ensure!(
            started.elapsed() < context.timeout,
            "version {} is not in force after {} ms; version {in_force} is",
            options.version,
            context.timeout.as_millis()
        );
        actix_rt::time::sleep(WAIT_PERIOD).await;
    }
}
