//! Tables of the capacity page, computed from measured slopes.

mod failures;
mod full_size;
mod page;
mod roles;

pub use page::fill_page;
