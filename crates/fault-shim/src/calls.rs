//! The functions that stand in for those of the C library.

use crate::plan::{clock_offset, connections_break, file_fault, idle_part, socket_fault};
use crate::real::Real;
use libc::{c_int, c_void, clockid_t, epoll_event, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::cell::Cell;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

const NANOS_PER_SECOND: i64 = 1_000_000_000;
/// Descriptors of which it is known who made the connection.
const MAX_DESCRIPTORS: usize = 1 << 16;
/// Of the calls on a connection that go wrong, every so many-th finds it broken; the others are interrupted or short.
const BREAKS_EVERY: u64 = 16;

/// A sleep shorter than this, in nanoseconds, is put together with the next.
const MIN_SLEEP: i64 = 500_000;

/// What a descriptor is known to be.
#[derive(Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum Kind {
    /// No network connection: a pipe between threads, for one. Its reads and writes always go through.
    Other,
    /// A connection that this process made.
    Connected,
    /// A connection that it accepted.
    Accepted,
}

/// Kinds by descriptor.
static KINDS: [AtomicU8; MAX_DESCRIPTORS] = [const { AtomicU8::new(Kind::Other as u8) }; MAX_DESCRIPTORS];

fn set_kind(descriptor: c_int, kind: Kind) {
    if let Some(known) = usize::try_from(descriptor).ok().and_then(|index| KINDS.get(index)) {
        known.store(kind as u8, Ordering::Relaxed);
    }
}

fn is_kind(descriptor: c_int, kind: Kind) -> bool {
    let known = usize::try_from(descriptor).ok().and_then(|index| KINDS.get(index));
    known.is_some_and(|known| known.load(Ordering::Relaxed) == kind as u8)
}

/// A number for a read or write on a network connection that is to go wrong.
fn connection_fault(descriptor: c_int) -> Option<u64> {
    if is_kind(descriptor, Kind::Other) {
        return None;
    }
    socket_fault()
}

thread_local! {
    /// Processor time of this thread up to which it has slept for what it used, in nanoseconds.
    static PACED: Cell<i64> = const { Cell::new(0) };
}

/// Sleeps for the processor time that this thread used since it last did, so that it gets a share of a core alone.
fn pace() {
    let Some(idle_part) = idle_part() else { return };
    let used = processor_time();
    let debt = ((used - PACED.get()) as f64 * idle_part) as i64;
    if debt < MIN_SLEEP {
        return;
    }
    std::thread::sleep(Duration::from_nanos(debt as u64));
    PACED.set(processor_time());
}

/// Processor time of this thread, in nanoseconds.
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

/// One of these, by the number drawn.
fn pick(number: u64, errnos: &[c_int]) -> c_int {
    errnos[(number % errnos.len() as u64) as usize]
}

fn fail(number: u64, errnos: &[c_int]) -> c_int {
    set_errno(pick(number, errnos));
    -1
}

/// How many bytes of a read or a write are passed on at most; None where it fails, with errno set.
fn transfer_limit(descriptor: c_int, length: size_t) -> Option<size_t> {
    pace();
    let Some(number) = connection_fault(descriptor) else { return Some(length) };
    if connections_break() && number.is_multiple_of(BREAKS_EVERY) && is_kind(descriptor, Kind::Connected) {
        // SAFETY: shutting down takes any descriptor; what it can't shut down it refuses.
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

// SAFETY, of all nine: the types above are those of the C library's headers.
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
/// As `clock_gettime(2)`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: passed on as given.
    let result = unsafe { CLOCK_GETTIME.get()(clock, time) };
    let is_wall = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    // The plan reads the monotonic clock, which never comes here again.
    let offset = if is_wall && result == 0 { clock_offset() } else { 0 };
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
/// As `accept4(2)`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    descriptor: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    pace();
    if let Some(number) = socket_fault() {
        return fail(number, &[libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EINTR]);
    }
    // SAFETY: passed on as given.
    let accepted = unsafe { ACCEPT4.get()(descriptor, address, length, flags) };
    set_kind(accepted, Kind::Accepted);
    accepted
}

/// # Safety
/// As `socket(2)`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    pace();
    if let Some(number) = socket_fault() {
        return fail(number, &[libc::ENFILE, libc::ENOBUFS]);
    }
    // SAFETY: passed on as given.
    let opened = unsafe { SOCKET.get()(domain, kind, protocol) };
    set_kind(opened, Kind::Other);
    opened
}

/// # Safety
/// As `connect(2)`.
#[no_mangle]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    pace();
    if let Some(number) = socket_fault() {
        return fail(number, &[libc::ENOBUFS, libc::EADDRNOTAVAIL, libc::ENETUNREACH]);
    }
    set_kind(descriptor, Kind::Connected);
    // SAFETY: passed on as given.
    unsafe { CONNECT.get()(descriptor, address, length) }
}

/// # Safety
/// As `epoll_wait(2)`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    descriptor: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    pace();
    if let Some(number) = socket_fault() {
        return fail(number, &[libc::EINTR]);
    }
    // SAFETY: passed on as given.
    unsafe { EPOLL_WAIT.get()(descriptor, events, max_events, timeout) }
}

/// # Safety
/// As `recv(2)`.
#[no_mangle]
pub unsafe extern "C" fn recv(
    descriptor: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let Some(limit) = transfer_limit(descriptor, length) else { return -1 };
    // SAFETY: passed on as given, with a part of the buffer at most.
    unsafe { RECV.get()(descriptor, buffer, limit, flags) }
}

/// # Safety
/// As `send(2)`.
#[no_mangle]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let Some(limit) = transfer_limit(descriptor, length) else { return -1 };
    // SAFETY: passed on as given, with a part of the buffer at most.
    unsafe { SEND.get()(descriptor, buffer, limit, flags) }
}

/// # Safety
/// As `fsync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    if let Some(number) = file_fault() {
        return fail(number, &[libc::EIO, libc::ENOSPC]);
    }
    // SAFETY: passed on as given.
    unsafe { FSYNC.get()(descriptor) }
}

/// # Safety
/// As `fdatasync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    if let Some(number) = file_fault() {
        return fail(number, &[libc::EIO, libc::ENOSPC]);
    }
    // SAFETY: passed on as given.
    unsafe { FDATASYNC.get()(descriptor) }
}

/// # Safety
/// As `pwrite(2)`.
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
    // SAFETY: passed on as given.
    unsafe { PWRITE64.get()(descriptor, buffer, length, offset) }
}
