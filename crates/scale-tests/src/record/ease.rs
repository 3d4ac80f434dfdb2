//! What sessions cost while nothing changes.

use super::cluster::Cluster;
use super::fault::{Fault, Outcome};
use super::lines::Ask;
use super::usage::load;
use std::time::{Duration, Instant};

/// Rates are a second; cores are shares of one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ease {
    pub members: usize,
    pub leader_cores: f64,
    /// The whole process of the leader, its threads for the disk too.
    pub leader_process: f64,
    pub leader_in: f64,
    pub leader_out: f64,
    pub leader_memory: f64,
    pub leader_descriptors: f64,
    pub promises: f64,
    pub follower_cores: f64,
    /// Bytes that the leader says to one follower, and that it answers.
    pub follower_in: f64,
    pub follower_out: f64,
    /// Bytes of one session, sent and received.
    pub session_out: f64,
    pub session_in: f64,
    /// Processor time and memory of a process of members, for each of its sessions.
    pub session_cores: f64,
    pub session_memory: f64,
    pub load: f64,
}

/// Looks twice, with this time between.
///
/// # Errors
/// Nobody leads, or a process ended.
pub fn measure(cluster: &mut Cluster, span: Duration) -> Outcome<Ease> {
    let leader = cluster.leader()?.ok_or(Fault::Ended("a question for the leader"))?;
    let follower = *cluster.replicas.keys().find(|n| **n != leader).ok_or(Fault::Ended("a follower"))?;
    let (was, was_members) = (cluster.states()?, cluster.all(&Ask::Usage)?);
    let (was_between, was_session) = (cluster.between(leader, follower), cluster.of_session());
    let at = Instant::now();
    std::thread::sleep(span);
    let (is, is_members) = (cluster.states()?, cluster.all(&Ask::Usage)?);
    let (is_between, is_session) = (cluster.between(leader, follower), cluster.of_session());
    let took = at.elapsed().as_secs_f64();
    let rate = |is: u64, was: u64| is.saturating_sub(was) as f64 / took;
    let (led, leads) = (&was[&leader], &is[&leader]);
    let (followed, follows) = (&was[&follower], &is[&follower]);
    // The first process holds the one session that is counted; the others tell what one more costs.
    let spent = |answers: &[super::lines::Answer]| -> (f64, f64) {
        let usages = answers.iter().skip(1).filter_map(|a| a.usage);
        usages.fold((0.0, 0.0), |all, u| (all.0 + u.thread, all.1 + u.memory as f64))
    };
    let alone = is_members.first().and_then(|a| a.usage).map_or(0.0, |u| u.memory as f64);
    let ((spent_was, _), (spent_is, memory)) = (spent(&was_members), spent(&is_members));
    let processes = is_members.len().saturating_sub(1) as f64;
    let many = cluster.joined.saturating_sub(1).max(1) as f64;
    Ok(Ease {
        members: cluster.joined,
        leader_cores: (leads.usage.thread - led.usage.thread) / took,
        leader_process: (leads.usage.process - led.usage.process) / took,
        leader_in: rate(leads.messages_in, led.messages_in),
        leader_out: rate(leads.messages_out, led.messages_out),
        leader_memory: leads.usage.memory as f64,
        leader_descriptors: leads.usage.descriptors as f64,
        promises: rate(leads.promised, led.promised),
        follower_cores: (follows.usage.thread - followed.usage.thread) / took,
        follower_in: rate(is_between.0, was_between.0),
        follower_out: rate(is_between.1, was_between.1),
        session_out: rate(is_session.0, was_session.0),
        session_in: rate(is_session.1, was_session.1),
        session_cores: (spent_is - spent_was) / took / many,
        session_memory: (memory - processes * alone).max(0.0) / many,
        load: load()?,
    })
}
