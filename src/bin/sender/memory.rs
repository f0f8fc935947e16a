//! What the C library's allocator keeps of memory that was freed.
//!
//! Each thread has an arena of its own there, which passes to another thread once that one ends, and what was freed in
//! one arena serves no other. So long lists are all read on threads that live for one list: the next list finds the room
//! that the last one left, and the loop's own arena stays small.
use std::panic::resume_unwind;
use std::thread;

/// Reads a long list while nothing else is to be done.
pub fn on_list_thread<T: Send>(read: impl FnOnce() -> T + Send) -> T {
    thread::scope(|scope| scope.spawn(read).join()).unwrap_or_else(|panic| resume_unwind(panic))
}

/// Gives the system back what is free.
pub fn give_back() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: it may be called at any time, from any thread.
    unsafe {
        libc::malloc_trim(0);
    }
}
