//! Replays golden sessions: text files of commands, each followed by its expected output.
//!
//! A line that starts with `> ` is a command, the lines after it that start with `< ` are its
//! output, and `#` starts a comment. A player translates commands into inputs of the real decision
//! cores. Time and failures are commands too, so a replay is deterministic.

pub mod config;
pub mod once;
pub mod switch;

/// Interpreter for the commands of one kind of session.
pub trait Player {
    /// Carries out a command, given as its words, and returns the lines of its output.
    ///
    /// # Errors
    /// The command is unknown in this kind of session, or its arguments are invalid.
    fn play(&mut self, words: &[&str]) -> Result<Vec<String>, String>;
}

/// Carries out the commands of `text` and returns the session with their actual output.
///
/// # Errors
/// A command fails; the text gives its line number and the reason.
pub fn replay<P>(text: &str, player: &mut P) -> Result<String, String>
where
    P: Player,
{
    let mut replayed = String::new();
    for (number, line) in text.lines().enumerate() {
        if line.starts_with("< ") {
            continue;
        }
        replayed.push_str(line);
        replayed.push('\n');
        let Some(command) = line.strip_prefix("> ") else { continue };
        let words: Vec<&str> = command.split_whitespace().collect();
        let output =
            player.play(&words).map_err(|reason| format!("line {}: {reason}", number + 1))?;
        for line in output {
            replayed.push_str(&format!("< {line}\n"));
        }
    }
    Ok(replayed)
}
