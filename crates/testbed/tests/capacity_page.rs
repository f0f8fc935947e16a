//! `docs/CAPACITY.md` has the figures of the files that it names.
use std::path::Path;
use testbed::capacity::page;

#[test]
fn the_tables_of_the_page_are_those_of_the_measured_files() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let text = std::fs::read_to_string(docs.join("CAPACITY.md")).unwrap();
    let filled = page::filled(&text, &docs.join("capacity")).unwrap();
    assert!(text.contains("<!-- table "), "the page has tables");
    assert_eq!(text, filled, "cargo run -p testbed --example scale_tables -- page fills them in");
}
