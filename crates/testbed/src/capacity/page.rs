//! Fills the tables into the page.
use super::measured::MeasuredError;
use super::tables;
use std::path::Path;

/// Start and end of the line before a table, with the table's name in between.
const BEGIN: &str = "<!-- table ";
const BEGIN_END: &str = " -->";
/// The line after a table.
const END: &str = "<!-- end -->";

/// Why the tables cannot be filled in.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    #[error("line {line}: unknown table {name:?}")]
    Unknown { line: usize, name: String },
    #[error("line {line}: table {name:?} has no closing line {END}")]
    Unterminated { line: usize, name: String },
    #[error("table {name:?}: {error}")]
    Values { name: String, error: MeasuredError },
}

/// Returns the page's text with each table generated anew from the files of a folder.
pub fn fill(text: &str, folder: &Path) -> Result<String, PageError> {
    let mut filled = String::new();
    let mut lines = text.lines().enumerate();
    while let Some((number, line)) = lines.next() {
        filled.push_str(line);
        filled.push('\n');
        let Some(name) = line.strip_prefix(BEGIN).and_then(|rest| rest.strip_suffix(BEGIN_END)) else {
            continue;
        };
        filled.push_str(&table(name, number + 1, folder)?);
        if !lines.by_ref().any(|(_, line)| line == END) {
            return Err(PageError::Unterminated { line: number + 1, name: name.into() });
        }
        filled.push_str(END);
        filled.push('\n');
    }
    Ok(filled)
}

/// Returns a table with the blank lines around it.
fn table(name: &str, line: usize, folder: &Path) -> Result<String, PageError> {
    let table =
        tables::table(name, folder).map_err(|error| PageError::Values { name: name.into(), error })?;
    let table = table.ok_or_else(|| PageError::Unknown { line, name: name.into() })?;
    Ok(format!("\n{}\n", table.markdown()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn replaces_tables_and_keeps_other_text() {
        let text = "a\n<!-- table active -->\nold\n<!-- end -->\nb\n";
        let once = fill(text, Path::new("nowhere")).unwrap();
        assert!(once.starts_with("a\n<!-- table active -->\n\n| span |"), "{once}");
        assert!(once.ends_with("|\n\n<!-- end -->\nb\n") && !once.contains("old"), "{once}");
        assert_eq!(fill(&once, Path::new("nowhere")).unwrap(), once);
    }

    #[test]
    fn errors_name_the_place() {
        let error = |text| fill(text, Path::new("nowhere")).unwrap_err().to_string();
        assert_eq!(error("\n<!-- table other -->\n<!-- end -->\n"), "line 2: unknown table \"other\"");
        assert_eq!(
            error("<!-- table active -->\n"),
            "line 1: table \"active\" has no closing line <!-- end -->"
        );
        assert!(error("<!-- table fleet -->\n<!-- end -->\n").contains("nowhere/fleet.json"));
    }
}
