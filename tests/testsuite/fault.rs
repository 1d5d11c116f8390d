//! Encoding of errors in response bodies, and decoding by a client.

use laburnumplank::api::fault::Body;
use laburnumplank::core::error::{Effect, Error, Kind};

/// Encodes the error and decodes it as a client does.
fn read(error: &Error) -> Error {
    let text = serde_json::to_string(&Body::new(error)).unwrap();
    serde_json::from_str::<Body>(&text).unwrap().to_error()
}

#[test]
fn error_of_each_kind_is_read_as_sent() {
    for kind in Kind::ALL {
        let error = Error::new(kind, "a message");
        assert_eq!(read(&error), error);
    }
}

#[test]
fn effect_is_read_as_sent() {
    for effect in [Effect::NotRun, Effect::Unknown, Effect::Ran] {
        let error = Error::new(Kind::NoOwner, "the owner is not known").with_effect(effect);
        assert_eq!(read(&error).effect, effect);
    }
}

#[test]
fn body_keeps_effect_that_differs_from_its_kind() {
    for effect in [Effect::NotRun, Effect::Unknown, Effect::Ran] {
        for kind in [Kind::NoOwner, Kind::AnswerLost, Kind::Canceled] {
            let error = Error::new(kind, "retry later").with_effect(effect);
            let read = Body::new(&error).to_error();
            assert_eq!(read.effect, effect, "{kind:?}");
        }
    }
}
