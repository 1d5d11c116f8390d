//! The limit on the size of the document.

use std::io;

use serde_json::Value;

use super::document::DOCUMENT_BYTES;
use super::fault::Fault;

/// Returns a fault when `size`, in bytes, exceeds [`DOCUMENT_BYTES`].
pub(super) fn check(size: usize) -> Result<(), Vec<Fault>> {
    if size <= DOCUMENT_BYTES {
        return Ok(());
    }
    let problem = format!("has {size} bytes");
    let remedy = format!("keep it within {DOCUMENT_BYTES} bytes");
    Err(vec![Fault::new("", problem, remedy)])
}

/// Returns the size of a value as compact JSON, in bytes.
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
    // This can't fail: the counter accepts all writes and all keys of a JSON value are strings.
    let _ = serde_json::to_writer(&mut count, value);
    count.0
}
