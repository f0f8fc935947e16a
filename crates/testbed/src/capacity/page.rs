//! The page with its tables filled in.
use super::measured::MeasuredError;
use super::tables;
use std::path::Path;

const BEGIN: &str = "<!-- table ";
const BEGIN_END: &str = " -->";
const END: &str = "<!-- end -->";

/// Why the tables can't be filled in.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    #[error("line {line}: there is no table {name:?}")]
    Unknown { line: usize, name: String },
    #[error("line {line}: the table {name:?} has no {END}")]
    Open { line: usize, name: String },
    #[error("table {name:?}: {error}")]
    Figures { name: String, error: MeasuredError },
}

/// The page's text with each table made anew from the files of a folder.
pub fn filled(text: &str, folder: &Path) -> Result<String, PageError> {
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
            return Err(PageError::Open { line: number + 1, name: name.into() });
        }
        filled.push_str(END);
        filled.push('\n');
    }
    Ok(filled)
}

fn table(name: &str, line: usize, folder: &Path) -> Result<String, PageError> {
    let table =
        tables::table(name, folder).map_err(|error| PageError::Figures { name: name.into(), error })?;
    let table = table.ok_or_else(|| PageError::Unknown { line, name: name.into() })?;
    Ok(format!("\n{}\n", table.markdown()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_table_is_made_anew_and_the_rest_stays() {
        let text = "a\n<!-- table active -->\nold\n<!-- end -->\nb\n";
        let once = filled(text, Path::new("nowhere")).unwrap();
        assert!(once.starts_with("a\n<!-- table active -->\n\n| span |"), "{once}");
        assert!(once.ends_with("|\n\n<!-- end -->\nb\n") && !once.contains("old"), "{once}");
        assert_eq!(filled(&once, Path::new("nowhere")).unwrap(), once);
    }

    #[test]
    fn what_is_wrong_is_told_with_its_place() {
        let told = |text| filled(text, Path::new("nowhere")).unwrap_err().to_string();
        assert_eq!(told("\n<!-- table other -->\n<!-- end -->\n"), "line 2: there is no table \"other\"");
        assert_eq!(told("<!-- table active -->\n"), "line 1: the table \"active\" has no <!-- end -->");
        assert!(told("<!-- table fleet -->\n<!-- end -->\n").contains("nowhere/fleet.json"));
    }
}
