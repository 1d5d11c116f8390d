//! Runs measurements and writes their reports.

use std::fs;
use std::path::PathBuf;

use argh::FromArgs;
use laburnum_measure as measure;

/// run measurements and write their tables as Markdown and JSON and their plots as SVG
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
pub(crate) struct Options {
    /// measurements to run: cell, lease, placement, request, stream (all when none is named)
    #[argh(positional)]
    names: Vec<String>,

    /// directory that the reports are written to (default: target/measure)
    #[argh(option, default = "PathBuf::from(\"target/measure\")")]
    out: PathBuf,
}

/// A measurement by name.
type Measurement = (&'static str, fn() -> eyre::Result<measure::report::Report>);

const MEASUREMENTS: &[Measurement] = &[
    ("cell", measure::cell::run),
    ("lease", measure::lease::run),
    ("placement", measure::placement::run),
    ("request", measure::request::run),
    ("stream", measure::stream::run),
];

/// Runs the named measurements.
pub(crate) fn exec(options: &Options) -> eyre::Result<()> {
    if let Some(name) = options.names.iter().find(|name| !is_known(name)) {
        eyre::bail!("no measurement is called `{name}`; see `cargo xtask measure --help`");
    }
    fs::create_dir_all(&options.out)?;
    for (name, run) in MEASUREMENTS {
        if !options.names.is_empty() && !options.names.iter().any(|wanted| wanted == name) {
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

/// Returns whether a measurement has this name.
fn is_known(name: &str) -> bool {
    MEASUREMENTS.iter().any(|(known, _)| *known == name)
}
