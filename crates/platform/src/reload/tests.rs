use super::*;
use rustix::fs::{mknodat, FileType, Mode, CWD};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// Readings that met the file, and that met the pipe, while they change places.
const READS: usize = 300;
const TEXT: &str = include_str!("../../tests/config.json");

fn pause(look: ReloadOutcome) -> u64 {
    match look {
        ReloadOutcome::Again(pause) => pause.as_millis() as u64,
        other => panic!("{other:?}"),
    }
}

#[test]
fn half_a_file_or_none_is_looked_at_again_soon_until_it_can_be_read() {
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
    assert_eq!(reload.on_read(whole), ReloadOutcome::Read { bus, not_taken: Vec::new() });
}

/// No part of a file reads as a whole one, wherever it was cut.
#[test]
fn a_file_cut_anywhere_is_never_taken_for_a_whole_one() {
    let end = TEXT.trim_end().len();
    assert!((0..end)
        .filter(|n| TEXT.is_char_boundary(*n))
        .all(|n| PlatformSettings::parse(&TEXT[..n]).is_err()));
}

#[test]
fn what_changed_beyond_the_address_of_the_bus_is_named_and_not_taken_over() {
    for (from, to, named) in [
        ("\"name\":\"look\"", "\"name\":\"watch\"", &["settings.classes.0.name"][..]),
        ("\"acme\"", "\"other\"", &["settings.parties.0.name"]),
        ("[\"west\",\"east\"]", "[\"east\",\"west\"]", &["settings.areas"]),
        ("\"sockets\":256", "\"sockets\":512", &["limits"]),
        ("\"cancel\":true,", "", &["settings.limits.cancel"]),
        ("\"name\":\"n0\"", "\"name\":\"n1\"", &["name"]),
        // Of the events so far the event subscription tells, and a seed is new each time.
        ("8c1f30d27a5be964", "8c1f30d27a5be965", &[]),
        ("\"health\":\"gone\"", "\"health\":\"gone\",\"share\":7", &[]),
    ] {
        assert!(TEXT.contains(from), "{from}");
        let mut reload = ReloadState::new(PlatformSettings::parse(TEXT).unwrap());
        let ReloadOutcome::Read { not_taken, .. } =
            reload.on_read(PlatformSettings::parse(&TEXT.replace(from, to)))
        else {
            panic!("{to} can't be read")
        };
        assert_eq!(not_taken, named, "{to}");
    }
}

/// A plain file and a pipe that no one writes to stand under the path by turns, so that one takes the other's place between
/// any two looks at it: no reading waits.
#[test]
fn a_pipe_that_takes_the_files_place_while_it_is_read_is_not_waited_for() {
    let folder = std::env::temp_dir().join(format!("stagehoist-reload-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (path, plain, pipe) = (folder.join("c.json"), folder.join("plain"), folder.join("pipe"));
    std::fs::write(&plain, TEXT).unwrap();
    mknodat(CWD, &pipe, FileType::Fifo, Mode::from_raw_mode(0o600), 0).unwrap();
    std::fs::copy(&plain, &path).unwrap();
    let (over, reads) = (Arc::new(AtomicBool::new(false)), Arc::new([0, 0].map(AtomicUsize::new)));
    let swap = {
        let (over, path, next) = (over.clone(), path.clone(), folder.join("next"));
        move || {
            while !over.load(Ordering::Relaxed) {
                for from in [&pipe, &plain] {
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
                let read = PlatformSettings::read_plain(&path);
                reads[usize::from(read.is_ok())].fetch_add(1, Ordering::Relaxed);
            }
        }
    };
    let (swapping, reading) = (std::thread::spawn(swap), std::thread::spawn(read));
    let by = Instant::now() + Duration::from_secs(20);
    while !reading.is_finished() && Instant::now() < by {
        std::thread::sleep(Duration::from_millis(5));
    }
    over.store(true, Ordering::Relaxed);
    swapping.join().unwrap();
    let seen = reads.each_ref().map(|n| n.load(Ordering::Relaxed));
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(seen.iter().all(|n| *n >= READS), "a reading waits for a writer, after {seen:?}");
}

#[test]
fn what_is_no_file_is_not_waited_for() {
    // A folder stands for all that is no plain file: opening a pipe would hold up the loop until someone writes.
    let folder = std::env::temp_dir();
    assert!(matches!(PlatformSettings::read_plain(&folder.to_string_lossy()), Err(ConfigError::Read { .. })));
}
