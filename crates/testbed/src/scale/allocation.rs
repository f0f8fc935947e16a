//! An allocator that counts the bytes in use per thread, so that memory measurements repeat to the byte.
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    /// Bytes allocated minus bytes freed by this thread; negative if it freed what other threads had
    /// allocated.
    static IN_USE: Cell<isize> = const { Cell::new(0) };
    /// The highest value of `IN_USE` since it was last taken.
    static PEAK: Cell<isize> = const { Cell::new(0) };
}

/// The system allocator with counters; a binary enables it as its `#[global_allocator]`.
pub struct CountingAllocator;

impl CountingAllocator {
    /// Returns the bytes that this thread has in use, without the allocator's own overhead.
    pub fn in_use(&self) -> usize {
        IN_USE.get().max(0) as usize
    }

    /// Returns the peak of the bytes in use since the last call.
    pub fn take_peak(&self) -> usize {
        PEAK.replace(IN_USE.get()).max(0) as usize
    }
}

fn add(bytes: isize) {
    // The thread-local counters are gone while the thread ends, and nothing is counted then.
    let _ = IN_USE.try_with(|in_use| {
        in_use.set(in_use.get() + bytes);
        let _ = PEAK.try_with(|peak| peak.set(peak.get().max(in_use.get())));
    });
}

// SAFETY: every call is passed on unchanged to the system allocator; counting does not allocate.
unsafe impl GlobalAlloc for CountingAllocator {
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
