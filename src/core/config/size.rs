//! The size of the document.

use std::io;

use serde_json::Value;

use super::document::DOCUMENT_BYTES;
use super::fault::Fault;

/// Fails when a document of `size` bytes is too large.
pub(super) fn check(size: usize) -> Result<(), Vec<Fault>> {
    if size <= DOCUMENT_BYTES {
        return Ok(());
    }
    let problem = format!("has {size} bytes");
    let remedy = format!("keep it within {DOCUMENT_BYTES} bytes");
    Err(vec![Fault::new("", problem, remedy)])
}

/// Returns how many bytes a value has as compact JSON.
pub(super) fn size(value: &Value) -> usize {
    struct Count(usize);
    impl io::Write for Count {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0 += bytes.len();
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let mut count = Count(0);
    // Writing to a counter can't fail, nor has a JSON value keys that aren't strings.
    let _ = serde_json::to_writer(&mut count, value);
    count.0
}
