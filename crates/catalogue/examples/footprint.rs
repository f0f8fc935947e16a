//! What a catalogue costs by size: bytes held, time to take a whole list in, to apply one change, and to look up.
//!
//!     cargo run --release -p catalogue --example footprint -- 30 1000 10000 100000 350000
//!
//! One JSON object a line.

use catalogue::{intake, Catalogue, Limits};
use std::alloc::{GlobalAlloc, Layout, System};
use std::fmt::Write;
use std::hint::black_box;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

struct Counting;

static HELD: AtomicUsize = AtomicUsize::new(0);
static MOST: AtomicUsize = AtomicUsize::new(0);

unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let held = HELD.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        MOST.fetch_max(held, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

const LOOKUPS: u64 = 100_000;
const CHANGES: u64 = 1_000;

fn entry(text: &mut String, number: u64, lifecycle: &str) {
    let [_, b, c, d] = (number as u32).to_be_bytes();
    let name = (number as u32).wrapping_mul(2_654_435_761);
    let _ = write!(
        text,
        r#"{{"instanceId":"s-{name:08x}","hostPort":"10.{b}.{c}.{d}:5000","zone":"z{}","machineType":"m2","cell":{number},"lifecycle":"{lifecycle}","weight":2.5,"startedAtMs":0}}"#,
        number % 13
    );
}

fn whole(size: u64) -> String {
    let mut text = String::from(r#"{"generation":1,"reset":true,"instances":["#);
    for number in 0..size {
        if number > 0 {
            text.push(',');
        }
        entry(&mut text, number, "Ready");
    }
    text + "]}"
}

fn change(generation: u64, number: u64) -> String {
    let mut text = format!(r#"{{"generation":{generation},"reset":false,"instances":["#);
    entry(&mut text, number, "Terminating");
    text + "]}"
}

fn measure(size: u64) {
    let limits = Limits::unlimited();
    let list = whole(size);
    let before = HELD.load(Ordering::Relaxed);
    MOST.store(before, Ordering::Relaxed);
    let started = Instant::now();
    let mut catalogue =
        intake::read(list.as_bytes(), &Catalogue::default(), &limits).expect("a list").catalogue;
    let whole_ms = started.elapsed().as_secs_f64() * 1e3;
    let bytes = HELD.load(Ordering::Relaxed) - before;
    let peak = MOST.load(Ordering::Relaxed) - before;

    let changes: Vec<String> = (0..CHANGES).map(|n| change(2 + n, n * 7_919 % size)).collect();
    let reader = catalogue.clone();
    let started = Instant::now();
    for change in &changes {
        catalogue = intake::read(change.as_bytes(), &catalogue, &limits).expect("a change").catalogue;
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
    let sizes: Vec<u64> =
        std::env::args().skip(1).map(|size| size.parse().expect("a number of destinations")).collect();
    for size in if sizes.is_empty() { vec![30, 1_000, 10_000, 100_000, 350_000] } else { sizes } {
        measure(size.max(1));
    }
}
