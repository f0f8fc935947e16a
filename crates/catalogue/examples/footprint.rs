//! Measures a catalogue by size: its memory, and the time to read a whole list, to apply one change and to
//! look up a destination.
//!
//!     cargo run --release -p catalogue --example footprint -- 30 1000 10000 100000 350000
//!
//! The arguments are numbers of destinations. Prints one JSON object per size and line.

use catalogue::{intake, Catalogue, Limits};
use std::alloc::{GlobalAlloc, Layout, System};
use std::fmt::Write;
use std::hint::black_box;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// Counts the heap memory of the process.
struct CountingAllocator;

static HEAP_BYTES: AtomicUsize = AtomicUsize::new(0);
static PEAK_BYTES: AtomicUsize = AtomicUsize::new(0);

unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let heap_bytes = HEAP_BYTES.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        PEAK_BYTES.fetch_max(heap_bytes, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        HEAP_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Lookups per measurement.
const LOOKUPS: u64 = 100_000;
/// Changes per measurement.
const CHANGES: u64 = 1_000;

/// Appends the entry of one endpoint, of a destination of its own.
fn push_entry(text: &mut String, number: u64, lifecycle: &str) {
    let [_, b, c, d] = (number as u32).to_be_bytes();
    let name = (number as u32).wrapping_mul(2_654_435_761);
    let _ = write!(
        text,
        r#"{{"instanceId":"s-{name:08x}","hostPort":"10.{b}.{c}.{d}:5000","zone":"z{}","machineType":"m2","cell":{number},"lifecycle":"{lifecycle}","weight":2.5,"startedAtMs":0}}"#,
        number % 13
    );
}

/// A whole list of `size` destinations.
fn whole_list(size: u64) -> String {
    let mut text = String::from(r#"{"generation":1,"reset":true,"instances":["#);
    for number in 0..size {
        if number > 0 {
            text.push(',');
        }
        push_entry(&mut text, number, "Ready");
    }
    text + "]}"
}

/// A list with one change.
fn change_list(generation: u64, number: u64) -> String {
    let mut text = format!(r#"{{"generation":{generation},"reset":false,"instances":["#);
    push_entry(&mut text, number, "Terminating");
    text + "]}"
}

/// Measures one size and prints the result.
fn measure(size: u64) {
    let limits = Limits::unlimited();
    let list = whole_list(size);
    let before = HEAP_BYTES.load(Ordering::Relaxed);
    PEAK_BYTES.store(before, Ordering::Relaxed);
    let started = Instant::now();
    let mut catalogue =
        intake::read(list.as_bytes(), &Catalogue::default(), &limits).expect("the list is valid").catalogue;
    let whole_ms = started.elapsed().as_secs_f64() * 1e3;
    let bytes = HEAP_BYTES.load(Ordering::Relaxed) - before;
    let peak = PEAK_BYTES.load(Ordering::Relaxed) - before;

    let changes: Vec<String> = (0..CHANGES).map(|n| change_list(2 + n, n * 7_919 % size)).collect();
    let reader = catalogue.clone();
    let started = Instant::now();
    for change in &changes {
        catalogue =
            intake::read(change.as_bytes(), &catalogue, &limits).expect("the change is valid").catalogue;
    }
    let change_us = started.elapsed().as_secs_f64() * 1e6 / CHANGES as f64;

    let started = Instant::now();
    for n in 0..LOOKUPS {
        let destination = n * 104_729 % size;
        for id in reader.endpoints_of(destination) {
            black_box(reader.get(id));
        }
    }
    let lookup_ns = started.elapsed().as_secs_f64() * 1e9 / LOOKUPS as f64;
    println!(
        r#"{{"destinations":{size},"list_bytes":{},"bytes":{bytes},"bytes_by_destination":{:.1},"peak_bytes":{peak},"whole_ms":{whole_ms:.1},"change_us":{change_us:.1},"lookup_ns":{lookup_ns:.0}}}"#,
        list.len(),
        bytes as f64 / size as f64
    );
}

fn main() {
    let sizes: Vec<u64> = std::env::args()
        .skip(1)
        .map(|size| size.parse().expect("arguments are numbers of destinations"))
        .collect();
    for size in if sizes.is_empty() { vec![30, 1_000, 10_000, 100_000, 350_000] } else { sizes } {
        measure(size.max(1));
    }
}
