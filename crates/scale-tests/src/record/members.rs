//! A process with many real sessions behind which no calls are: each confirms at once what it is shown.

use super::board::{answer_questions, front_end, Board, Manner};
use super::fault::Outcome;
use super::lines::{serve, Answer, Ask};
use super::usage::Usage;
use super::{clock, Settings};
use serde::{Deserialize, Serialize};
use stagehoist_cluster_state::{InquiryMessage, MessageKey, Retirement, RetirementMode};
use stagehoist_consensus::{start, Session};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const LOOK: Duration = Duration::from_millis(1);

/// What it is given.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Told {
    pub replicas: BTreeMap<u64, String>,
    /// Number of its first member; so many more follow.
    pub first: usize,
    pub count: usize,
    pub manner: Manner,
    pub settings: Settings,
}

struct Work {
    sessions: Vec<Session>,
    board: Arc<Board>,
    now: stagehoist_consensus::Now,
    /// How long a promise is held, in microseconds.
    held: i64,
    told: std::sync::mpsc::Receiver<(u64, usize)>,
}

/// Runs it until its input ends.
///
/// # Errors
/// It can't be started, or the kernel's account can't be read.
pub fn run(told: Told) -> Outcome<()> {
    let names = (told.first..told.first + told.count).map(super::names::member_name).collect();
    let now = clock();
    let options = told.settings.options(told.replicas, names);
    let held = options.terms.holder_span();
    let mut running = start(options, now.clone())?;
    let mut sessions: Vec<Session> = std::mem::take(&mut running.sessions).into_values().collect();
    let board = Arc::new(Board::new(sessions.len()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut front_ends = tokio::task::JoinSet::new();
    let (tell, answered) = std::sync::mpsc::channel();
    for (at, session) in sessions.iter_mut().enumerate() {
        // Its end for questions goes to its front end; what is asked here goes by the other one.
        let heard = std::mem::replace(&mut session.inquiry_events, tokio::sync::mpsc::channel(1).1);
        front_ends
            .spawn_on(answer_questions(heard, session.inquiries.clone(), tell.clone()), runtime.handle());
        let (standing, told_in) = (session.status.clone(), session.report.clone());
        front_ends.spawn_on(front_end(at, standing, told_in, told.manner, board.clone()), runtime.handle());
    }
    std::thread::Builder::new()
        .name("front-ends".into())
        .spawn(move || runtime.block_on(async { while front_ends.join_next().await.is_some() {} }))?;
    let mut work = Work { sessions, board, now, held, told: answered };
    serve(|ask| work.answer(ask))?;
    // Its sessions are cut off rather than left in order: the whole measurement ends.
    std::process::exit(0)
}

impl Work {
    fn answer(&mut self, ask: Ask) -> Outcome<Answer> {
        let mut answer = Answer { usage: None, at: (self.now)(), holds: 0, views: self.board.views() };
        match ask {
            Ask::Clock => {}
            Ask::Usage => answer.usage = Some(Usage::now()?),
            Ask::Propose { first, count, strict } => {
                let mode = if strict { RetirementMode::Strict } else { RetirementMode::Available };
                (first..first + count).for_each(|n| self.propose(n, mode));
            }
            Ask::Renewed { since, share, limit_ms } => {
                let least = (self.sessions.len() as f64 * share).ceil() as usize;
                answer.holds = self.until(least, limit_ms, |w| w.board.fresh_until(since + w.held));
            }
            Ask::Forced { count, limit_ms } => {
                answer.holds = self.until(self.sessions.len(), limit_ms, |w| w.board.forced(count));
            }
            Ask::Question { number, limit_ms } => answer.holds = self.question(number, limit_ms),
        }
        answer.at = (self.now)();
        answer.views = self.board.views();
        Ok(answer)
    }

    /// Looks until so many hold, or the limit has passed; how many do.
    fn until(&self, least: usize, limit_ms: u64, holds: impl Fn(&Work) -> usize) -> usize {
        let end = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            let now = holds(self);
            if now >= least || Instant::now() >= end {
                return now;
            }
            std::thread::sleep(LOOK);
        }
    }

    fn propose(&mut self, n: usize, mode: RetirementMode) {
        let retirement = Retirement {
            function: super::names::function_name(n),
            generation: 1,
            successor: None,
            reason: "replaced by its next version".into(),
            mode,
            requested_ms: 0,
        };
        // All by one session: one process follows the operators' file. A line that is full is the session's.
        if let Some(session) = self.sessions.first() {
            let _ = session.retire.blocking_send(retirement);
        }
    }

    /// Whether all others answered.
    fn question(&mut self, number: u64, limit_ms: u64) -> usize {
        let Some(session) = self.sessions.first() else { return 0 };
        let text = |what: &str| format!("{what}-{number:08}");
        let key = MessageKey { reply_to: text("reply"), correlation: text("call"), message: text("message") };
        let _ = session.inquiries.blocking_send(InquiryMessage::Inquire { number, keys: vec![key] });
        let end = Instant::now() + Duration::from_millis(limit_ms);
        while let Ok((of, known)) = self.told.recv_timeout(end.saturating_duration_since(Instant::now())) {
            if of == number {
                return known;
            }
        }
        0
    }
}
