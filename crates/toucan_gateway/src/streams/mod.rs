//! Streams that broke off: which target may resume them.
//!
//! What two software versions write does not fit together, so a stream goes on only at the version
//! that began it. Targets do not check this.

mod stream_origin;

pub use stream_origin::StreamOrigin;
