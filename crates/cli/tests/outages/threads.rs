//! Runs plays on runtimes and threads of their own, as the host number of a rig belongs to its thread.

use std::future::Future;

/// Runs a play on this thread.
pub fn on_this_thread<Play: Future>(play: Play) -> Play::Output {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(play)
}

/// Runs the plays of all cases concurrently, each on its own thread. Returns their results in the order of the cases.
pub fn on_own_threads<Case, Play>(
    cases: impl IntoIterator<Item = Case>,
    play: fn(Case) -> Play,
) -> Vec<Play::Output>
where
    Case: Send + 'static,
    Play: Future + 'static,
    Play::Output: Send,
{
    let start = |case| std::thread::spawn(move || on_this_thread(play(case)));
    let threads: Vec<_> = cases.into_iter().map(start).collect();
    threads.into_iter().map(|thread| thread.join().unwrap()).collect()
}
