//! Links between entries that go silent or are cut while all entries live.

use laburnum_testkit::cell::Cell;
use laburnum_testkit::standin::vms::Edit;

use super::load::Load;
use super::relay::Relay;
use super::{cell, eventually, pause, run};

/// How many filers keep the cell busy.
const FILERS: usize = 8;

/// A pause that outlasts the lag of the VM list and every lease, in milliseconds.
const PAST_LEASES_MS: u64 = 5_000;

/// Starts a cell whose entries dial each other through relays.
async fn relayed() -> (Cell, Vec<Relay>) {
    let mut cell = cell().start().await.unwrap();
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
        cell.ready(entry).await.unwrap();
    }
    (cell, relays)
}

/// Waits until some more filings have ended.
async fn make_progress(load: &Load, more: usize) {
    let wanted = load.ended() + more;
    eventually("progress of the filings", || async {
        load.ended() >= wanted
    })
    .await;
}

fn opened(relays: &[Relay]) -> u64 {
    relays.iter().map(Relay::opened).sum()
}

#[test]
fn silent_links_between_entries_are_replaced() {
    run(async {
        let (cell, relays) = relayed().await;
        let load = Load::start(&cell, FILERS, "sleep/30");
        make_progress(&load, 50).await;
        let before = opened(&relays);
        assert!(before > 0, "no link went through a relay");
        relays.iter().for_each(Relay::silence);
        make_progress(&load, 100).await;
        eventually("a new link", || async { opened(&relays) > before }).await;
        let verdict = load.judge(&cell).await;
        assert!(verdict.failed.is_empty(), "{verdict:?}");
    });
}

#[test]
fn cut_links_between_living_entries_double_nothing() {
    run(async {
        let (cell, relays) = relayed().await;
        let load = Load::start(&cell, FILERS, "sleep/30");
        make_progress(&load, 50).await;
        relays.iter().for_each(|relay| relay.cut(true));
        pause(PAST_LEASES_MS).await;
        relays.iter().for_each(|relay| relay.cut(false));
        make_progress(&load, 100).await;
        load.judge(&cell).await;
    });
}
