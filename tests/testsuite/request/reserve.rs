//! The slots that classes leave to lookups.

use laburnumplank::core::request::queue::{Rules, TierSlots};

fn tier_slots(held: u32, free: u32) -> TierSlots {
    TierSlots {
        free,
        held,
        ..TierSlots::default()
    }
}

#[test]
fn may_use_allows_the_only_slot_to_all_classes() {
    let rules = Rules::default();
    for share in [rules.lookup, rules.normal, rules.bulk] {
        assert!(share.may_use(tier_slots(1, 1)));
        assert!(!share.may_use(tier_slots(1, 0)));
    }
}

#[test]
fn may_use_reserves_the_last_of_many_slots_for_lookups() {
    let rules = Rules::default();
    assert!(rules.lookup.may_use(tier_slots(8, 1)));
    assert!(!rules.normal.may_use(tier_slots(8, 1)));
    assert!(!rules.bulk.may_use(tier_slots(8, 1)));
}
