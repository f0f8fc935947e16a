//! Tables in Markdown, and numbers in them.

/// A table; all rows have as many cells as the head.
#[derive(Clone, Debug, Default)]
pub struct Table {
    head: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub fn new(head: &[&str]) -> Table {
        Table { head: head.iter().map(|h| h.to_string()).collect(), rows: Vec::new() }
    }

    pub fn row(&mut self, cells: Vec<String>) {
        debug_assert_eq!(cells.len(), self.head.len());
        self.rows.push(cells);
    }

    pub fn markdown(&self) -> String {
        let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
        let rule = format!("|{}\n", " --- |".repeat(self.head.len()));
        let rows: String = self.rows.iter().map(|row| line(row)).collect();
        line(&self.head) + &rule + &rows
    }
}

/// As few digits as say something.
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

fn thousands(number: i64) -> String {
    let digits = number.abs().to_string();
    let groups: Vec<&str> =
        digits.as_bytes().rchunks(3).rev().map(|g| std::str::from_utf8(g).unwrap_or("")).collect();
    format!("{}{}", if number < 0 { "-" } else { "" }, groups.join(","))
}

pub fn percent(part: f64, whole: f64) -> String {
    format!("{:.1}%", 100.0 * part / whole)
}

/// Bytes in 10^6.
pub fn megabytes(bytes: f64) -> String {
    short(bytes / 1e6)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_are_as_short_as_they_may_be() {
        let cases = [(0.0, "0"), (1_234_567.0, "1,234,567"), (-1_234.4, "-1,234"), (12.34, "12.3")];
        let small = [(0.1234, "0.12"), (0.0021, "0.0021"), (0.000_012, "1.20e-5"), (f64::NAN, "-")];
        for (number, text) in cases.into_iter().chain(small) {
            assert_eq!(short(number), text);
        }
    }

    #[test]
    fn a_table_is_written_in_markdown() {
        let mut table = Table::new(&["a", "b"]);
        table.row(vec!["1".into(), "2".into()]);
        assert_eq!(table.markdown(), "| a | b |\n| --- | --- |\n| 1 | 2 |\n");
    }
}
