use super::*;
use rustix::fs::{mknodat, FileType, Mode, CWD};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// Number of reads that must find the file, and number that must find the pipe.
const READS: usize = 300;
const TEXT: &str = include_str!("../../tests/config.json");

fn pause(outcome: ReloadOutcome) -> u64 {
    match outcome {
        ReloadOutcome::Retry(pause) => pause.as_millis() as u64,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_partial_or_missing_file_is_read_again_until_it_is_readable() {
    let mut reload = ReloadState::new(PlatformSettings::parse(TEXT).unwrap());
    let missing = || std::io::Error::from(std::io::ErrorKind::NotFound);
    let half = |n: usize| match n {
        0 => Err(ConfigError::Read { path: "c".into(), error: missing() }),
        n => PlatformSettings::parse(&TEXT[..TEXT.len() * n / 10]),
    };
    let pauses: Vec<_> = (0..10).map(|n| pause(reload.on_read(half(n)))).collect();
    assert_eq!(pauses, [50, 100, 200, 400, 800, 1000, 1000, 1000, 1000, 1000]);
    reload.signalled();
    assert_eq!(pause(reload.on_read(half(5))), 50);
    let whole = PlatformSettings::parse(&TEXT.replace("127.0.0.1:1\"", "127.0.0.1:2\""));
    let bus = "127.0.0.1:2".parse().unwrap();
    assert_eq!(reload.on_read(whole), ReloadOutcome::Read { bus, not_applied: Vec::new() });
}

/// A file that was cut at any position is rejected.
#[test]
fn a_truncated_file_is_never_accepted() {
    let end = TEXT.trim_end().len();
    assert!((0..end)
        .filter(|n| TEXT.is_char_boundary(*n))
        .all(|n| PlatformSettings::parse(&TEXT[..n]).is_err()));
}

#[test]
fn changes_other_than_the_bus_address_are_named_and_not_applied() {
    for (from, to, named) in [
        ("\"name\":\"look\"", "\"name\":\"watch\"", &["settings.classes.0.name"][..]),
        ("\"acme\"", "\"other\"", &["settings.parties.0.name"]),
        ("[\"west\",\"east\"]", "[\"east\",\"west\"]", &["settings.areas"]),
        ("\"sockets\":256", "\"sockets\":512", &["limits"]),
        ("\"cancel\":true,", "", &["settings.limits.cancel"]),
        ("\"name\":\"n0\"", "\"name\":\"n1\"", &["name"]),
        // The subscription delivers the events so far, and the seed is new each time.
        ("8c1f30d27a5be964", "8c1f30d27a5be965", &[]),
        ("\"health\":\"gone\"", "\"health\":\"gone\",\"share\":7", &[]),
    ] {
        assert!(TEXT.contains(from), "{from}");
        let mut reload = ReloadState::new(PlatformSettings::parse(TEXT).unwrap());
        let ReloadOutcome::Read { not_applied, .. } =
            reload.on_read(PlatformSettings::parse(&TEXT.replace(from, to)))
        else {
            panic!("{to} can't be read")
        };
        assert_eq!(not_applied, named, "{to}");
    }
}

/// Guards against reads that block: a regular file and a pipe without a writer are swapped under the path, so that
/// one may replace the other between any two system calls of a read. No read may wait for a writer.
#[test]
fn a_pipe_that_replaces_the_file_during_a_read_does_not_block_it() {
    let folder = std::env::temp_dir().join(format!("stagehoist-reload-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (path, regular, pipe) = (folder.join("c.json"), folder.join("plain"), folder.join("pipe"));
    std::fs::write(&regular, TEXT).unwrap();
    mknodat(CWD, &pipe, FileType::Fifo, Mode::from_raw_mode(0o600), 0).unwrap();
    std::fs::copy(&regular, &path).unwrap();
    let (is_done, reads) = (Arc::new(AtomicBool::new(false)), Arc::new([0, 0].map(AtomicUsize::new)));
    let swap = {
        let (is_done, path, next) = (is_done.clone(), path.clone(), folder.join("next"));
        move || {
            while !is_done.load(Ordering::Relaxed) {
                for from in [&pipe, &regular] {
                    std::fs::hard_link(from, &next).unwrap();
                    std::fs::rename(&next, &path).unwrap();
                }
            }
        }
    };
    let read = {
        let (reads, path) = (reads.clone(), path.to_string_lossy().into_owned());
        move || {
            while reads.iter().any(|n| n.load(Ordering::Relaxed) < READS) {
                let read = PlatformSettings::read_regular_file(&path);
                reads[usize::from(read.is_ok())].fetch_add(1, Ordering::Relaxed);
            }
        }
    };
    let (swapping, reading) = (std::thread::spawn(swap), std::thread::spawn(read));
    let deadline = Instant::now() + Duration::from_secs(20);
    while !reading.is_finished() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
    }
    is_done.store(true, Ordering::Relaxed);
    swapping.join().unwrap();
    let seen = reads.each_ref().map(|n| n.load(Ordering::Relaxed));
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(seen.iter().all(|n| *n >= READS), "a read waits for a writer, after {seen:?}");
}

#[test]
fn a_path_that_is_not_a_regular_file_is_rejected() {
    // A directory represents everything that is not a regular file: opening a pipe would block the loop until it has
    // a writer.
    let folder = std::env::temp_dir();
    assert!(matches!(
        PlatformSettings::read_regular_file(&folder.to_string_lossy()),
        Err(ConfigError::Read { .. })
    ));
}
