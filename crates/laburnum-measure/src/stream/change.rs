//! What a change costs a node, and how many changes lose a race.

use std::time::Instant as Clock;

use laburnumplank::core::config::{Body, Change, Store, Verdict, Version};
use laburnumplank::core::stream::snapshot::{Content, Id, split};
use laburnumplank::core::stream::{self, Record, Sequence, WriterTable, encode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{Map, Value, json};

use super::{CHANGES_PER_DAY, DAY_S, change, node};
use crate::report::Table;

/// How many changes are applied per size.
const CHANGES: u64 = 2_000;

/// How many changes race per think time.
const RACES: u64 = 20_000;

fn record(offset: u64, value: Change) -> Record<Change> {
    let sequence = Sequence(offset + 1);
    let id = stream::Id {
        node: node(1),
        sequence,
    };
    Record {
        id,
        offset,
        index: 0,
        value,
    }
}

/// Returns a document with so many teams and services.
fn document(teams: u64, services: u64) -> Value {
    let team = |n| {
        (
            format!("team-{n}"),
            json!({"cpu_millis": 640_000, "memory_mib": 1_048_576, "weight": 100}),
        )
    };
    let service = |n| {
        let methods = ["check", "get_status", "list", "assemble"];
        let queue = json!({"lookup": 100, "normal": 200, "bulk": 1_000});
        let value = json!({
            "team": format!("team-{}", n % teams),
            "idempotent_methods": methods,
            "timeout_ms": 5_000,
            "concurrency": 400,
            "queue": queue,
        });
        (format!("service-{n}"), value)
    };
    let teams: Map<String, Value> = (0..teams).map(team).collect();
    let services: Map<String, Value> = (0..services).map(service).collect();
    json!({"teams": teams, "services": services})
}

/// Returns a store with such a document in force as version 1.
fn store(document: &Value) -> eyre::Result<Store> {
    let mut store = Store::default();
    let mut whole = change(u64::MAX, Version(0), 0);
    whole.body = Body::Whole(document.to_string());
    let verdict = store.apply(&record(0, whole));
    eyre::ensure!(verdict == Verdict::Accepted(Version(1)), "{verdict:?}");
    Ok(store)
}

pub(super) fn measure_cost() -> eyre::Result<Table> {
    let columns = [
        "teams",
        "services",
        "document (bytes)",
        "a change (us)",
        "share of a core at 87,000 a day (%)",
        "snapshot (bytes)",
        "snapshot (ms)",
        "snapshot parts",
    ];
    let mut table = Table::new("Cost of applying a change", &columns);
    for (teams, services) in [(10, 10), (120, 300), (120, 2_000)] {
        let document = document(teams, services);
        let mut store = store(&document)?;
        let start = Clock::now();
        for number in 1..=CHANGES {
            let verdict = store.apply(&record(
                number,
                change(number, store.version(), number % teams),
            ));
            eyre::ensure!(matches!(verdict, Verdict::Accepted(_)), "{verdict:?}");
        }
        let each = start.elapsed().as_secs_f64() / CHANGES as f64;
        let start = Clock::now();
        let content = Content {
            next: CHANGES + 1,
            writers: WriterTable::default(),
            state: store.state(),
        };
        let bytes = encode(&content)?;
        let id = Id {
            node: node(1),
            number: 1,
        };
        let parts = split(id, CHANGES + 1, &bytes)?;
        let snapshot = start.elapsed().as_secs_f64();
        table.row([
            teams.to_string(),
            services.to_string(),
            document.to_string().len().to_string(),
            format!("{:.0}", each * 1e6),
            format!("{:.3}", each * CHANGES_PER_DAY / DAY_S * 100.0),
            bytes.len().to_string(),
            format!("{:.1}", snapshot * 1e3),
            parts.len().to_string(),
        ]);
    }
    Ok(table)
}

/// Lets patches of random keys race, each made against the version of a while ago.
pub(super) fn measure_conflicts() -> Table {
    let columns = [
        "time from reading to landing (s)",
        "lost, by keys (%)",
        "lost, by version (%)",
    ];
    let title = "Patches that lose a race at 87,000 a day over 120 teams";
    let mut table = Table::new(title, &columns);
    for span in [0.3, 3.0, 60.0] {
        let (by_keys, by_version) = race(span);
        table.row([
            format!("{span}"),
            format!("{:.1}", by_keys * 100.0),
            format!("{:.1}", by_version * 100.0),
        ]);
    }
    table
}

/// Returns the shares of changes that lose when each takes `span` seconds.
fn race(span: f64) -> (f64, f64) {
    let mut random = Pcg32::seed_from_u64(7);
    let mut store = Store::default();
    let mut accepted_at: Vec<f64> = Vec::new();
    let mut now = 0.0;
    let (mut by_keys, mut by_version) = (0_u64, 0_u64);
    for number in 0..RACES {
        let wait: f64 = random.random();
        now -= (1.0 - wait).ln() * DAY_S / CHANGES_PER_DAY;
        let base = accepted_at.partition_point(|at| *at <= now - span) as u64;
        by_version += u64::from(base != store.version().0);
        let team = random.random_range(0..120);
        let verdict = store.apply(&record(number, change(number, Version(base), team)));
        if matches!(verdict, Verdict::Accepted(_)) {
            accepted_at.push(now);
        } else {
            by_keys += 1;
        }
    }
    (
        by_keys as f64 / RACES as f64,
        by_version as f64 / RACES as f64,
    )
}
