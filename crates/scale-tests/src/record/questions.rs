//! A question about a message that is delivered again: the leader passes it on to every other member.

use super::cluster::Cluster;
use super::ease::Ease;
use super::fault::{Fault, Outcome};
use super::lines::{Answer, Ask};
use super::usage::load;
use std::time::Instant;

#[derive(Clone, Copy, Debug, Default)]
pub struct Questions {
    pub members: usize,
    pub asked: usize,
    /// Questions that all others answered in time.
    pub answered: usize,
    /// Of one question: messages that the leader took and sent, processor time of its thread in seconds, bytes that the
    /// asker sent and was sent.
    pub leader_in: f64,
    pub leader_out: f64,
    pub leader_spent: f64,
    pub asker_out: f64,
    pub asker_in: f64,
    /// Mean time until all had answered, in milliseconds.
    pub ms: f64,
    pub load: f64,
}

/// Puts so many questions, one after the other, by the member whose bytes are counted.
///
/// # Errors
/// Nobody leads, or a process ended.
pub fn measure(cluster: &mut Cluster, ease: &Ease, count: usize, limit_ms: u64) -> Outcome<Questions> {
    let leader = cluster.leader()?.ok_or(Fault::Ended("a question for the leader"))?;
    let (was, was_session, began) = (cluster.settled()?, cluster.of_session(), Instant::now());
    let mut questions = Questions { members: cluster.joined, asked: count, ..Questions::default() };
    for number in 1..=count as u64 {
        let asker = cluster.members.first_mut().ok_or(Fault::Ended("a question"))?;
        asker.request(&Ask::Question { number, limit_ms })?;
        questions.answered += asker.answer::<Answer>()?.holds;
    }
    questions.ms = began.elapsed().as_secs_f64() * 1000.0 / count as f64;
    let (is, is_session) = (cluster.settled()?, cluster.of_session());
    let took = began.elapsed().as_secs_f64();
    let (led, leads) = (&was[&leader], &is[&leader]);
    let each = |is: u64, was: u64, ease: f64| (is.saturating_sub(was) as f64 - ease * took) / count as f64;
    questions.leader_in = each(leads.messages_in, led.messages_in, ease.leader_in);
    questions.leader_out = each(leads.messages_out, led.messages_out, ease.leader_out);
    questions.leader_spent =
        (leads.usage.thread - led.usage.thread - ease.leader_cores * took) / count as f64;
    questions.asker_out = each(is_session.0, was_session.0, ease.session_out);
    questions.asker_in = each(is_session.1, was_session.1, ease.session_in);
    questions.load = load()?;
    Ok(questions)
}
