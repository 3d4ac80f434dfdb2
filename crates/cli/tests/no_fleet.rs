//! A process without a fleet in its configuration has no thread, socket or file for a fleet; with a fleet it has them.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Resources of a process, as shown in /proc.
#[derive(Debug, PartialEq)]
struct Resources {
    threads: Vec<String>,
    /// Number of listening sockets.
    listens: usize,
    /// Open files.
    files: Vec<PathBuf>,
    /// Names of the files in its working folder.
    folder: BTreeSet<String>,
}

fn names(folder: &Path) -> impl Iterator<Item = PathBuf> {
    std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path())
}

fn read_resources(process: &Child, folder: &Path) -> Resources {
    let proc = PathBuf::from(format!("/proc/{}", process.id()));
    let comm = |task: PathBuf| std::fs::read_to_string(task.join("comm")).unwrap().trim().to_string();
    let mut threads: Vec<String> = names(&proc.join("task")).map(comm).collect();
    threads.sort();
    let open: Vec<PathBuf> = names(&proc.join("fd")).filter_map(|fd| std::fs::read_link(fd).ok()).collect();
    let is_open = |inode: &str| open.contains(&PathBuf::from(format!("socket:[{inode}]")));
    let table = std::fs::read_to_string(proc.join("net/tcp")).unwrap();
    // In the kernel's table the fourth field is the state (0A: listening) and the tenth is the inode.
    let listens = table.lines().skip(1).filter(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields[3] == "0A" && is_open(fields[9])
    });
    let (listens, null) = (listens.count(), PathBuf::from("/dev/null"));
    let files = open.into_iter().filter(|p| p.is_absolute() && *p != null).collect();
    let name = |path: PathBuf| path.file_name().unwrap().to_string_lossy().into_owned();
    Resources { threads, listens, files, folder: names(folder).map(name).collect() }
}

/// Starts a process with these additional configuration lines and returns its resources once its front ends run. All other
/// threads start before the front ends, except the metrics thread.
fn resources_with(lines: &str) -> Resources {
    let folder = tempfile::tempdir().unwrap();
    let local = || TcpListener::bind("127.0.0.1:0").unwrap();
    let (broker, list) = (local(), local());
    let text = format!(
        "class lookup aim 800ms give-up 2500ms\nfunction f class lookup memory 64MB\nconsume calls\n\
         broker amqp://guest:guest@{}/\nworker-list consul http://{} service workers wait 10s\n\
         listen metrics 127.0.0.1:0\ndrain-most 1s\n{lines}",
        broker.local_addr().unwrap(),
        list.local_addr().unwrap()
    );
    std::fs::write(folder.path().join("a.conf"), text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_stagehoist"));
    command.args(["serve", "a.conf"]).current_dir(folder.path()).stdin(Stdio::null());
    let mut process = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
    // Neither connection gets an answer, so the front end keeps waiting.
    let (_list, _broker) = (list.accept().unwrap(), broker.accept().unwrap());
    let mut resources = read_resources(&process, folder.path());
    // The metrics thread starts last, and a new thread gets its name shortly after it starts.
    for _ in 0..2000 {
        if resources.threads.iter().any(|name| name == "metrics") {
            break;
        }
        std::thread::sleep(std::time::Duration::from_millis(10));
        resources = read_resources(&process, folder.path());
    }
    process.kill().unwrap();
    process.wait().unwrap();
    resources
}

#[test]
fn without_a_fleet_there_is_no_thread_socket_or_file_for_one() {
    let without_fleet = resources_with("");
    assert_eq!(without_fleet.threads, ["front-end-0", "metrics", "stagehoist"]);
    assert_eq!((without_fleet.listens, &without_fleet.files[..]), (1, &[][..]));
    assert_eq!(without_fleet.folder, BTreeSet::from(["a.conf".to_string()]));
    let keeper = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let fleet = resources_with(&format!(
        "member a\nkeeper 1 {keeper}\nkeep 1 listen {keeper} store record\nfleet-folder members\nasking-most 0ms\n"
    ));
    assert!(fleet.threads.len() > without_fleet.threads.len(), "{fleet:?}");
    assert_eq!(fleet.listens, 2, "{fleet:?}");
    assert!(!fleet.files.is_empty() && fleet.folder.contains("record"), "{fleet:?}");
}
