//! `cairnpulley state`: what a sender's lasting folder holds, whether it is sound, and ways out of it.
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
    /// Shows whose folder it is, its form, and what is owed.
    Show {
        dir: PathBuf,
        /// Shows each message.
        #[arg(long)]
        messages: bool,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Checks every record. Exits with 0 if all is sound but for a tail that a crash has torn, with 1 if there is damage.
    Verify {
        dir: PathBuf,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Writes what is owed to a file. Refused while a sender owns the folder.
    Export {
        dir: PathBuf,
        /// A file that does not exist yet.
        #[arg(long, value_name = "FILE")]
        to: PathBuf,
        #[arg(long = "as", value_enum, default_value_t)]
        form: Export,
    },
    /// Writes all that can be read to a new folder; the damaged one stays as it is. Refused while a sender owns it.
    Repair {
        dir: PathBuf,
        /// A folder that is empty or does not exist yet.
        #[arg(long, value_name = "DIR")]
        to: PathBuf,
        /// The sender's name, where the folder does not say it.
        #[arg(long)]
        owner: Option<String>,
    },
}

#[derive(Clone, Copy, Debug, Default, ValueEnum)]
pub enum Export {
    /// One message a line, without its body.
    #[default]
    JsonLines,
    /// The single file of versions before the log: the way back to one of them, as `journal` in its folder.
    JournalFile,
}

#[derive(Debug, thiserror::Error)]
pub enum StateError {
    #[error(transparent)]
    Folder(#[from] FolderError),
    #[error("{path}: {error}", path = path.display())]
    Io { path: PathBuf, error: io::Error },
    #[error("{dir}: a sender owns it; end that first", dir = dir.display())]
    Owned { dir: PathBuf },
    #[error("{dir}: it does not say whose it is; name the sender with --owner", dir = dir.display())]
    NoOwner { dir: PathBuf },
}

pub fn run(command: &Command) -> Result<Exit, StateError> {
    match command {
        Command::Show { dir, messages, json } => show(dir, *messages, *json),
        Command::Verify { dir, json } => verify(dir, *json),
        Command::Export { dir, to, form } => export(dir, to, *form),
        Command::Repair { dir, to, owner } => repair(dir, to, owner.as_deref()),
    }
}

fn facts(state: &FolderState, owned: bool) -> serde_json::Value {
    json!({
        "schema": 1, "form": state.format, "owner": state.owner, "owned_now": owned, "segments": state.segments,
        "bytes": state.bytes, "records": state.records, "messages": state.pending.messages().len(),
        "faults": state.faults,
    })
}

fn print_head(dir: &Path, state: &FolderState, owned: bool) {
    let form = match state.format {
        JournalFormat::Empty => "empty",
        JournalFormat::JournalFile => {
            "journal file (the next start takes it over into a log, which is no way back)"
        }
        JournalFormat::Log => "log",
    };
    println!("{}: {form}", dir.display());
    println!("  sender    {}", state.owner.as_deref().unwrap_or("(not said)"));
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
        let mut facts = facts(&state, owned);
        if messages {
            facts["list"] = json!(shown);
        }
        println!("{facts:#}");
        return Ok(Exit::Kept);
    }
    print_head(dir, &state, owned);
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    if messages {
        table.set_header(["message", "class", "dest", "deadline (Unix ms)", "bytes", "attempts", "decided"]);
        for m in &shown {
            let ran = m.attempts.iter().filter(|a| a.may_have_run).count();
            let attempts = format!("{} ({ran} may have run)", m.attempts.len());
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
            let each = [1, usize::from(sent), usize::from(m.decided.is_some())];
            sum.iter_mut().zip(each).for_each(|(sum, one)| *sum += one);
        }
        for ((class, dest), [count, sent, decided]) in sums {
            let counts = [count, sent, decided].map(|n| n.to_string());
            table.add_row([[class.to_string(), dest.to_string()].as_slice(), counts.as_slice()].concat());
        }
    }
    if !shown.is_empty() {
        println!("{table}");
    }
    Ok(Exit::Kept)
}

fn verify(dir: &Path, json: bool) -> Result<Exit, StateError> {
    let (state, owned) = (folder::read(dir)?, folder::is_owned(dir)?);
    let sound = state.faults.iter().all(|f| f.expected);
    if json {
        let mut facts = facts(&state, owned);
        facts["sound"] = json!(sound);
        println!("{facts:#}");
    } else {
        print_head(dir, &state, owned);
        println!("{}", if sound { "sound" } else { "DAMAGED" });
    }
    Ok(if sound { Exit::Kept } else { Exit::Broken })
}

fn read_unowned(dir: &Path) -> Result<FolderState, StateError> {
    if folder::is_owned(dir)? {
        return Err(StateError::Owned { dir: dir.to_path_buf() });
    }
    Ok(folder::read(dir)?)
}

fn export(dir: &Path, to: &Path, form: Export) -> Result<Exit, StateError> {
    let state = read_unowned(dir)?;
    let bytes = match form {
        Export::JournalFile => journal_file::write(state.pending.messages().values()),
        Export::JsonLines => {
            let line = |o| format!("{}\n", json!(MessageView::from(o)));
            state.pending.messages().values().map(line).collect::<String>().into_bytes()
        }
    };
    let written = File::create_new(to).and_then(|mut file| {
        file.write_all(&bytes)?;
        file.sync_all()
    });
    written.map_err(|error| StateError::Io { path: to.to_path_buf(), error })?;
    println!("{}: {} messages", to.display(), state.pending.messages().len());
    Ok(told(&state))
}

fn repair(dir: &Path, to: &Path, owner: Option<&str>) -> Result<Exit, StateError> {
    let state = read_unowned(dir)?;
    let owner = owner.or(state.owner.as_deref()).ok_or(StateError::NoOwner { dir: dir.to_path_buf() })?;
    folder::write(dir, &state.pending, owner, to)?;
    println!("{}: {} messages of {owner}", to.display(), state.pending.messages().len());
    Ok(told(&state))
}

/// What could not be read is told wherever something was made of the rest.
fn told(state: &FolderState) -> Exit {
    let mut exit = Exit::Kept;
    for fault in state.faults.iter().filter(|f| !f.expected) {
        println!("left out: {}", fault.description);
        exit = Exit::Broken;
    }
    exit
}
