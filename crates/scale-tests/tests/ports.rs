//! A look at a port leaves it free, also while processes are started beside it.

use stagehoist_scale_tests::record::cluster::is_free;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

/// Each started process has a copy of every socket that is open at that instant, until its program begins.
#[test]
fn a_port_that_was_looked_at_can_be_listened_on_while_processes_start() {
    let stop = AtomicBool::new(false);
    let (looked, taken) = std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let (mut looked, mut taken) = (0, 0);
        for n in 0..20_000u16 {
            // Below those that connections going out take, and those of the measurements.
            let port = 12_000 + n % 4_000;
            if is_free(port) {
                looked += 1;
                taken += u32::from(TcpListener::bind(("127.0.0.1", port)).is_err());
            }
        }
        stop.store(true, Ordering::Relaxed);
        (looked, taken)
    });
    assert!(looked > 10_000, "{looked}");
    assert_eq!(taken, 0, "of {looked}");
}

#[test]
fn a_port_that_somebody_listens_on_is_not_free() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    assert!(!is_free(listener.local_addr().unwrap().port()));
}
