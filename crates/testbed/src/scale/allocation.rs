//! An allocator that counts the bytes in use by thread, for slopes of memory that repeat to the byte.
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    /// What this thread asked for and did not give back; below zero where it gave back what others asked for.
    static IN_USE: Cell<isize> = const { Cell::new(0) };
    static MOST: Cell<isize> = const { Cell::new(0) };
}

/// The system's allocator with a count; a binary that wants one makes it its `#[global_allocator]`.
pub struct Counting;

impl Counting {
    /// Bytes that this thread has asked for and not given back, without the allocator's own overhead.
    pub fn in_use(&self) -> usize {
        IN_USE.get().max(0) as usize
    }

    /// The most that was in use since the last call.
    pub fn take_most(&self) -> usize {
        MOST.replace(IN_USE.get()).max(0) as usize
    }
}

fn add(bytes: isize) {
    // Nothing is counted while the thread ends.
    let _ = IN_USE.try_with(|in_use| {
        in_use.set(in_use.get() + bytes);
        let _ = MOST.try_with(|most| most.set(most.get().max(in_use.get())));
    });
}

// SAFETY: every call is passed on unchanged to the system's allocator; the counts allocate nothing.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add(layout.size() as isize);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        add(-(layout.size() as isize));
        System.dealloc(at, layout);
    }

    unsafe fn realloc(&self, at: *mut u8, layout: Layout, new: usize) -> *mut u8 {
        add(new as isize - layout.size() as isize);
        System.realloc(at, layout, new)
    }
}
