//! Bounds the freed memory that the C library's allocator retains.
//!
//! The allocator gives each thread an arena, which passes to another thread once its thread ends; memory
//! freed in one arena can't be reused by another. So every long list is read on a thread of its own, and
//! there are two arenas in all: the event loop's stays small, and each list reuses the memory that the one
//! before has freed.
use std::panic::resume_unwind;
use std::thread;

/// One arena for the event loop and one for reading lists.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const ARENAS: libc::c_int = 2;
/// Bytes above which a freed block is returned to the system at once.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const RETURN_THRESHOLD_BYTES: libc::c_int = 128 << 10;

/// Configures the allocator. Must be called before a second thread is started.
pub fn configure() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: mallopt only sets parameters of the allocator.
    unsafe {
        libc::mallopt(libc::M_ARENA_MAX, ARENAS);
        libc::mallopt(libc::M_MMAP_THRESHOLD, RETURN_THRESHOLD_BYTES);
        libc::mallopt(libc::M_TRIM_THRESHOLD, RETURN_THRESHOLD_BYTES);
    }
}

/// Reads a long list on a thread of its own, blocking the caller.
pub fn on_list_thread<T: Send>(read: impl FnOnce() -> T + Send) -> T {
    thread::scope(|scope| scope.spawn(read).join()).unwrap_or_else(|panic| resume_unwind(panic))
}

/// Returns free memory to the system.
pub fn trim() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    // SAFETY: malloc_trim may be called at any time, from any thread.
    unsafe {
        libc::malloc_trim(0);
    }
}
