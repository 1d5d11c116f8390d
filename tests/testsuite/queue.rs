//! Tests of the changes from one version of the queues to the next.

use std::time::Duration;

use laburnumplank::core::account::{self, Account, Cap};
use laburnumplank::core::queue::patch::{History, PAGE_CHANGES, Patch, Transfer};
use laburnumplank::core::queue::{Limits, QueueBinding, QueueTable};
use laburnumplank::core::scheduler::spec::Queue;
use proptest::prelude::*;

/// The queues of a version, by number, each with its number of attempts.
type Queues = Vec<(usize, u16)>;

fn table(version: u64, queues: &[(usize, u16)], account: Option<&str>) -> QueueTable {
    let limits = Limits {
        body_bytes: 1_000 + version as usize,
        header_bytes: 1_000,
        header_time: Duration::from_secs(1),
        idle_time: Duration::from_secs(1),
    };
    let bindings = queues.iter().map(|&(number, attempts)| QueueBinding {
        host: format!("host{}.example", number % 3),
        prefix: format!("/queue-{number}/"),
        queue: Queue {
            attempts,
            ..Queue::named(format!("queue-{number}"))
        },
        is_public: number % 2 == 0,
    });
    let accounts = account.map(|name| {
        let account = Account {
            name: account::Name(name.to_owned()),
            weight: 1.0,
            cap: Cap::default(),
        };
        account::Table::new(vec![(account, vec![format!("key of {name}")])]).0
    });
    QueueTable::new(version, limits, bindings.collect(), accounts)
}

/// Transfers all versions up to `latest` to an entry that has `known`.
fn receive(
    history: &mut History,
    known: Option<&QueueTable>,
    latest: &QueueTable,
) -> Option<QueueTable> {
    let mut known = known.cloned();
    let mut transfer = Transfer::default();
    while let Some(step) = history.next_step(known.as_ref().map(|table| table.version), latest) {
        assert!(transfer.add(step.page(transfer.next_page())));
        if let Some(table) = transfer.finish(known.as_ref()) {
            known = Some(table);
        }
    }
    known
}

fn versions() -> impl Strategy<Value = Vec<(Queues, Option<bool>)>> {
    let queues = proptest::collection::btree_map(0..40_usize, 1..4_u16, 0..30);
    let queues = queues.prop_map(|queues| queues.into_iter().collect());
    proptest::collection::vec((queues, any::<Option<bool>>()), 1..30)
}

proptest! {
    #[test]
    fn transfer_from_any_version_leads_to_the_latest(versions in versions()) {
        let tables: Vec<QueueTable> = (1..)
            .zip(&versions)
            .map(|(version, (queues, account))| {
                let account = account.map(|first| if first { "kaje80" } else { "ruvo3" });
                table(version, queues, account)
            })
            .collect();
        let mut history = History::default();
        let latest = tables.last().unwrap();
        for (index, table) in tables.iter().enumerate() {
            let former = index.checked_sub(1).map(|index| &tables[index]);
            history.push(former, table);
        }
        for known in std::iter::once(None).chain(tables.iter().map(Some)) {
            let received = receive(&mut history, known, latest);
            prop_assert_eq!(received.as_ref(), Some(latest));
        }
    }

    #[test]
    fn pages_of_two_transfers_never_mix(
        old in 0..PAGE_CHANGES * 4,
        new in 0..PAGE_CHANGES * 4,
        switch in 0..5_usize,
    ) {
        let queues = |count: usize, attempts| (0..count).map(|number| (number, attempts)).collect::<Queues>();
        let (first, second) = (table(1, &queues(old, 1), None), table(2, &queues(new, 2), None));
        let (before, after) = (Patch::between(None, &first), Patch::between(None, &second));
        let mut transfer = Transfer::default();
        for _ in 0..switch {
            transfer.add(before.page(transfer.next_page()));
            if let Some(table) = transfer.finish(None) {
                prop_assert_eq!(&table, &first);
            }
        }
        for _ in 0..6 {
            transfer.add(after.page(transfer.next_page()));
            if let Some(table) = transfer.finish(None) {
                prop_assert_eq!(&table, &second);
                return Ok(());
            }
        }
        prop_assert!(false, "the transfer does not end");
    }
}

#[test]
fn step_between_large_versions_has_only_the_changes() {
    let queues = |count| (0..count).map(|number| (number, 1)).collect::<Queues>();
    let (former, latest) = (
        table(1, &queues(5_000), None),
        table(2, &queues(5_001), None),
    );
    let mut history = History::default();
    history.push(Some(&former), &latest);
    let step = history.next_step(Some(1), &latest).unwrap();
    assert_eq!(step.len(), 1);
    assert!(step.page(0).is_last);
    assert!(history.next_step(Some(2), &latest).is_none());
}

#[test]
fn page_based_on_another_version_is_not_applied() {
    let (first, second, third) = (
        table(1, &[(1, 1)], None),
        table(2, &[(2, 1)], None),
        table(3, &[], None),
    );
    let mut transfer = Transfer::default();
    transfer.add(Patch::between(Some(&second), &third).page(0));
    assert_eq!(transfer.finish(Some(&first)), None);
}
