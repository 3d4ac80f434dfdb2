//! Replacements for functions of the C library.

use crate::plan::{clock_offset, connections_break, file_fault, idle_factor, socket_fault};
use crate::real::Real;
use libc::{c_int, c_void, clockid_t, epoll_event, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::cell::Cell;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

const NANOS_PER_SECOND: i64 = 1_000_000_000;
/// Number of descriptors whose kind is tracked.
const MAX_DESCRIPTORS: usize = 1 << 16;
/// One in this many faulty calls on a connection breaks it; the others are interrupted or short.
const BREAKS_EVERY: u64 = 16;

/// Minimum length of a sleep, in nanoseconds; shorter ones accumulate until they reach it.
const MIN_SLEEP: i64 = 500_000;

/// Kind of a descriptor.
#[derive(Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum Kind {
    /// Not a network connection, for example a pipe between threads. Its reads and writes are always passed on.
    Other,
    /// A connection that this process opened.
    Connected,
    /// A connection that this process accepted.
    Accepted,
}

/// Kinds by descriptor.
static KINDS: [AtomicU8; MAX_DESCRIPTORS] = [const { AtomicU8::new(Kind::Other as u8) }; MAX_DESCRIPTORS];

fn set_kind(descriptor: c_int, kind: Kind) {
    if let Some(entry) = usize::try_from(descriptor).ok().and_then(|index| KINDS.get(index)) {
        entry.store(kind as u8, Ordering::Relaxed);
    }
}

fn is_kind(descriptor: c_int, kind: Kind) -> bool {
    let entry = usize::try_from(descriptor).ok().and_then(|index| KINDS.get(index));
    entry.is_some_and(|entry| entry.load(Ordering::Relaxed) == kind as u8)
}

/// Returns a random number if this read or write on a network connection is to fail.
fn connection_fault(descriptor: c_int) -> Option<u64> {
    if is_kind(descriptor, Kind::Other) {
        return None;
    }
    socket_fault()
}

thread_local! {
    /// This thread's processor time after its last sleep, in nanoseconds.
    static SLEPT_AT: Cell<i64> = const { Cell::new(0) };
}

/// Sleeps in proportion to the processor time used since the last sleep, so that this thread gets only its share of a core.
fn sleep_for_share() {
    let Some(idle_factor) = idle_factor() else { return };
    let used = processor_time();
    let sleep_time = ((used - SLEPT_AT.get()) as f64 * idle_factor) as i64;
    if sleep_time < MIN_SLEEP {
        return;
    }
    std::thread::sleep(Duration::from_nanos(sleep_time as u64));
    SLEPT_AT.set(processor_time());
}

/// Returns the processor time of this thread, in nanoseconds.
fn processor_time() -> i64 {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is valid, and the clock is the calling thread's own.
    unsafe { CLOCK_GETTIME.get()(libc::CLOCK_THREAD_CPUTIME_ID, &mut time) };
    time.tv_sec * NANOS_PER_SECOND + time.tv_nsec
}

fn set_errno(errno: c_int) {
    // SAFETY: the location of the calling thread's errno is valid for as long as the thread runs.
    unsafe { *libc::__errno_location() = errno };
}

/// Selects one of the error codes by a random number.
fn pick(number: u64, errnos: &[c_int]) -> c_int {
    errnos[(number % errnos.len() as u64) as usize]
}

fn fail(number: u64, errnos: &[c_int]) -> c_int {
    set_errno(pick(number, errnos));
    -1
}

/// Returns the maximum number of bytes of a read or write to pass on; None, with errno set, if the call fails.
fn transfer_limit(descriptor: c_int, length: size_t) -> Option<size_t> {
    sleep_for_share();
    let Some(number) = connection_fault(descriptor) else { return Some(length) };
    if connections_break() && number.is_multiple_of(BREAKS_EVERY) && is_kind(descriptor, Kind::Connected) {
        // SAFETY: `shutdown` may be called with any descriptor and returns an error for an unsuitable one.
        unsafe { libc::shutdown(descriptor, libc::SHUT_RDWR) };
        set_errno(pick(number / BREAKS_EVERY, &[libc::ETIMEDOUT, libc::EHOSTUNREACH]));
        return None;
    }
    if number.is_multiple_of(2) {
        set_errno(libc::EINTR);
        return None;
    }
    Some((1 + (number as size_t / 2) % length.max(1)).min(length))
}

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type EpollWait = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type Sync = unsafe extern "C" fn(c_int) -> c_int;
type Pwrite64 = unsafe extern "C" fn(c_int, *const c_void, size_t, libc::off64_t) -> ssize_t;

