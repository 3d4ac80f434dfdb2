//! Processes of a measurement: one line asks, one line answers.

use super::fault::{Fault, Outcome};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// What a process of members is asked.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum Ask {
    Usage,
    /// Hands retirements of `f{first}` and so many more to its sessions, one after the other of them.
    Propose {
        first: usize,
        count: usize,
        strict: bool,
    },
    /// Waits until this share of its sessions holds a promise asked for after `since`, by its clock.
    Renewed {
        since: i64,
        share: f64,
        limit_ms: u64,
    },
    /// Waits until so many retirements are in force at each of its sessions.
    Forced {
        count: usize,
        limit_ms: u64,
    },
    /// Puts a question about one message to all other members, and waits for what they say.
    Question {
        number: u64,
        limit_ms: u64,
    },
    /// Its clock, in microseconds.
    Clock,
}

/// Answers of members.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Answer {
    pub usage: Option<super::usage::Usage>,
    /// Its clock, in microseconds.
    pub at: i64,
    /// Sessions of which what was asked holds.
    pub holds: usize,
    /// Views shown so far, over all of its sessions.
    pub views: u64,
}

/// How a process of ours is started.
#[derive(Clone, Debug)]
pub struct Program<'a> {
    /// The program of this package.
    pub path: &'a Path,
}

/// A child process that answers lines; it ends with this.
pub struct Peer {
    child: Child,
    asks: Option<ChildStdin>,
    answers: BufReader<ChildStdout>,
}

impl Peer {
    /// Starts it with its part and what it is given.
    ///
    /// # Errors
    /// It can't be started.
    pub fn start<T: Serialize>(program: &Program<'_>, part: &str, told: &T) -> Outcome<Peer> {
        let mut command = Command::new(program.path);
        command.args(["record", part]).arg(serde_json::to_string(told)?);
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let asks = child.stdin.take();
        let answers = child.stdout.take().ok_or(Fault::Ended("its start"))?;
        Ok(Peer { child, asks, answers: BufReader::new(answers) })
    }

    /// Asks without waiting for the answer.
    ///
    /// # Errors
    /// It is gone.
    pub fn request<T: Serialize>(&mut self, ask: &T) -> Outcome<()> {
        let asks = self.asks.as_mut().ok_or(Fault::Ended("a question"))?;
        let mut line = serde_json::to_string(ask)?;
        line.push('\n');
        Ok(asks.write_all(line.as_bytes())?)
    }

    /// The next answer.
    ///
    /// # Errors
    /// It is gone, or says something else.
    pub fn answer<T: DeserializeOwned>(&mut self) -> Outcome<T> {
        let mut line = String::new();
        if self.answers.read_line(&mut line)? == 0 {
            return Err(Fault::Ended("a question"));
        }
        Ok(serde_json::from_str(&line)?)
    }

    /// Kills it and waits for its end.
    ///
    /// # Errors
    /// It can't be waited for.
    pub fn kill(&mut self) -> Outcome<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        // Without its line in it ends by itself; the kill is for one that hangs.
        self.asks = None;
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Serves the other side: answers each line until there are no more.
///
/// # Errors
/// What the answer gave, or a line that can't be read.
pub fn serve<A: DeserializeOwned, B: Serialize>(mut answer: impl FnMut(A) -> Outcome<B>) -> Outcome<()> {
    let mut out = std::io::stdout();
    for line in std::io::stdin().lock().lines() {
        let said = answer(serde_json::from_str(&line?)?)?;
        writeln!(out, "{}", serde_json::to_string(&said)?)?;
        out.flush()?;
    }
    Ok(())
}
