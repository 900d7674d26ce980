//! Plays sessions: text files of commands with the output expected after each.
//!
//! A line that starts with `> ` is a command, the lines after it that start with `< ` are its
//! output, `#` starts a comment. A player holds the real decision cores and turns each command into
//! their inputs; time and failures are commands, so a session always plays alike.

pub mod config;
pub mod once;
pub mod switch;

/// Carries out the commands of one kind of session.
pub trait Player {
    /// The output of a command, one line each.
    ///
    /// # Errors
    /// A command that this kind of session does not have.
    fn play(&mut self, words: &[&str]) -> Result<Vec<String>, String>;
}

/// Plays the commands of `text` and returns the session with the output that they gave.
///
/// # Errors
/// The line of a command that cannot be played.
pub fn replay<P>(text: &str, player: &mut P) -> Result<String, String>
where
    P: Player,
{
    let mut played = String::new();
    for (number, line) in text.lines().enumerate() {
        if line.starts_with("< ") {
            continue;
        }
        played.push_str(line);
        played.push('\n');
        let Some(command) = line.strip_prefix("> ") else { continue };
        let words: Vec<&str> = command.split_whitespace().collect();
        let output =
            player.play(&words).map_err(|reason| format!("line {}: {reason}", number + 1))?;
        for line in output {
            played.push_str(&format!("< {line}\n"));
        }
    }
    Ok(played)
}
