//! A library for `LD_PRELOAD` that makes reads and writes of a process's sockets return fewer bytes than were
//! there or would have fitted, as Linux allows at any time.
//!
//! `FAULT_SHORT_PERCENT` is the share of calls that are cut short, in percent; without it nothing is changed.
//! `FAULT_SEED` seeds the choice of the calls and of the counts. Files are left alone.
#![cfg(target_os = "linux")]
use libc::{c_int, c_long, c_void, iovec, size_t, ssize_t};
use std::ffi::CStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// The increment and the multipliers of SplitMix64.
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
const FIRST_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;
const SECOND_MULTIPLIER: u64 = 0x94d0_49bb_1331_11eb;

static SHORT_PERCENT: OnceLock<u64> = OnceLock::new();
static STATE: OnceLock<AtomicU64> = OnceLock::new();

/// Reads a number from the environment without calling anything that this library replaces.
fn env_number(name: &CStr) -> Option<u64> {
    // SAFETY: the name ends with a zero byte, and a value that getenv returns does too.
    let value = unsafe {
        let value = libc::getenv(name.as_ptr());
        (!value.is_null()).then(|| CStr::from_ptr(value))?
    };
    value.to_str().ok()?.parse().ok()
}

/// Returns the next random number.
fn random() -> u64 {
    let state = STATE.get_or_init(|| AtomicU64::new(env_number(c"FAULT_SEED").unwrap_or(0)));
    let mut z = state.fetch_add(INCREMENT, Ordering::Relaxed).wrapping_add(INCREMENT);
    z = (z ^ (z >> 30)).wrapping_mul(FIRST_MULTIPLIER);
    z = (z ^ (z >> 27)).wrapping_mul(SECOND_MULTIPLIER);
    z ^ (z >> 31)
}

/// Returns how many of `length` bytes a call may transfer: all, or at least one.
fn shortened(length: size_t) -> size_t {
    let percent = *SHORT_PERCENT.get_or_init(|| env_number(c"FAULT_SHORT_PERCENT").unwrap_or(0));
    if length < 2 || random() % 100 >= percent {
        return length;
    }
    1 + (random() % (length as u64 - 1)) as size_t
}

fn is_socket(fd: c_int) -> bool {
    // SAFETY: fstat fills the zeroed structure.
    unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        libc::fstat(fd, &mut stat) == 0 && stat.st_mode & libc::S_IFMT == libc::S_IFSOCK
    }
}

/// # Safety
/// As for recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = if flags & libc::MSG_PEEK == 0 { shortened(length) } else { length };
    let (address, address_length) = (0 as c_long, 0 as c_long);
    libc::syscall(libc::SYS_recvfrom, fd, buffer, length, flags, address, address_length) as ssize_t
}

/// # Safety
/// As for send(2).
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let (address, address_length) = (0 as c_long, 0 as c_long);
    libc::syscall(libc::SYS_sendto, fd, buffer, shortened(length), flags, address, address_length) as ssize_t
}

/// # Safety
/// As for read(2).
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    let length = if is_socket(fd) { shortened(length) } else { length };
    libc::syscall(libc::SYS_read, fd, buffer, length) as ssize_t
}

/// # Safety
/// As for write(2).
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    let length = if is_socket(fd) { shortened(length) } else { length };
    libc::syscall(libc::SYS_write, fd, buffer, length) as ssize_t
}

/// Writes the first buffer alone where a call is cut short.
///
/// # Safety
/// As for writev(2).
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    if count > 0 && is_socket(fd) {
        let first = *buffers;
        let length = shortened(first.iov_len);
        if length < first.iov_len {
            return libc::syscall(libc::SYS_write, fd, first.iov_base, length) as ssize_t;
        }
    }
    libc::syscall(libc::SYS_writev, fd, buffers, count) as ssize_t
}
