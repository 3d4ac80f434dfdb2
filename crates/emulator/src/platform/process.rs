//! A front end as a process of its own, started as the platform does.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

/// Lines of a process's log, as they come.
pub type Log = Arc<Mutex<Vec<String>>>;

/// A process that serves.
pub struct StartedFrontEnd {
    pub child: Child,
    pub listen: SocketAddr,
    /// Lines since it started.
    pub log: Log,
}

/// Starts `program platform` with the configuration in a file, and waits until its log says where it listens.
pub fn start_front_end(
    program: &Path,
    config: &Path,
    environment: &[(String, String)],
) -> io::Result<StartedFrontEnd> {
    let mut child = Command::new(program)
        .args(["--log", "info", "platform"])
        .env("GW_CONFIG", config)
        .env_remove("GW_LISTEN")
        .envs(environment.iter().map(|(name, value)| (name, value)))
        .stderr(Stdio::piped())
        .spawn()?;
    let Some(stderr) = child.stderr.take() else { return Err(io::Error::other("no standard error")) };
    let mut lines = BufReader::new(stderr);
    let mut said = Vec::new();
    let listen = loop {
        let mut line = String::new();
        if lines.read_line(&mut line)? == 0 {
            let _ = child.wait();
            return Err(io::Error::other(format!("ended before it started: {said:?}")));
        }
        if let Some(listen) = listen_address(&line) {
            break listen;
        }
        said.push(line);
    };
    let log = Log::default();
    let writer = log.clone();
    std::thread::spawn(move || {
        let lines = lines.lines().map_while(Result::ok);
        lines.for_each(|line| writer.lock().unwrap().push(line));
    });
    Ok(StartedFrontEnd { child, listen, log })
}

fn listen_address(line: &str) -> Option<SocketAddr> {
    line.split_once("listen=")?.1.split(' ').next()?.parse().ok()
}
