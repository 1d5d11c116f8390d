//! Links between entries that go silent or are cut while all entries live.

use laburnum_testkit::cell::Cell;
use laburnum_testkit::standin::vms::Edit;
use laburnumplank::core::error::Effect;
use serde_json::json;

use super::fault::make_progress;
use super::load::{Load, Verdict};
use super::relay::Relay;
use super::{LEASE_MS, call, cell, client, eventually, filing, pause, run};

/// How many filers keep the cell busy.
const FILERS: usize = 8;

/// A pause that outlasts the lag of the VM list and every lease, in milliseconds.
const PAST_LEASES_MS: u64 = 5_000;

/// Calls in a row that show that each of eight partitions takes new keys.
const SETTLED_CALLS: usize = 90;

/// A lease that outlasts the time in which a silent link is found, in milliseconds.
const LONG_LEASE_MS: u64 = 8_000;

/// Starts a cell whose entries dial each other through relays.
async fn relayed(lease_ms: u64) -> (Cell, Vec<Relay>) {
    let settings = json!({
        "lease": { "duration_ms": lease_ms },
        "cell": { "request_partitions": 8 },
    });
    let mut cell = cell().settings(settings).start().await.unwrap();
    let list = cell.edit_vms(&Edit::Remove(u32::MAX)).await.unwrap();
    let mut relays = Vec::new();
    for entry in &cell.entries {
        let relay = Relay::start(entry.address).await;
        let mut vm = list
            .vms
            .iter()
            .find(|vm| vm.id == entry.vm)
            .unwrap()
            .clone();
        vm.address = relay.address;
        cell.edit_vms(&Edit::Put(vm)).await.unwrap();
        relays.push(relay);
    }
    pause(1_000).await;
    for entry in 0..cell.entries.len() {
        cell.restart(entry).unwrap();
    }
    for entry in 0..cell.entries.len() {
        cell.wait_until_ready(entry).await.unwrap();
    }
    settle(&cell).await;
    (cell, relays)
}

/// Waits until every partition has an owner again that takes new keys through any entry.
async fn settle(cell: &Cell) {
    eventually("owners of all partitions", || async {
        for number in 0..SETTLED_CALLS {
            let entry = client(cell, number % cell.entries.len());
            if call(&entry, &filing("echo", "dossier")).await.is_err() {
                return false;
            }
        }
        true
    })
    .await;
}

fn opened(relays: &[Relay]) -> u64 {
    relays.iter().map(Relay::opened).sum()
}

/// Makes all links silent under load.
async fn silence_links(lease_ms: u64) -> Verdict {
    let (cell, relays) = relayed(lease_ms).await;
    let load = Load::start(&cell, FILERS, "sleep/30");
    make_progress(&load, 50).await;
    let before = opened(&relays);
    assert!(before > 0, "no link went through a relay");
    relays.iter().for_each(Relay::silence);
    make_progress(&load, 100).await;
    eventually("a new link", || async { opened(&relays) > before }).await;
    load.judge(&cell).await
}

#[test]
fn silent_links_are_replaced_within_a_lease() {
    run(async {
        let verdict = silence_links(LONG_LEASE_MS).await;
        assert!(verdict.failed.is_empty(), "{verdict:?}");
    });
}

#[test]
fn silent_links_past_a_lease_are_answered_truthfully() {
    run(async {
        let verdict = silence_links(LEASE_MS).await;
        for error in &verdict.failed {
            let may_come_back = error.retry_after.is_some() && error.effect == Effect::NotRun;
            assert!(
                may_come_back || error.effect == Effect::Unknown,
                "{error:?}"
            );
        }
    });
}

#[test]
fn cut_links_between_living_entries_double_nothing() {
    run(async {
        let (cell, relays) = relayed(LEASE_MS).await;
        let load = Load::start(&cell, FILERS, "sleep/30");
        make_progress(&load, 50).await;
        relays.iter().for_each(|relay| relay.cut(true));
        pause(PAST_LEASES_MS).await;
        relays.iter().for_each(|relay| relay.cut(false));
        make_progress(&load, 100).await;
        load.judge(&cell).await;
    });
}
