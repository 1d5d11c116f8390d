//! Links between entries that go silent or are cut while all entries are alive.

use laburnum_testkit::cell::Cell;
use laburnum_testkit::standin::vms::Edit;
use laburnumplank::core::error::Effect;
use serde_json::json;

use super::fault::make_progress;
use super::load::{Load, Summary};
use super::proxy::Proxy;
use super::{LEASE_MS, call, cell, client, eventually, keyed_call, pause, run};

/// How many load tasks keep the cell busy.
const LOAD_TASKS: usize = 8;

/// A time longer than the lag of the VM list and every lease, in milliseconds.
const PAST_LEASES_MS: u64 = 5_000;

/// How many consecutive successful calls show that each of the eight partitions accepts new keys.
const CONSECUTIVE_CALLS: usize = 90;

/// A lease duration that exceeds the time until a silent link is closed, in milliseconds.
const LONG_LEASE_MS: u64 = 8_000;

/// Starts a cell whose entries connect to each other through proxies.
async fn start_with_proxies(lease_ms: u64) -> (Cell, Vec<Proxy>) {
    let settings = json!({
        "lease": { "duration_ms": lease_ms },
        "cell": { "request_partitions": 8 },
    });
    let mut cell = cell().settings(settings).start().await.unwrap();
    let list = cell.edit_vms(&Edit::Remove(u32::MAX)).await.unwrap();
    let mut proxies = Vec::new();
    for entry in &cell.entries {
        let proxy = Proxy::start(entry.address).await;
        let mut vm = list
            .vms
            .iter()
            .find(|vm| vm.id == entry.vm)
            .unwrap()
            .clone();
        vm.address = proxy.address;
        cell.edit_vms(&Edit::Put(vm)).await.unwrap();
        proxies.push(proxy);
    }
    pause(1_000).await;
    for entry in 0..cell.entries.len() {
        cell.restart(entry).unwrap();
    }
    for entry in 0..cell.entries.len() {
        cell.wait_until_ready(entry).await.unwrap();
    }
    wait_for_owners(&cell).await;
    (cell, proxies)
}

/// Waits until every partition has an owner that accepts new keys through any entry.
async fn wait_for_owners(cell: &Cell) {
    eventually("owners of all partitions", || async {
        for number in 0..CONSECUTIVE_CALLS {
            let entry = client(cell, number % cell.entries.len());
            if call(&entry, &keyed_call("echo", "dossier")).await.is_err() {
                return false;
            }
        }
        true
    })
    .await;
}

fn opened(proxies: &[Proxy]) -> u64 {
    proxies.iter().map(Proxy::opened).sum()
}

/// Silences all links under load, waits for new ones and returns the outcomes of the load.
async fn silence_links(lease_ms: u64) -> Summary {
    let (cell, proxies) = start_with_proxies(lease_ms).await;
    let load = Load::start(&cell, LOAD_TASKS, "sleep/30");
    make_progress(&load, 50).await;
    let before = opened(&proxies);
    assert!(before > 0, "no link went through a proxy");
    proxies.iter().for_each(Proxy::silence);
    make_progress(&load, 100).await;
    eventually("a new link", || async { opened(&proxies) > before }).await;
    load.check(&cell).await
}

#[test]
fn silent_links_are_replaced_within_a_lease() {
    run(async {
        let summary = silence_links(LONG_LEASE_MS).await;
        assert!(summary.failed.is_empty(), "{summary:?}");
    });
}

#[test]
fn silent_links_past_a_lease_are_answered_truthfully() {
    run(async {
        let summary = silence_links(LEASE_MS).await;
        for error in &summary.failed {
            let may_retry = error.retry_after.is_some() && error.effect == Effect::NotRun;
            assert!(may_retry || error.effect == Effect::Unknown, "{error:?}");
        }
    });
}

#[test]
fn cut_links_between_living_entries_double_nothing() {
    run(async {
        let (cell, proxies) = start_with_proxies(LEASE_MS).await;
        let load = Load::start(&cell, LOAD_TASKS, "sleep/30");
        make_progress(&load, 50).await;
        proxies.iter().for_each(|proxy| proxy.cut(true));
        pause(PAST_LEASES_MS).await;
        proxies.iter().for_each(|proxy| proxy.cut(false));
        make_progress(&load, 100).await;
        load.check(&cell).await;
    });
}
