//! Common derive sets, each under one attribute.
//!
//! An attribute puts one `#[derive(...)]` list in front of the item it marks, so that types of the
//! same role always carry the same traits. The crate using it needs `serde` with the `derive`
//! feature in its own dependencies.

use proc_macro::TokenStream;

/// Traits of a small copyable value: identifiers, numbers with a unit, plain enumerations.
const VALUE: &str = "#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]";

/// Traits of a name that owns its text.
const NAME: &str = "#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]";

/// Traits of a message or a durable record.
const MESSAGE: &str = "#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]";

/// Traits of state that stays inside one process.
const STATE: &str = "#[derive(Clone, Debug, PartialEq)]";

/// Marks a small copyable value: comparable, hashable, printable and serializable.
#[proc_macro_attribute]
pub fn value(_options: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(VALUE, item)
}

/// Marks a type that owns text and is used as a key.
#[proc_macro_attribute]
pub fn name(_options: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(NAME, item)
}

/// Marks a message between processes or a record in the log.
#[proc_macro_attribute]
pub fn message(_options: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(MESSAGE, item)
}

/// Marks state that stays inside one process.
#[proc_macro_attribute]
pub fn state(_options: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(STATE, item)
}

/// Puts `derives` in front of `item`.
fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut tokens: TokenStream = derives.parse().unwrap_or_default();
    tokens.extend(item);
    tokens
}
