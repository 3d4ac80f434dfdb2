//! Runs that several rows read, each played once in a process.

use super::board::Manner;
use super::cluster::{Cluster, Shape};
use super::ease::Ease;
use super::lines::Program;
use super::loss::Loss;
use super::questions::Questions;
use super::{change, ease, loss, questions, Outcome};
use crate::plan::Size;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

/// What was measured at one number of members.
#[derive(Clone, Debug, Default)]
pub struct Site {
    pub members: usize,
    /// Members that held a promise, and how long it took until all did.
    pub joined: usize,
    pub joined_ms: Option<f64>,
    pub ease: Ease,
    /// One after the other, and all at once.
    pub single: change::Changes,
    pub burst: change::Changes,
    /// One after the other where the burst stands already.
    pub crowded: change::Changes,
    pub questions: Questions,
    pub loss: Loss,
}

/// With what put in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Family {
    Plain,
    /// Front ends whose reports change all the time.
    Flapping,
    /// The same, and they tell of many pools.
    Verbose,
    /// One member that never confirms.
    Silent,
    /// Two of three replicas are gone, not one.
    Gone,
    /// A lease of one second, as in the first slopes that were taken; at ease only.
    Short,
    /// Front ends that keep much more than they need.
    Hoarding,
}

static PROGRAM: OnceLock<PathBuf> = OnceLock::new();

/// Names the program whose parts are started; without it this process's own.
pub fn use_program(path: PathBuf) {
    let _ = PROGRAM.set(path);
}

fn program() -> Outcome<PathBuf> {
    match PROGRAM.get() {
        Some(path) => Ok(path.clone()),
        None => Ok(std::env::current_exe()?),
    }
}

type Sites = Arc<Vec<Site>>;

/// The sites of a run, played at the first call.
///
/// # Errors
/// A process can't be started, or ended.
pub fn sites(size: Size, family: Family) -> Outcome<Sites> {
    static PLAYED: Mutex<BTreeMap<(Size, Family), Sites>> = Mutex::new(BTreeMap::new());
    let mut played = PLAYED.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(sites) = played.get(&(size, family)) {
        return Ok(sites.clone());
    }
    let sizes: &[usize] = match (size, family) {
        (_, Family::Hoarding) => &[3, 4],
        (_, Family::Verbose) => &[20, 60, 180],
        (Size::Small, _) => &[10, 30],
        // The fault shows at any size, and costs the more the larger it is.
        (_, Family::Plain) => &[60, 180, 600, 1800],
        (_, Family::Short) => &[40, 120, 350, 1400],
        _ => &[30, 60, 120],
    };
    let path = program()?;
    let sites = sizes.iter().map(|n| site(&Program { path: &path }, *n, size, family));
    let sites = Arc::new(sites.collect::<Outcome<Vec<Site>>>()?);
    played.insert((size, family), sites.clone());
    Ok(sites)
}

/// How much of each is done.
struct Amounts {
    ease: Duration,
    single: usize,
    burst: usize,
    crowded: usize,
    questions: usize,
}

fn amounts(size: Size) -> Amounts {
    let (ease, single, burst, crowded, questions) = match size {
        Size::Small => (1000, 3, 20, 2, 1),
        Size::Quick => (3000, 10, 1000, 2, 2),
        Size::Full => (8000, 100, 1000, 10, 3),
    };
    Amounts { ease: Duration::from_millis(ease), single, burst, crowded, questions }
}

/// Plays one site.
///
/// # Errors
/// A process can't be started, or ended.
pub fn site(program: &Program<'_>, members: usize, size: Size, family: Family) -> Outcome<Site> {
    let mut shape = Shape::of(members);
    shape.silent = usize::from(family == Family::Silent);
    if family == Family::Short {
        shape.settings.lease = 1_000_000;
    }
    match family {
        Family::Flapping => shape.manner = Manner::Flapping,
        Family::Verbose => shape.manner = Manner::Verbose,
        Family::Hoarding => shape.manner = Manner::Hoarding,
        _ => {}
    }
    let amounts = amounts(size);
    // What holds at all holds in a fraction of it.
    let limit_ms = 30_000;
    let mut cluster = Cluster::start(program, &shape, limit_ms)?;
    let mut site = Site { members, joined: cluster.joined, joined_ms: cluster.joined_ms, ..Site::default() };
    site.ease = ease::measure(&mut cluster, amounts.ease)?;
    if matches!(family, Family::Flapping | Family::Verbose | Family::Short | Family::Hoarding) {
        tell(&site);
        return Ok(site);
    }
    if family == Family::Plain {
        site.questions = questions::measure(&mut cluster, &site.ease, amounts.questions, 5000)?;
    }
    if family != Family::Gone {
        let limit_ms = if family == Family::Silent { 6000 } else { limit_ms };
        let (single, burst) = (amounts.single, amounts.burst);
        let mut change = |standing, count, at_once| {
            change::measure(&mut cluster, &site.ease, standing, count, at_once, limit_ms)
        };
        site.single = change(0, single, false)?;
        site.burst = change(single, burst, true)?;
        site.crowded = change(single + burst, amounts.crowded, false)?;
    }
    if family != Family::Silent {
        let (more, limit_ms) = if family == Family::Gone { (1, 6000) } else { (0, limit_ms) };
        site.loss = loss::measure(&mut cluster, more, limit_ms)?;
    }
    tell(&site);
    Ok(site)
}

/// All of a site, for whoever writes its figures down.
fn tell(site: &Site) {
    let Site { members, joined, joined_ms, ease, single, burst, crowded, questions, loss } = site;
    eprintln!("site of {members}: {joined} joined within {joined_ms:.0?} ms\n  {ease:.4?}");
    for (what, c) in [("single", single), ("burst", burst), ("crowded", crowded)] {
        eprintln!(
            "  {what}: {} of {} at {} standing, p50 {:.0} p99 {:.0} ms, {:.0} B a session, leader {:.3} s of {:.3}, {:.0} B \
             written, {:.0} messages out, {} entries, {:.6} s a view, load {:.1}",
            c.reached, c.members, c.standing, c.quantile(0.5), c.quantile(0.99), c.session_bytes, c.leader_spent,
            c.leader_process, c.written, c.messages_out, c.entries, c.view_spent, c.load
        );
    }
    eprintln!("  {questions:.4?}\n  {loss:.3?}");
}

/// Changes one after the other where so many stand already.
///
/// # Errors
/// A process can't be started, or ended.
pub fn standing(size: Size) -> Outcome<Arc<Vec<change::Changes>>> {
    static PLAYED: Mutex<BTreeMap<Size, Arc<Vec<change::Changes>>>> = Mutex::new(BTreeMap::new());
    let mut played = PLAYED.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(changes) = played.get(&size) {
        return Ok(changes.clone());
    }
    let (members, steps, each): (usize, &[usize], usize) = match size {
        Size::Small => (10, &[5, 40], 3),
        Size::Quick => (60, &[30, 100, 300, 1000], 5),
        Size::Full => (60, &[30, 100, 300, 1000, 3000], 10),
    };
    let path = program()?;
    let mut cluster = Cluster::start(&Program { path: &path }, &Shape::of(members), 30_000)?;
    let ease = ease::measure(&mut cluster, amounts(size).ease)?;
    let (mut stand, mut all) = (0, Vec::new());
    for upto in steps {
        change::prepare(&mut cluster, &ease, stand, *upto)?;
        all.push(change::measure(&mut cluster, &ease, *upto, each, false, 30_000)?);
        stand = upto + each;
    }
    let all = Arc::new(all);
    played.insert(size, all.clone());
    Ok(all)
}
