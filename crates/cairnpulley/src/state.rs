//! `cairnpulley state`: shows, verifies, exports and repairs the state folder of a sender.
use crate::output::Exit;
use clap::{Subcommand, ValueEnum};
use comfy_table::{presets, Table};
use sender::records::folder::{self, FolderError, FolderState, JournalFormat, MessageView};
use sender::records::journal_file;
use serde_json::json;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum Command {
    /// Shows the sender, the format and the pending messages of a folder.
    Show {
        dir: PathBuf,
        /// Lists each message.
        #[arg(long)]
        messages: bool,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Checks every record. Exits with 0 if the folder is sound, which includes a tail torn by a crash, and
    /// with 1 if it is damaged.
    Verify {
        dir: PathBuf,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Writes the pending messages to a file. Refused while a sender owns the folder.
    Export {
        dir: PathBuf,
        /// File to write, which must not exist yet.
        #[arg(long, value_name = "FILE")]
        to: PathBuf,
        /// Format of the file.
        #[arg(long = "as", value_enum, default_value_t)]
        form: ExportFormat,
    },
    /// Writes everything that can be read to a new folder, without changing the damaged one. Refused while a
    /// sender owns the folder.
    Repair {
        dir: PathBuf,
        /// Folder to write, which must be empty or not exist yet.
        #[arg(long, value_name = "DIR")]
        to: PathBuf,
        /// Name of the sender, if the folder does not contain it.
        #[arg(long)]
        owner: Option<String>,
    },
}

/// Format of an export.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
pub enum ExportFormat {
    /// One JSON object per message and line, without the body.
    #[default]
    JsonLines,
    /// The single file of versions before the log. Such a version reads it as `journal` in its state folder.
    JournalFile,
}

/// Why a command on a state folder failed.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    #[error(transparent)]
    Folder(#[from] FolderError),
    #[error("{path}: {error}", path = path.display())]
    Io { path: PathBuf, error: io::Error },
    #[error("{dir}: a sender owns it; stop that sender first", dir = dir.display())]
    Owned { dir: PathBuf },
    #[error("{dir}: the folder does not name its sender; give the name with --owner", dir = dir.display())]
    UnknownOwner { dir: PathBuf },
}

/// Runs a command.
pub fn run(command: &Command) -> Result<Exit, StateError> {
    match command {
        Command::Show { dir, messages, json } => show(dir, *messages, *json),
        Command::Verify { dir, json } => verify(dir, *json),
        Command::Export { dir, to, form } => export(dir, to, *form),
        Command::Repair { dir, to, owner } => repair(dir, to, owner.as_deref()),
    }
}

/// What `show` and `verify` print as JSON.
fn summary_json(state: &FolderState, owned: bool) -> serde_json::Value {
    json!({
        "schema": 1, "form": state.format, "owner": state.owner, "owned_now": owned, "segments": state.segments,
        "bytes": state.bytes, "records": state.records, "messages": state.pending.messages().len(),
        "faults": state.faults,
    })
}

/// Prints what is known of the folder as a whole.
fn print_summary(dir: &Path, state: &FolderState, owned: bool) {
    let form = match state.format {
        JournalFormat::Empty => "empty",
        JournalFormat::JournalFile => {
            "journal file (the next start converts it to a log, which older versions can't read)"
        }
        JournalFormat::Log => "log",
    };
    println!("{}: {form}", dir.display());
    println!("  sender    {}", state.owner.as_deref().unwrap_or("(unknown)"));
    if owned {
        println!("  a sender owns it: what it writes at this moment may look torn");
    }
    println!("  records   {} in {} segments, {} bytes", state.records, state.segments, state.bytes);
    println!("  messages  {}", state.pending.messages().len());
    for fault in &state.faults {
        println!("  {} {}", if fault.expected { "torn tail:" } else { "DAMAGED:" }, fault.description);
    }
}

fn show(dir: &Path, messages: bool, json: bool) -> Result<Exit, StateError> {
    let (state, owned) = (folder::read(dir)?, folder::is_owned(dir)?);
    let shown: Vec<MessageView> = state.pending.messages().values().map(MessageView::from).collect();
    if json {
        let mut summary = summary_json(&state, owned);
        if messages {
            summary["list"] = json!(shown);
        }
        println!("{summary:#}");
        return Ok(Exit::Success);
    }
    print_summary(dir, &state, owned);
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    if messages {
        table.set_header(["message", "class", "dest", "deadline (Unix ms)", "bytes", "attempts", "decided"]);
        for m in &shown {
            let may_have_run = m.attempts.iter().filter(|a| a.may_have_run).count();
            let attempts = format!("{} ({may_have_run} may have run)", m.attempts.len());
            let decided = m.decided.unwrap_or("").to_string();
            let (dest, end, bytes) =
                (m.dest.to_string(), m.deadline_ms.to_string(), m.body_bytes.to_string());
            table.add_row([m.message.to_string(), m.class.to_string(), dest, end, bytes, attempts, decided]);
        }
    } else {
        table.set_header(["class", "dest", "messages", "sent on", "decided"]);
        let mut sums: BTreeMap<(&str, u64), [usize; 3]> = BTreeMap::new();
        for m in &shown {
            let sum = sums.entry((m.class, m.dest)).or_default();
            let sent = m.attempts.iter().any(|a| a.may_have_run);
            let counts = [1, usize::from(sent), usize::from(m.decided.is_some())];
            sum.iter_mut().zip(counts).for_each(|(sum, one)| *sum += one);
        }
        for ((class, dest), [count, sent, decided]) in sums {
            let counts = [count, sent, decided].map(|n| n.to_string());
            table.add_row([[class.to_string(), dest.to_string()].as_slice(), counts.as_slice()].concat());
        }
    }
    if !shown.is_empty() {
        println!("{table}");
    }
    Ok(Exit::Success)
}

fn verify(dir: &Path, json: bool) -> Result<Exit, StateError> {
    let (state, owned) = (folder::read(dir)?, folder::is_owned(dir)?);
    let sound = state.faults.iter().all(|f| f.expected);
    if json {
        let mut summary = summary_json(&state, owned);
        summary["sound"] = json!(sound);
        println!("{summary:#}");
    } else {
        print_summary(dir, &state, owned);
        println!("{}", if sound { "sound" } else { "DAMAGED" });
    }
    Ok(if sound { Exit::Success } else { Exit::Failure })
}

fn read_unowned(dir: &Path) -> Result<FolderState, StateError> {
    if folder::is_owned(dir)? {
        return Err(StateError::Owned { dir: dir.to_path_buf() });
    }
    Ok(folder::read(dir)?)
}

fn export(dir: &Path, to: &Path, form: ExportFormat) -> Result<Exit, StateError> {
    let state = read_unowned(dir)?;
    let bytes = match form {
        ExportFormat::JournalFile => journal_file::write(state.pending.messages().values()),
        ExportFormat::JsonLines => {
            let line = |o| format!("{}\n", json!(MessageView::from(o)));
            state.pending.messages().values().map(line).collect::<String>().into_bytes()
        }
    };
    let result = File::create_new(to).and_then(|mut file| {
        file.write_all(&bytes)?;
        file.sync_all()
    });
    result.map_err(|error| StateError::Io { path: to.to_path_buf(), error })?;
    println!("{}: {} messages", to.display(), state.pending.messages().len());
    Ok(report_left_out(&state))
}

fn repair(dir: &Path, to: &Path, owner: Option<&str>) -> Result<Exit, StateError> {
    let state = read_unowned(dir)?;
    let owner =
        owner.or(state.owner.as_deref()).ok_or(StateError::UnknownOwner { dir: dir.to_path_buf() })?;
    folder::write(dir, &state.pending, owner, to)?;
    println!("{}: {} messages of {owner}", to.display(), state.pending.messages().len());
    Ok(report_left_out(&state))
}

/// Prints which damaged parts an export or a repair left out, and returns the exit code.
fn report_left_out(state: &FolderState) -> Exit {
    let mut exit = Exit::Success;
    for fault in state.faults.iter().filter(|f| !f.expected) {
        println!("left out: {}", fault.description);
        exit = Exit::Failure;
    }
    exit
}
