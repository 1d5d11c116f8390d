//! Requests to targets: waiting, goodput, amplification, bytes and processor time, against a
//! baseline, on a simulated clock.
//!
//! The baseline is a plain load balancer: one first-in-first-out queue per entry, a random
//! target, immediate retries. Both run the same arrivals over the same targets and network.

mod baseline;
mod outcome;
mod owned;
mod scenario;
mod simulation;

use std::time::Duration;

use self::outcome::Outcome;
use self::scenario::Scenario;
use self::simulation::run as simulate;
use crate::report::{Report, Table};

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a target gets more requests at once than it has slots.
pub fn run() -> eyre::Result<Report> {
    let mut report = Report::new("request");
    report.tables.push(waiting()?);
    report.tables.push(goodput()?);
    report.tables.push(amplification()?);
    report.tables.push(cost()?);
    Ok(report)
}

/// The result of one scenario under both policies.
struct Comparison {
    owned: Outcome,
    baseline: Outcome,
}

impl Comparison {
    fn measure(scenario: &Scenario) -> eyre::Result<Comparison> {
        let owned = simulate(scenario, owned::Policy::new(scenario));
        let baseline = simulate(scenario, baseline::Policy::new(scenario));
        eyre::ensure!(
            owned.without_slot == 0,
            "a target received more requests at once than it has slots"
        );
        Ok(Comparison { owned, baseline })
    }

    fn by_policy(&self) -> [(&'static str, &Outcome); 2] {
        [("laburnumplank", &self.owned), ("baseline", &self.baseline)]
    }
}

fn millis(span: Duration) -> String {
    format!("{:.2}", span.as_secs_f64() * 1e3)
}

/// Measures how long lookups wait for a slot, with and without an overload of bulk work.
fn waiting() -> eyre::Result<Table> {
    let columns = [
        "lookups fill",
        "policy",
        "p50 alone, ms",
        "p99 alone, ms",
        "p50 in flood, ms",
        "p99 in flood, ms",
        "p99 ratio",
        "lookups unanswered in flood, %",
    ];
    let mut table = Table::new("Lookup waiting until a slot serves it", &columns);
    for share in [0.05, 0.2] {
        let alone = Comparison::measure(&Scenario::lookups(share))?;
        let flood = Comparison::measure(&Scenario::flood(share))?;
        for ((name, alone), (_, flood)) in alone.by_policy().into_iter().zip(flood.by_policy()) {
            let ratio =
                flood.lookup_wait(0.99).as_secs_f64() / alone.lookup_wait(0.99).as_secs_f64();
            table.row([
                format!("{:.0} % of slots", share * 100.0),
                name.to_owned(),
                millis(alone.lookup_wait(0.5)),
                millis(alone.lookup_wait(0.99)),
                millis(flood.lookup_wait(0.5)),
                millis(flood.lookup_wait(0.99)),
                format!("{ratio:.2}"),
                format!("{:.2}", flood.lookups_unanswered() * 100.0),
            ]);
        }
    }
    Ok(table)
}

/// Measures the work answered in time at loads of up to about twice the capacity.
fn goodput() -> eyre::Result<Table> {
    let columns = [
        "offered",
        "policy",
        "answered in time, % of capacity",
        "refused or dropped, %",
    ];
    let mut table = Table::new("Goodput under overload", &columns);
    let loads = [
        ("lookups, 0.8 of capacity", Scenario::overload(0.8)),
        ("lookups, 2.0 of capacity", Scenario::overload(2.0)),
        ("bulk at most once, 2.0 of capacity", Scenario::bulk(2.0)),
        (
            "lookups 0.05 and bulk 2.0 of capacity",
            Scenario::flood(0.05),
        ),
        ("lookups 0.2 and bulk 2.0 of capacity", Scenario::flood(0.2)),
    ];
    for (load, scenario) in loads {
        for (name, outcome) in Comparison::measure(&scenario)?.by_policy() {
            table.row([
                load.to_owned(),
                name.to_owned(),
                format!("{:.1}", outcome.goodput_share() * 100.0),
                format!("{:.1}", outcome.failed_share() * 100.0),
            ]);
        }
    }
    Ok(table)
}

/// Measures the attempts per request while a third of the targets fail every request.
fn amplification() -> eyre::Result<Table> {
    let columns = [
        "policy",
        "attempts per request sent",
        "requests answered well, %",
        "attempts at failing targets, %",
    ];
    let mut table = Table::new("A third of the targets fail everything", &columns);
    for (name, outcome) in Comparison::measure(&Scenario::failing())?.by_policy() {
        table.row([
            name.to_owned(),
            format!("{:.3}", outcome.amplification()),
            format!("{:.1}", outcome.answered_share() * 100.0),
            format!("{:.1}", outcome.failing_share() * 100.0),
        ]);
    }
    Ok(table)
}

/// Measures the bytes sent between regions and the processor time.
fn cost() -> eyre::Result<Table> {
    let columns = [
        "load",
        "policy",
        "inter-region bytes of bodies per request",
        "inter-region control, kB per second in all",
        "processor time per request, µs",
        "processor time for control per entry, ms per second",
    ];
    let mut table = Table::new("Cost", &columns);
    let loads = [
        ("mixed, half of capacity", Scenario::mixed()),
        ("overload, twice capacity", Scenario::overload(2.0)),
        ("idle", Scenario::lookups(0.0001)),
    ];
    for (load, scenario) in loads {
        for (name, outcome) in Comparison::measure(&scenario)?.by_policy() {
            table.row([
                load.to_owned(),
                name.to_owned(),
                format!("{:.0}", outcome.remote_bytes_per_request()),
                format!("{:.0}", outcome.remote_control_rate()),
                format!("{:.2}", outcome.micros_per_request()),
                format!("{:.3}", outcome.control_millis_per_second()),
            ]);
        }
    }
    Ok(table)
}
