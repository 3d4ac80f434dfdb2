//! The leader is killed: how soon members hold promises again, and what it costs the next.

use super::cluster::Cluster;
use super::fault::{Fault, Outcome};
use super::lines::Ask;
use super::usage::load;
use std::time::Instant;

#[derive(Clone, Copy, Debug, Default)]
pub struct Loss {
    pub members: usize,
    /// Until 99 in 100 of each process's members hold a promise that was asked for after the kill, in milliseconds; None:
    /// they did not within the limit.
    pub renewed_ms: Option<f64>,
    pub renewed: usize,
    /// The most that the next leader's thread took in any window, in cores, and joins a second.
    pub peak_cores: f64,
    pub peak_joins: f64,
    /// Processor time that it took until then, in seconds.
    pub spent: f64,
    pub load: f64,
}

/// Kills the leader, and `more` of the others beside it.
///
/// # Errors
/// Nobody leads, or a process ended.
pub fn measure(cluster: &mut Cluster, more: usize, limit_ms: u64) -> Outcome<Loss> {
    let leader = cluster.leader()?.ok_or(Fault::Ended("a question for the leader"))?;
    let was = cluster.states()?;
    let mut gone = vec![leader];
    gone.extend(cluster.replicas.keys().filter(|n| **n != leader).take(more));
    for number in &gone {
        if let Some(mut replica) = cluster.replicas.remove(number) {
            replica.kill()?;
        }
    }
    let killed = Instant::now();
    for members in &mut cluster.members {
        members.request(&Ask::Clock)?;
    }
    let mut waits = Vec::new();
    for members in &mut cluster.members {
        let since = members.answer::<super::lines::Answer>()?.at;
        waits.push(Ask::Renewed { since, share: 0.99, limit_ms });
    }
    for (members, wait) in cluster.members.iter_mut().zip(&waits) {
        members.request(wait)?;
    }
    let mut loss = Loss { members: cluster.joined, ..Loss::default() };
    for members in &mut cluster.members {
        loss.renewed += members.answer::<super::lines::Answer>()?.holds;
    }
    let took = killed.elapsed().as_secs_f64() * 1000.0;
    loss.renewed_ms = (loss.renewed as f64 >= 0.99 * loss.members as f64).then_some(took);
    // A window more, so that the peak's is over.
    std::thread::sleep(std::time::Duration::from_millis(300));
    let is = cluster.states()?;
    for (number, state) in &is {
        let before = was.get(number).map_or(0.0, |s| s.usage.thread);
        if state.leads || loss.renewed_ms.is_none() {
            loss.peak_cores = loss.peak_cores.max(state.peak.cores);
            loss.peak_joins = loss.peak_joins.max(state.peak.joins);
            loss.spent = loss.spent.max(state.usage.thread - before);
        }
    }
    loss.load = load()?;
    Ok(loss)
}
