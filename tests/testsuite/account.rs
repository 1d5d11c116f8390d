//! Tests of client accounts and their keys.

use laburnumplank::core::account::{Account, Cap, Fault, MAX_KEY_BYTES, Name, Table};
use laburnumplank::core::resource::Amount;

fn account(name: &str) -> Account {
    Account {
        name: Name(name.to_owned()),
        weight: 1.0,
        cap: Cap::default(),
    }
}

fn table(listed: &[(&str, &[&str])]) -> (Table, Vec<Fault>) {
    let listed = listed.iter().map(|(name, keys)| {
        let keys = keys.iter().map(ToString::to_string);
        (account(name), keys.collect())
    });
    Table::new(listed.collect())
}

fn name_of(table: &Table, key: &str) -> Option<String> {
    table.account_of(key).map(|account| account.name.0.clone())
}

#[test]
fn account_of_each_of_its_keys_is_found() {
    let (table, faults) = table(&[("atelier", &["k1", "k2"]), ("museum", &["k3"])]);
    assert_eq!(faults, []);
    assert_eq!(name_of(&table, "k2").as_deref(), Some("atelier"));
    assert_eq!(name_of(&table, "k3").as_deref(), Some("museum"));
    assert_eq!(name_of(&table, "k4"), None);
}

#[test]
fn account_without_keys_admits_nobody() {
    let (table, faults) = table(&[("atelier", &[])]);
    assert_eq!((table.len(), faults), (1, vec![]));
    assert_eq!(name_of(&table, ""), None);
}

#[test]
fn key_that_is_empty_or_too_long_admits_nobody_and_is_reported() {
    let long = "k".repeat(64 * 1_024);
    let (table, faults) = table(&[("atelier", &["", &long, "k1"])]);
    let fault = Fault::UnusableKey(Name("atelier".to_owned()));
    assert_eq!(faults, [fault.clone(), fault]);
    assert_eq!(name_of(&table, ""), None);
    assert_eq!(name_of(&table, &long), None);
    assert_eq!(name_of(&table, "k1").as_deref(), Some("atelier"));
    assert!(long.len() > MAX_KEY_BYTES);
}

#[test]
fn key_of_two_accounts_admits_nobody_and_is_reported() {
    let (table, faults) = table(&[("atelier", &["k1", "k1"]), ("museum", &["k1", "k2"])]);
    let names = ("atelier".to_owned(), "museum".to_owned());
    assert_eq!(faults, [Fault::SharedKey(Name(names.0), Name(names.1))]);
    assert_eq!(name_of(&table, "k1"), None);
    assert_eq!(name_of(&table, "k2").as_deref(), Some("museum"));
}

#[test]
fn weight_that_is_negative_or_no_number_counts_as_zero() {
    let invalid = [-1.0, f64::NAN].map(|weight| Account {
        weight,
        ..account(&format!("account {weight}"))
    });
    let (table, faults) = Table::new(invalid.into_iter().map(|a| (a, vec![])).collect());
    assert_eq!(faults.len(), 2);
    assert!(table.accounts().all(|account| account.weight == 0.0));
}

#[test]
fn repeated_account_keeps_its_first_entry() {
    let (table, faults) = table(&[("atelier", &["k1"]), ("atelier", &["k2"])]);
    assert_eq!(faults, [Fault::RepeatedAccount(Name("atelier".to_owned()))]);
    assert_eq!(name_of(&table, "k1").as_deref(), Some("atelier"));
    assert_eq!(name_of(&table, "k2"), None);
}

#[test]
fn keys_are_shown_by_no_dump_message_or_fault() {
    let long = format!("secret-{}", "k".repeat(MAX_KEY_BYTES));
    let (table, faults) = table(&[("atelier", &["secret-1", &long]), ("museum", &["secret-1"])]);
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let json = serde_json::to_string(&table).unwrap();
    for text in [format!("{table:?}"), json, faults.join("\n")] {
        assert!(!text.contains("secret"), "{text}");
    }
}

#[test]
fn cap_limits_only_the_resources_that_it_names() {
    let cap = Cap {
        cpu_millis: Some(4_000),
        ..Cap::default()
    };
    let amount = |cpu_millis| Amount {
        cpu_millis,
        memory_mib: u64::MAX,
        accelerators: 0,
    };
    assert!(cap.allows(amount(4_000)));
    assert!(!cap.allows(amount(4_001)));
}
