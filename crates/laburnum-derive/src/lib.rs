//! Attributes that each stand for a list of derived traits.
//!
//! Each attribute adds a fixed `#[derive(...)]` list to its item, so that types with the same role
//! derive the same traits. A crate that uses the attributes must depend on `serde` with the `derive`
//! feature.

use proc_macro::TokenStream;

/// Traits of small copyable values: identifiers, numbers with a unit and enums without fields.
const VALUE: &str = "#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]";

/// Traits of names, which own a string and serve as keys.
const NAME: &str = "#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]";

/// Traits of messages and durable records.
const MESSAGE: &str = "#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]";

/// Traits of state that is neither sent nor stored.
const STATE: &str = "#[derive(Clone, Debug, PartialEq)]";

/// Derives the traits of a small copyable value: comparable, hashable, printable and serializable.
#[proc_macro_attribute]
pub fn value(_options: TokenStream, item: TokenStream) -> TokenStream {
    prepend_derives(VALUE, item)
}

/// Derives the traits of a name that owns a string and serves as a key.
#[proc_macro_attribute]
pub fn name(_options: TokenStream, item: TokenStream) -> TokenStream {
    prepend_derives(NAME, item)
}

/// Derives the traits of a message between processes or a record in the log.
#[proc_macro_attribute]
pub fn message(_options: TokenStream, item: TokenStream) -> TokenStream {
    prepend_derives(MESSAGE, item)
}

/// Derives the traits of state that is neither sent nor stored.
#[proc_macro_attribute]
pub fn state(_options: TokenStream, item: TokenStream) -> TokenStream {
    prepend_derives(STATE, item)
}

/// Returns `item` with the attribute `derives` in front of it.
fn prepend_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut tokens: TokenStream = derives.parse().unwrap_or_default();
    tokens.extend(item);
    tokens
}
