//! From a proposal until it is in force at every member.

use super::cluster::{Cluster, LIMIT_MS};
use super::ease::Ease;
use super::fault::{Fault, Outcome};
use super::lines::{Answer, Ask};
use super::usage::load;
use std::time::Instant;

/// What changes cost, all of them together.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    pub members: usize,
    /// Retirements that stood before them.
    pub standing: usize,
    pub count: usize,
    /// One after the other: each one's time until it was in force at all, in milliseconds, sorted. At once: the time of
    /// the last.
    pub ms: Vec<f64>,
    /// Members at which all of them came in force, of all.
    pub reached: usize,
    /// Bytes that one session was sent for them, beyond what it is sent at ease.
    pub session_bytes: f64,
    /// Processor time of the leader's thread for them, beyond ease, in seconds; and of its whole process.
    pub leader_spent: f64,
    pub leader_process: f64,
    /// Processor time that one session's process spends on one view, in seconds: decoding, keeping and counting it.
    pub view_spent: f64,
    /// Bytes that the leader's process wrote to its disk.
    pub written: f64,
    /// Messages of the leader to sessions.
    pub messages_out: f64,
    pub entries: f64,
    pub load: f64,
}

impl Changes {
    pub fn quantile(&self, share: f64) -> f64 {
        let at = (self.ms.len() as f64 * share).ceil() as usize;
        self.ms.get(at.max(1) - 1).copied().unwrap_or(f64::NAN)
    }
}

/// Proposes so many, one after the other where `at_once` is not set, and waits for each.
///
/// # Errors
/// Nobody leads, or a process ended.
pub fn measure(
    cluster: &mut Cluster,
    ease: &Ease,
    standing: usize,
    count: usize,
    at_once: bool,
    limit_ms: u64,
) -> Outcome<Changes> {
    let leader = cluster.leader()?.ok_or(Fault::Ended("a question for the leader"))?;
    let (was, was_session, began) = (cluster.settled()?, cluster.of_session(), Instant::now());
    let before = cluster.all(&Ask::Usage)?;
    let mut changes = Changes { members: cluster.joined, standing, count, ..Changes::default() };
    let steps = if at_once { 1 } else { count };
    for step in 0..steps {
        let (first, some) = (standing + step * (count / steps), count / steps);
        let at = Instant::now();
        // Those of one that are at once come from one process, as a burst of an operator's file does.
        let who = cluster.members.len() - 1;
        cluster.members[who.min(1)].request(&Ask::Propose { first, count: some, strict: true })?;
        cluster.members[who.min(1)].answer::<Answer>()?;
        let forced = cluster.all(&Ask::Forced { count: first + some, limit_ms })?;
        changes.reached = forced.iter().map(|a| a.holds).sum();
        if changes.reached < changes.members {
            break;
        }
        changes.ms.push(at.elapsed().as_secs_f64() * 1000.0);
    }
    changes.ms.sort_by(f64::total_cmp);
    let (is, is_session) = (cluster.settled()?, cluster.of_session());
    let took = began.elapsed().as_secs_f64();
    let (Some(led), Some(leads)) = (was.get(&leader), is.get(&leader)) else {
        return Err(Fault::Ended("a question for the leader"));
    };
    let after = cluster.all(&Ask::Usage)?;
    let all = |answers: &[Answer]| -> (f64, u64) {
        let others = answers.iter().skip(1).filter_map(|a| a.usage.map(|u| (u.process, a.views)));
        others.fold((0.0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    };
    let ((spent_was, views_was), (spent_is, views_is)) = (all(&before), all(&after));
    let ease_spent = ease.session_cores * took * changes.members as f64;
    changes.view_spent =
        (spent_is - spent_was - ease_spent) / views_is.saturating_sub(views_was).max(1) as f64;
    let sent = is_session.1.saturating_sub(was_session.1) as f64;
    changes.session_bytes = sent - ease.session_in * took;
    changes.leader_spent = leads.usage.thread - led.usage.thread - ease.leader_cores * took;
    changes.leader_process = leads.usage.process - led.usage.process - ease.leader_process * took;
    changes.written = leads.usage.to_disk.saturating_sub(led.usage.to_disk) as f64;
    changes.messages_out =
        leads.messages_out.saturating_sub(led.messages_out) as f64 - ease.leader_out * took;
    changes.entries = leads.proposals.saturating_sub(led.proposals) as f64;
    changes.load = load()?;
    Ok(changes)
}

/// Brings so many into force to stand there before others are measured.
///
/// # Errors
/// They are not in force within the limit, or a process ended.
pub fn prepare(cluster: &mut Cluster, ease: &Ease, from: usize, upto: usize) -> Outcome<()> {
    let mut standing = from;
    while standing < upto {
        let some = (upto - standing).min(500);
        let changes = measure(cluster, ease, standing, some, true, LIMIT_MS)?;
        if changes.reached < changes.members {
            return Err(Fault::Late { what: "retirements that are to stand", ms: LIMIT_MS });
        }
        standing += some;
    }
    Ok(())
}
