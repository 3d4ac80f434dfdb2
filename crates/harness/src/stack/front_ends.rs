//! The front ends' processes.

use super::{HarnessError, Stack};
use crate::day::Day;
use crate::division::{Addresses, Division};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The list of front ends in the stack's folder.
const LIST: &str = "front-ends.list";

/// What the configuration tells of the list of front ends, where owners follow one.
pub(super) fn owners_line(day: &Day, folder: &Path) -> String {
    match day.owners_listed {
        true => format!("shard-front-ends-list file {} poll 100ms\n", folder.join(LIST).display()),
        false => String::new(),
    }
}

impl Stack {
    pub(super) fn spawn(&self, config: &Path) -> Result<Child, HarnessError> {
        let log = config.with_extension("log");
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(log).map_err(HarnessError::Config)?;
        Command::new(&self.binary)
            .args(["--log", &self.layout.log, "--log-format", "json", "serve"])
            .arg(config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|source| HarnessError::Process { binary: self.binary.clone(), source })
    }

    /// What a front end's process wrote last.
    pub fn log(&self, front_end: u32) -> String {
        let text = self.whole_log(front_end);
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(20)..].join("\n")
    }

    /// All that a front end's processes wrote.
    pub(super) fn whole_log(&self, front_end: u32) -> String {
        let path = self.folder.path().join(format!("front-end-{front_end}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Where a front end's metrics stand, as its log tells.
    pub fn metrics_address(&self, front_end: u32) -> Option<String> {
        let path = self.folder.path().join(format!("front-end-{front_end}.log"));
        crate::process::metrics_told(&std::fs::read_to_string(path).ok()?)
    }

    /// Waits until every front end consumes.
    pub fn wait_ready(&mut self, most: Duration) -> Result<(), HarnessError> {
        use std::sync::atomic::Ordering;
        let by = Instant::now() + most;
        while Instant::now() < by {
            for number in 0..self.front_ends.len() {
                let ended = self.front_ends[number].process.try_wait();
                if let Ok(Some(status)) = ended {
                    let log = self.log(number as u32);
                    return Err(HarnessError::Ended(number as u32, format!("{status}\n{log}")));
                }
            }
            if self.counts.consumers.load(Ordering::Relaxed) >= u64::from(self.day.front_ends) {
                // Each has its list by then, or gets it within a query's time on loopback.
                std::thread::sleep(Duration::from_millis(200));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(HarnessError::NotReady(most))
    }

    /// Sends a signal to a front end's process.
    pub fn signal(&self, front_end: u32, signal: rustix::process::Signal) {
        let Some(f) = self.front_ends.get(front_end as usize) else { return };
        if let Some(pid) = rustix::process::Pid::from_raw(f.process.id() as i32) {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// How often a front end's processes came to consume all their queues.
    pub fn times_consuming(&self, front_end: u32) -> usize {
        self.whole_log(front_end).matches("\"consuming from all queues\"").count()
    }

    /// Tells the front ends of a division: it comes in force for each as it starts anew.
    pub fn divide(&mut self, division: Division) -> Result<(), HarnessError> {
        self.day.division = Some(division);
        for (number, front_end) in self.front_ends.iter().enumerate() {
            let text = std::fs::read_to_string(&front_end.config).map_err(HarnessError::Config)?;
            let rest: Vec<&str> = text.lines().filter(|l| !l.starts_with("shards ")).collect();
            let line = division.line(&self.day, number as u32);
            std::fs::write(&front_end.config, rest.join("\n") + "\n" + &line)
                .map_err(HarnessError::Config)?;
        }
        Ok(())
    }

    /// Tells the front ends of the list of those that live.
    pub fn list_front_ends(&self, listed: &[u32]) -> Result<(), HarnessError> {
        let generation = self.day.division.map_or(1, |d| d.generation);
        let line =
            |f: &u32| format!("front-end-{f} generations {generation} zone {}\n", self.layout.hall(*f));
        let text: String = listed.iter().map(line).collect();
        let (path, whole) = (self.folder.path().join(LIST), self.folder.path().join("front-ends.next"));
        std::fs::write(&whole, text)
            .and_then(|()| std::fs::rename(&whole, &path))
            .map_err(HarnessError::Config)
    }

    /// How often a front end's own shards changed by that list, the first time counted.
    pub fn times_owning(&self, front_end: u32) -> usize {
        self.whole_log(front_end).matches("owned shards changed").count()
    }

    /// Tells the callers where to send by the division that front ends are notified of.
    pub fn address(&mut self) -> Result<(), HarnessError> {
        self.addresses.send_replace(Addresses::of(&self.day).map_err(HarnessError::Division)?);
        Ok(())
    }

    /// Starts a front end's process anew after the old one ended.
    pub fn restart_front_end(&mut self, front_end: u32) -> Result<(), HarnessError> {
        let config = self.front_ends[front_end as usize].config.clone();
        let process = self.spawn(&config)?;
        self.front_ends[front_end as usize].process = process;
        Ok(())
    }

    /// Waits for a front end's process to end; its exit code, or None where it was ended by a signal or is still there.
    pub fn wait_end(&mut self, front_end: u32, most: Duration) -> Option<i32> {
        let by = Instant::now() + most;
        while Instant::now() < by {
            if let Ok(Some(status)) = self.front_ends[front_end as usize].process.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Tells every front end to end in order, and sees that each does so with exit code 0.
    pub fn end(&mut self, most: Duration) -> Result<(), HarnessError> {
        for front_end in 0..self.front_ends.len() as u32 {
            self.signal(front_end, rustix::process::Signal::TERM);
        }
        for front_end in 0..self.front_ends.len() as u32 {
            let code = self.wait_end(front_end, most);
            if code != Some(0) {
                let log = self.log(front_end);
                return Err(HarnessError::NoOrderlyEnd(
                    front_end,
                    most,
                    format!("exit code {code:?}\n{log}"),
                ));
            }
        }
        Ok(())
    }
}
