//! Errors on their way to a caller.

use laburnumplank::api::fault::Body;
use laburnumplank::core::error::{Effect, Error, Kind};

#[test]
fn body_keeps_effect_that_differs_from_its_kind() {
    for effect in [Effect::NotRun, Effect::Unknown, Effect::Ran] {
        for kind in [Kind::NoOwner, Kind::AnswerLost, Kind::Canceled] {
            let error = Error::new(kind, "come back").with_effect(effect);
            let read = Body::new(&error).to_error();
            assert_eq!(read.effect, effect, "{kind:?}");
        }
    }
}
