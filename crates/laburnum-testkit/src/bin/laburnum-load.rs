//! The load tool: sends calls in an open loop and prints a report.

use std::str::FromStr;
use std::time::Duration;

use argh::FromArgs;
use laburnum_testkit::load::{Builder, Mix, priority_name};
use laburnumplank::core::workload::Priority;

/// send calls at a constant average rate and print their latencies and errors
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --entry http://127.0.0.1:8080 --service licence --rate 500",
    example = "{command_name} --entry http://127.0.0.1:8080 --service licence --share lookup:1:echo"
)]
struct Options {
    /// URL of an entry to send calls to; may be given more than once
    #[argh(option)]
    entry: Vec<String>,

    /// the service to call
    #[argh(option)]
    service: String,

    /// calls per second on average (default: 100)
    #[argh(option, default = "100.0")]
    rate: f64,

    /// how long to send calls, in seconds (default: 10)
    #[argh(option, default = "10.0")]
    seconds: f64,

    /// a priority's weight and method, such as lookup:60:sleep/2; may be given more than once; no
    /// calls are sent for priorities that are left out (default: lookup:60:sleep/2
    /// normal:30:sleep/10 bulk:10:sleep/50)
    #[argh(option)]
    share: Vec<Share>,

    /// size of each request body in bytes (default: 1024)
    #[argh(option, default = "1024")]
    body_bytes: usize,

    /// timeout of each call in milliseconds (default: 5000)
    #[argh(option, default = "5000")]
    timeout_ms: u64,

    /// random seed of the planned calls (default: 1)
    #[argh(option, default = "1")]
    seed: u64,

    /// format of the report: text or json (default: text)
    #[argh(option, default = "Format::Text")]
    format: Format,
}

/// The value of `--share`: a priority's weight and method.
struct Share {
    priority: Priority,
    weight: u32,
    method: String,
}

impl FromStr for Share {
    type Err = String;

    fn from_str(text: &str) -> Result<Share, String> {
        let parse = || {
            let (name, rest) = text.split_once(':')?;
            let (weight, method) = rest.split_once(':')?;
            let mut priorities = Priority::ALL.into_iter();
            Some(Share {
                priority: priorities.find(|each| priority_name(*each) == name)?,
                weight: weight.parse().ok()?,
                method: method.to_owned(),
            })
        };
        parse().ok_or_else(|| {
            format!("`{text}` is not of the form PRIORITY:WEIGHT:METHOD, such as lookup:60:sleep/2")
        })
    }
}

/// The output format of the report.
#[derive(Clone, Copy)]
enum Format {
    Text,
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(format!("`{text}` is neither text nor json")),
        }
    }
}

fn main() -> eyre::Result<()> {
    let options: Options = argh::from_env();
    let format = options.format;
    let load = Builder::new(options.entry, &options.service)
        .mix(mix(&options.share))
        .rate(options.rate)
        .duration(Duration::try_from_secs_f64(options.seconds)?)
        .timeout(Duration::from_millis(options.timeout_ms))
        .body_bytes(options.body_bytes)
        .seed(options.seed);
    let report = actix_rt::System::new().block_on(load.run())?;
    match format {
        Format::Text => print!("{report}"),
        Format::Json => println!("{}", serde_json::to_string_pretty(&report.rows())?),
    }
    Ok(())
}

/// Returns the mix of the `--share` options, or the default mix when there are none.
fn mix(shares: &[Share]) -> Mix {
    let mut mix = Mix::default();
    if shares.is_empty() {
        return mix;
    }
    for priority in Priority::ALL {
        mix.share_mut(priority).weight = 0;
    }
    for share in shares {
        let share_of_priority = mix.share_mut(share.priority);
        share_of_priority.weight = share.weight;
        share_of_priority.method.clone_from(&share.method);
    }
    mix
}
