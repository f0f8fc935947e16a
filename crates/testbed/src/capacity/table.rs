//! Markdown tables and the format of numbers in them.

/// A table. Every row must have as many cells as the header.
#[derive(Clone, Debug, Default)]
pub struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(header: &[&str]) -> Table {
        Table { header: header.iter().map(|h| h.to_string()).collect(), rows: Vec::new() }
    }

    /// Appends a row.
    pub fn row(&mut self, cells: Vec<String>) {
        debug_assert_eq!(cells.len(), self.header.len());
        self.rows.push(cells);
    }

    /// Returns the table in Markdown.
    pub fn markdown(&self) -> String {
        let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
        let separator = format!("|{}\n", " --- |".repeat(self.header.len()));
        let rows: String = self.rows.iter().map(|row| line(row)).collect();
        line(&self.header) + &separator + &rows
    }
}

/// Formats a number with few significant digits and with separators of thousands; a dash stands for NaN.
pub fn short(number: f64) -> String {
    match number.abs() {
        _ if number.is_nan() => "-".into(),
        whole if whole == whole.trunc() && whole < 1e15 => thousands(number as i64),
        100.0..1e15 => thousands(number.round() as i64),
        10.0.. => format!("{number:.1}"),
        0.01.. => format!("{number:.2}"),
        0.0001.. => format!("{number:.4}"),
        _ => format!("{number:.2e}"),
    }
}

/// Formats an integer with separators of thousands.
fn thousands(number: i64) -> String {
    let digits = number.abs().to_string();
    let groups: Vec<&str> =
        digits.as_bytes().rchunks(3).rev().map(|g| std::str::from_utf8(g).unwrap_or("")).collect();
    format!("{}{}", if number < 0 { "-" } else { "" }, groups.join(","))
}

/// Formats a share as a percentage with one decimal.
pub fn percent(part: f64, whole: f64) -> String {
    format!("{:.1}%", 100.0 * part / whole)
}

/// Formats bytes in units of 10^6.
pub fn megabytes(bytes: f64) -> String {
    short(bytes / 1e6)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn formats_numbers_with_few_digits() {
        let cases = [(0.0, "0"), (1_234_567.0, "1,234,567"), (-1_234.4, "-1,234"), (12.34, "12.3")];
        let small = [(0.1234, "0.12"), (0.0021, "0.0021"), (0.000_012, "1.20e-5"), (f64::NAN, "-")];
        for (number, text) in cases.into_iter().chain(small) {
            assert_eq!(short(number), text);
        }
    }

    #[test]
    fn formats_table_in_markdown() {
        let mut table = Table::new(&["a", "b"]);
        table.row(vec!["1".into(), "2".into()]);
        assert_eq!(table.markdown(), "| a | b |\n| --- | --- |\n| 1 | 2 |\n");
    }
}
