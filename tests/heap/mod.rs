//! Bytes on the heap that the calling thread has taken and not given back.
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    static BYTES: Cell<isize> = const { Cell::new(0) };
}

struct Counting;

// All work is the system's allocator's; besides it this adds to a counter that needs no heap.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add(layout.size() as isize);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, place: *mut u8, layout: Layout) {
        add(-(layout.size() as isize));
        unsafe { System.dealloc(place, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

fn add(bytes: isize) {
    // None: the thread is ending.
    let _ = BYTES.try_with(|count| count.set(count.get() + bytes));
}

pub fn bytes() -> isize {
    BYTES.with(Cell::get)
}
