//! Counts the heap bytes that the calling thread has allocated and not freed.
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    static BYTES: Cell<isize> = const { Cell::new(0) };
}

/// The system allocator with a count of bytes per thread.
struct Counting;

// SAFETY: every call is passed to the system allocator; the counter itself needs no heap.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add(layout.size() as isize);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        add(-(layout.size() as isize));
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

/// Adds to the count of this thread.
fn add(bytes: isize) {
    // Fails only while the thread ends.
    let _ = BYTES.try_with(|count| count.set(count.get() + bytes));
}

/// Returns the number of heap bytes that this thread holds.
pub fn bytes() -> isize {
    BYTES.with(Cell::get)
}
