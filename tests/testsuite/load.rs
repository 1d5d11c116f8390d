//! Tests of the load generator: its plan of arrivals and its counts.

use std::net::TcpListener;
use std::time::Duration;

use laburnum_testkit::load::{Arrival, Builder, Mix, Plan};
use laburnumplank::core::workload::Priority;

const SPAN: Duration = Duration::from_secs(20);

fn plan(seed: u64) -> Vec<Arrival> {
    Plan::new(seed, 1_000.0, SPAN, &Mix::default())
        .unwrap()
        .collect()
}

#[test]
fn plan_of_same_seed_is_the_same() {
    assert_eq!(plan(1), plan(1));
    assert_ne!(plan(1), plan(2));
}

#[test]
fn plan_keeps_rate_and_mix() {
    let plan = plan(1);
    assert!(plan.is_sorted_by_key(|arrival| arrival.at));
    assert!((19_500..20_500).contains(&plan.len()), "{}", plan.len());
    let bulk = plan.iter().filter(|each| each.priority == Priority::Bulk);
    let bulk = bulk.count();
    assert!((1_800..2_200).contains(&bulk), "{bulk}");
}

#[test]
fn plan_without_weight_is_rejected() {
    let mut mix = Mix::default();
    for priority in Priority::ALL {
        mix.share_mut(priority).weight = 0;
    }
    assert!(Plan::new(1, 1.0, SPAN, &mix).is_err());
}

#[test]
fn run_without_entry_counts_every_call_as_error() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let entry = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let load = Builder::new(vec![entry], "licence")
        .rate(400.0)
        .duration(Duration::from_millis(100));
    let report = actix_rt::System::new().block_on(load.run()).unwrap();
    for row in report.rows() {
        assert_eq!(row.answered + row.skipped, 0);
        assert_eq!(row.errors.values().sum::<u64>(), row.sent);
        assert!(
            row.errors.keys().all(|kind| kind == "NoOwner"),
            "{:?}",
            row.errors
        );
    }
}
