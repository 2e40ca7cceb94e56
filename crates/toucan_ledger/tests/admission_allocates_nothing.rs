//! Checks that admission of a request allocates no memory.
#![allow(unsafe_code, reason = "counting allocations needs a custom allocator")]
#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod support;

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

use support::{Stream, budget};
use toucan_types::Tokens;

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

struct CountingAllocator;

// SAFETY: each call is passed to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.with(|count| count.set(count.get() + 1));
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[test]
fn admission_allocates_nothing() {
    let mut stream = Stream::new(1_000_000);
    let mut wallet = stream.announced_wallet(1, "i-1", 100_000);
    let name = budget();
    let before = ALLOCATIONS.with(Cell::get);
    for now_ms in 0..100 {
        let reservation = wallet.reserve(&name, Tokens(500), now_ms).unwrap();
        wallet.cancel(reservation);
        assert!(wallet.reserve(&name, Tokens(200_000), now_ms).is_err());
    }
    assert_eq!(ALLOCATIONS.with(Cell::get), before);
}
