//! Runs measurements and writes their reports as Markdown, JSON and SVG.

use std::fs;
use std::path::PathBuf;

use argh::FromArgs;
use laburnum_measure as measure;

/// run measurements; write their tables as Markdown and JSON, and their plots as SVG
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
pub(crate) struct Options {
    /// measurements to run: cell, lease, load, placement, request, scheduler, stream (default: all)
    #[argh(positional)]
    names: Vec<String>,

    /// directory for the reports (default: target/measure)
    #[argh(option, default = "PathBuf::from(\"target/measure\")")]
    out: PathBuf,
}

/// The name of a measurement and the function that runs it.
type Measurement = (&'static str, fn() -> eyre::Result<measure::report::Report>);

const MEASUREMENTS: &[Measurement] = &[
    ("cell", measure::cell::run),
    ("lease", measure::lease::run),
    ("placement", measure::placement::run),
    ("request", measure::request::run),
    ("scheduler", measure::scheduler::run),
    ("load", measure::load::run),
    ("stream", measure::stream::run),
];

/// Runs the measurements named in the options, or all if none is named.
pub(crate) fn exec(options: &Options) -> eyre::Result<()> {
    if let Some(name) = options.names.iter().find(|name| !is_known(name)) {
        eyre::bail!("there is no measurement `{name}`; see `cargo xtask measure --help`");
    }
    fs::create_dir_all(&options.out)?;
    for (name, run) in MEASUREMENTS {
        if !options.names.is_empty() && !options.names.iter().any(|requested| requested == name) {
            continue;
        }
        let report = run()?;
        let text = report.to_markdown();
        println!("{text}");
        fs::write(options.out.join(format!("{name}.md")), &text)?;
        fs::write(
            options.out.join(format!("{name}.json")),
            serde_json::to_vec_pretty(&report)?,
        )?;
        for (index, plot) in report.plots.iter().enumerate() {
            let file = options.out.join(format!("{name}-{index}.svg"));
            measure::plot::write(plot, &file)?;
        }
    }
    Ok(())
}

/// Returns whether there is a measurement with this name.
fn is_known(name: &str) -> bool {
    MEASUREMENTS.iter().any(|(known, _)| *known == name)
}
