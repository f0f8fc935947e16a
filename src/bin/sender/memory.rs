//! What the C library's allocator keeps of memory that was freed.
//!
//! Each thread has an arena of its own there, which passes to another thread once that one ends, and what was freed in
//! one arena serves no other. So long lists are all read on threads that live for one list, and there are two arenas in
//! all: the loop's own stays small, and the next list finds the room that the last one left.
use std::panic::resume_unwind;
use std::thread;

/// The loop's and the one of lists.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const ARENAS: libc::c_int = 2;
/// What is larger is given back to the system as soon as it is freed.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const KEPT: libc::c_int = 128 << 10;

/// Bounds what is kept. To be called before the first other thread is started.
pub fn configure() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: these only set parameters of the allocator.
    unsafe {
        libc::mallopt(libc::M_ARENA_MAX, ARENAS);
        libc::mallopt(libc::M_MMAP_THRESHOLD, KEPT);
        libc::mallopt(libc::M_TRIM_THRESHOLD, KEPT);
    }
}

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
