//! The slots that classes leave to lookups.

use laburnumplank::core::request::queue::{Room, Rules};

fn room(held: u32, free: u32) -> Room {
    Room {
        free,
        held,
        ..Room::default()
    }
}

#[test]
fn may_use_allows_the_only_slot_to_all_classes() {
    let rules = Rules::default();
    for share in [rules.lookup, rules.normal, rules.bulk] {
        assert!(share.may_use(room(1, 1)));
        assert!(!share.may_use(room(1, 0)));
    }
}

#[test]
fn may_use_reserves_the_last_of_many_slots_for_lookups() {
    let rules = Rules::default();
    assert!(rules.lookup.may_use(room(8, 1)));
    assert!(!rules.normal.may_use(room(8, 1)));
    assert!(!rules.bulk.may_use(room(8, 1)));
}
