//! Tests one process of a fleet (its replica, its front ends' sessions and its retirements) from start to graceful shutdown.

use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

fn free_port() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

fn serve(folder: &Path) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stagehoist"));
    command.args(["--log", "info", "serve"]).arg(folder.join("fleet.conf")).current_dir(folder);
    command.stderr(Stdio::null()).spawn().unwrap()
}

/// Waits until the content of a file satisfies a predicate. The timeout is so long that only a fault exceeds it.
fn wait_for_content(path: &Path, process: &mut Child, is_expected: impl Fn(&str) -> bool) {
    for _ in 0..3000 {
        if std::fs::read_to_string(path).is_ok_and(|t| is_expected(&t)) {
            return;
        }
        assert!(process.try_wait().unwrap().is_none(), "the process exited early");
        std::thread::sleep(Duration::from_millis(10));
    }
    process.kill().unwrap();
    panic!("timed out; the file holds {:?}", std::fs::read_to_string(path));
}

fn terminate(mut process: Child) {
    let pid = rustix::process::Pid::from_child(&process);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
    assert!(process.wait().unwrap().success());
}

#[test]
fn a_retirement_comes_in_force_over_all_front_ends_and_outlasts_the_process() {
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name);
    let (keeper, broker) = (free_port(), free_port());
    let text = format!(
        "front-ends 2\nclass lookup aim 800ms give-up 2500ms\nfunction f class lookup memory 64MB retire strict\n\
         function g class lookup memory 64MB\nbroker amqp://guest:guest@{broker}/\nconsume calls\n\
         worker-list file workers.list\nmember a\nkeeper 1 {keeper}\nkeep 1 listen {keeper} store record\n\
         fleet-folder members\nretirements retired.list\ndrain-most 1s\n"
    );
    std::fs::write(path("fleet.conf"), text).unwrap();
    std::fs::write(path("workers.list"), "w1 127.0.0.1:9 capacity 4\n").unwrap();
    std::fs::write(path("retired.list"), "f 1 reason=replaced\ng 1").unwrap();
    let state = path("retired.list.state");
    let mut process = serve(folder.path());
    wait_for_content(&state, &mut process, |t| t.starts_with("f 1 in-force ") && !t.contains("but-for"));
    assert!(!std::fs::read_to_string(&state).unwrap().contains("\ng 1 "), "an unfinished line was read");
    terminate(process);
    // After a restart without the line of `f`, the cluster state still holds its retirement, and a new line is added to it.
    std::fs::write(path("retired.list"), "g 1\n").unwrap();
    std::fs::remove_file(&state).unwrap();
    let mut process = serve(folder.path());
    wait_for_content(&state, &mut process, |t| {
        t.starts_with("f 1 in-force ") && t.contains("\ng 1 in-force ")
    });
    terminate(process);
}
