//! Without a fleet in its configuration a process has no thread, socket or file for one; the same configuration with one has.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// What a process has, by /proc.
#[derive(Debug, PartialEq)]
struct Has {
    threads: Vec<String>,
    /// Sockets that listen.
    listens: usize,
    /// Files that are open.
    files: Vec<PathBuf>,
    /// What its folder holds.
    folder: BTreeSet<String>,
}

fn names(folder: &Path) -> impl Iterator<Item = PathBuf> {
    std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path())
}

fn look(process: &Child, folder: &Path) -> Has {
    let proc = PathBuf::from(format!("/proc/{}", process.id()));
    let comm = |task: PathBuf| std::fs::read_to_string(task.join("comm")).unwrap().trim().to_string();
    let mut threads: Vec<String> = names(&proc.join("task")).map(comm).collect();
    threads.sort();
    let open: Vec<PathBuf> = names(&proc.join("fd")).filter_map(|fd| std::fs::read_link(fd).ok()).collect();
    let is_open = |inode: &str| open.contains(&PathBuf::from(format!("socket:[{inode}]")));
    let table = std::fs::read_to_string(proc.join("net/tcp")).unwrap();
    // Fields of the kernel's table: the fourth is the state, 0A while it listens, the tenth the inode.
    let listens = table.lines().skip(1).filter(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields[3] == "0A" && is_open(fields[9])
    });
    let (listens, null) = (listens.count(), PathBuf::from("/dev/null"));
    let files = open.into_iter().filter(|p| p.is_absolute() && *p != null).collect();
    let name = |path: PathBuf| path.file_name().unwrap().to_string_lossy().into_owned();
    Has { threads, listens, files, folder: names(folder).map(name).collect() }
}

/// A process with these lines beside the others, looked at once its front ends run: what else there is started before.
fn started_with(lines: &str) -> Has {
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
    // Both stay unanswered; the front end waits for them.
    let (_list, _broker) = (list.accept().unwrap(), broker.accept().unwrap());
    let mut has = look(&process, folder.path());
    // The thread of the metrics comes last, and a new thread has its name a moment after it is there.
    for _ in 0..2000 {
        if has.threads.iter().any(|name| name == "metrics") {
            break;
        }
        std::thread::sleep(std::time::Duration::from_millis(10));
        has = look(&process, folder.path());
    }
    process.kill().unwrap();
    process.wait().unwrap();
    has
}

#[test]
fn without_a_fleet_there_is_no_thread_socket_or_file_for_one() {
    let alone = started_with("");
    assert_eq!(alone.threads, ["front-end-0", "metrics", "stagehoist"]);
    assert_eq!((alone.listens, &alone.files[..]), (1, &[][..]));
    assert_eq!(alone.folder, BTreeSet::from(["a.conf".to_string()]));
    let keeper = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let fleet = started_with(&format!(
        "member a\nkeeper 1 {keeper}\nkeep 1 listen {keeper} store record\nfleet-folder members\nasking-most 0ms\n"
    ));
    assert!(fleet.threads.len() > alone.threads.len(), "{fleet:?}");
    assert_eq!(fleet.listens, 2, "{fleet:?}");
    assert!(!fleet.files.is_empty() && fleet.folder.contains("record"), "{fleet:?}");
}
