//! Guards against tables of `docs/CAPACITY.md` that differ from the measured files, as after a new
//! measurement or an edit by hand.
use std::path::Path;
use testbed::capacity::page;

#[test]
fn page_tables_match_measured_files() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let text = std::fs::read_to_string(docs.join("CAPACITY.md")).unwrap();
    let filled = page::fill(&text, &docs.join("capacity")).unwrap();
    assert!(text.contains("<!-- table "), "the page must have tables");
    assert_eq!(text, filled, "to update the page: cargo run -p testbed --example scale_tables -- page");
}