// SAFETY, for each of these: the nine types above are those of the C library's headers.
static CLOCK_GETTIME: Real<ClockGettime> = unsafe { Real::new(c"clock_gettime") };
static ACCEPT4: Real<Accept4> = unsafe { Real::new(c"accept4") };
static SOCKET: Real<Socket> = unsafe { Real::new(c"socket") };
static CONNECT: Real<Connect> = unsafe { Real::new(c"connect") };
static EPOLL_WAIT: Real<EpollWait> = unsafe { Real::new(c"epoll_wait") };
static RECV: Real<Recv> = unsafe { Real::new(c"recv") };
static SEND: Real<Send> = unsafe { Real::new(c"send") };
static FSYNC: Real<Sync> = unsafe { Real::new(c"fsync") };
static FDATASYNC: Real<Sync> = unsafe { Real::new(c"fdatasync") };
static PWRITE64: Real<Pwrite64> = unsafe { Real::new(c"pwrite64") };

/// # Safety
/// The caller must follow the requirements of `clock_gettime(2)`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the arguments are passed on unchanged.
    let result = unsafe { CLOCK_GETTIME.get()(clock, time) };
    let is_wall_clock = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    // The plan reads the monotonic clock, so that this does not recurse.
    let offset = if is_wall_clock && result == 0 { clock_offset() } else { 0 };
    if offset != 0 {
        // SAFETY: the call succeeded, so that `time` is valid.
        let time = unsafe { &mut *time };
        let nanos = time.tv_nsec + offset % NANOS_PER_SECOND;
        time.tv_sec += offset / NANOS_PER_SECOND + nanos.div_euclid(NANOS_PER_SECOND);
        time.tv_nsec = nanos.rem_euclid(NANOS_PER_SECOND);
    }
    result
}

/// # Safety
/// The caller must follow the requirements of `accept4(2)`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    descriptor: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    sleep_for_share();
    if let Some(number) = socket_fault() {
        return fail(number, &[libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EINTR]);
    }
    // SAFETY: the arguments are passed on unchanged.
    let accepted = unsafe { ACCEPT4.get()(descriptor, address, length, flags) };
    set_kind(accepted, Kind::Accepted);
    accepted
}

/// # Safety
/// The caller must follow the requirements of `socket(2)`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    sleep_for_share();
    if let Some(number) = socket_fault() {
        return fail(number, &[libc::ENFILE, libc::ENOBUFS]);
    }
    // SAFETY: the arguments are passed on unchanged.
    let opened = unsafe { SOCKET.get()(domain, kind, protocol) };
    set_kind(opened, Kind::Other);
    opened
}

/// # Safety
/// The caller must follow the requirements of `connect(2)`.
#[no_mangle]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    sleep_for_share();
    if let Some(number) = socket_fault() {
        return fail(number, &[libc::ENOBUFS, libc::EADDRNOTAVAIL, libc::ENETUNREACH]);
    }
    set_kind(descriptor, Kind::Connected);
    // SAFETY: the arguments are passed on unchanged.
    unsafe { CONNECT.get()(descriptor, address, length) }
}

/// # Safety
/// The caller must follow the requirements of `epoll_wait(2)`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    descriptor: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    sleep_for_share();
    if let Some(number) = socket_fault() {
        return fail(number, &[libc::EINTR]);
    }
    // SAFETY: the arguments are passed on unchanged.
    unsafe { EPOLL_WAIT.get()(descriptor, events, max_events, timeout) }
}

/// # Safety
/// The caller must follow the requirements of `recv(2)`.
#[no_mangle]
pub unsafe extern "C" fn recv(
    descriptor: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let Some(limit) = transfer_limit(descriptor, length) else { return -1 };
    // SAFETY: the arguments are passed on unchanged, except that the length may be shorter.
    unsafe { RECV.get()(descriptor, buffer, limit, flags) }
}

/// # Safety
/// The caller must follow the requirements of `send(2)`.
#[no_mangle]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let Some(limit) = transfer_limit(descriptor, length) else { return -1 };
    // SAFETY: the arguments are passed on unchanged, except that the length may be shorter.
    unsafe { SEND.get()(descriptor, buffer, limit, flags) }
}

/// # Safety
/// The caller must follow the requirements of `fsync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    if let Some(number) = file_fault() {
        return fail(number, &[libc::EIO, libc::ENOSPC]);
    }
    // SAFETY: the arguments are passed on unchanged.
    unsafe { FSYNC.get()(descriptor) }
}

/// # Safety
/// The caller must follow the requirements of `fdatasync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if let Some(number) = file_fault() {
        return fail(number, &[libc::EIO, libc::ENOSPC]);
    }
    // SAFETY: the arguments are passed on unchanged.
    unsafe { FDATASYNC.get()(descriptor) }
}

/// # Safety
/// The caller must follow the requirements of `pwrite(2)`.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    offset: libc::off64_t,
) -> ssize_t {
    if let Some(number) = file_fault() {
        set_errno(pick(number, &[libc::EIO, libc::ENOSPC]));
        return -1;
    }
    // SAFETY: the arguments are passed on unchanged.
    unsafe { PWRITE64.get()(descriptor, buffer, length, offset) }
}
