//! The codec of the simulator's wire: frames of fixed-size big-endian records with a tail, the settings text,
//! and the lists of workers. It translates and checks; it decides nothing.

use crate::interface::*;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

/// What is wrong with a frame or the settings, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError(pub String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

fn bad<T>(text: String) -> Result<T, WireError> {
    Err(WireError(text))
}

pub const BATCH_HEADER: usize = 16;
pub const EVENT_SIZE: usize = 56;
const ACTION_SIZE: usize = 24;
const ROW_SIZE: usize = 22;
/// No frame of the wire comes near this size; a length above it is taken for a malformed header.
pub const MAX_FRAME: usize = 1 << 30;

/// Lists of workers by number, as the process holds them.
#[derive(Default)]
pub struct Lists(HashMap<u8, Rc<[RosterRow]>>);

/// One record of a batch, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    Start { instance: u16, seed: u64, settings: Box<Settings> },
    Stop { instance: u16 },
    Event { instance: u16, event: Event },
}

fn be<const N: usize>(b: &[u8], at: usize) -> [u8; N] {
    b[at..at + N].try_into().expect("a record has its full size")
}
fn u16_at(b: &[u8], at: usize) -> u16 {
    u16::from_be_bytes(be(b, at))
}
fn u32_at(b: &[u8], at: usize) -> u32 {
    u32::from_be_bytes(be(b, at))
}
fn u64_at(b: &[u8], at: usize) -> u64 {
    u64::from_be_bytes(be(b, at))
}
fn f32_at(b: &[u8], at: usize) -> f64 {
    let v = f32::from_be_bytes(be(b, at));
    if v.is_finite() {
        v as f64
    } else {
        0.0
    }
}
fn ms_at(b: &[u8], at: usize) -> Micros {
    micros(f64::from_be_bytes(be(b, at)))
}
/// Milliseconds to microseconds; what is not a number is nought, what is absurd is cut.
fn micros(ms: f64) -> Micros {
    if ms.is_nan() {
        0
    } else {
        (ms.clamp(-1e12, 1e12) * 1000.0).round() as Micros
    }
}

fn outcome(code: u16) -> Option<Outcome> {
    use Outcome::*;
    [Ok, Error, Full, Timeout, ConnectFailed, Reset, Cancelled, Moot, Miss].get(code as usize).copied()
}

fn report(b: &[u8], at: usize) -> Report {
    let n = b[at].min(4) as usize;
    if n == 0 {
        return None;
    }
    let mut values = [0f32; 4];
    for (i, v) in values.iter_mut().enumerate().take(n) {
        *v = f32_at(b, at + 1 + 4 * i) as f32;
    }
    Some(values)
}

/// Length of a whole frame and number of records from its header, checked.
pub fn batch_header(header: &[u8; BATCH_HEADER]) -> Result<(Micros, usize, usize), WireError> {
    let (length, count) = (u32_at(header, 8) as usize, u32_at(header, 12) as usize);
    if !(BATCH_HEADER..=MAX_FRAME).contains(&length) {
        return bad(format!("batch header: length {length} at byte 8 is out of range"));
    }
    if count > (length - BATCH_HEADER) / EVENT_SIZE {
        return bad(format!("batch header: {count} records at byte 12 do not fit in {length} bytes"));
    }
    Ok((ms_at(header, 0), length, count))
}

/// Decodes the records of a frame (`body` is all behind the header).
pub fn decode(body: &[u8], count: usize, lists: &mut Lists) -> Result<Vec<Input>, WireError> {
    if body.len() / EVENT_SIZE < count {
        return bad(format!("frame cut off: {count} records announced, {} bytes here", body.len()));
    }
    let tail = &body[count * EVENT_SIZE..];
    let mut inputs = Vec::with_capacity(count);
    for n in 0..count {
        let offset = BATCH_HEADER + n * EVENT_SIZE;
        let b = &body[n * EVENT_SIZE..(n + 1) * EVENT_SIZE];
        let code = b[0];
        let slice = |at: usize, unit: usize| -> Result<&[u8], WireError> {
            let (from, len) = (u32_at(b, at) as usize, u32_at(b, at + 4) as usize);
            let end = len.checked_mul(unit).and_then(|l| l.checked_add(from));
            match end.and_then(|end| tail.get(from..end)) {
                Some(s) => Ok(s),
                None => {
                    let (at, have) = (offset + at, tail.len());
                    bad(format!("event code {code} at byte {at}: tail offset {from}+{len} past {have} bytes"))
                }
            }
        };
        let result = |at: usize| match outcome(u16_at(b, at)) {
            Some(o) => Ok(o),
            None => bad(format!("event code {code} at byte {}: unknown outcome", offset + at)),
        };
        if code == 120 {
            lists.0.insert(b[1], rows(slice(2, ROW_SIZE)?, offset)?);
            continue;
        }
        let instance = u16_at(b, 1);
        let event = match code {
            10 => {
                let text = std::str::from_utf8(slice(11, 1)?).map_err(|_| {
                    WireError(format!("event code 10 at byte {offset}: settings are no text"))
                })?;
                let settings = Box::new(parse_settings(text)?);
                inputs.push(Input::Start { instance, seed: u64_at(b, 3), settings });
                continue;
            }
            100 => {
                inputs.push(Input::Stop { instance });
                continue;
            }
            20 => {
                let form = match b[8] {
                    0 => RosterForm::Full,
                    1 => RosterForm::Delta,
                    2 => RosterForm::Cached,
                    3 => RosterForm::Failed,
                    k => return bad(format!("event code 20 at byte {}: unknown kind {k}", offset + 8)),
                };
                let rows = match (form, lists.0.get(&b[3])) {
                    (RosterForm::Failed, _) => Rc::from(Vec::new()),
                    (_, Some(rows)) => rows.clone(),
                    _ => return bad(format!("event code 20 at byte {}: list {} unknown", offset + 3, b[3])),
                };
                Event::Roster { form, rows }
            }
            30 => Event::Request(Request {
                id: u32_at(b, 3),
                class: u16_at(b, 7),
                tenant: u32_at(b, 9),
                function: u64_at(b, 13),
                budget: ms_at(b, 21),
                work: (b[49] & 1 != 0).then(|| ms_at(b, 29)),
                memory_mb: f32_at(b, 37),
                lanes: f32_at(b, 41),
                load: micros(f32_at(b, 45)),
                repeat: b[49] & 2 != 0,
                came: 0,
                known: true,
            }),
            40 => Event::Began { request: u32_at(b, 3), attempt: u16_at(b, 7) },
            50 => {
                let remark = u32_at(b, 12);
                Event::Ended(Ended {
                    request: u32_at(b, 3),
                    worker: u32_at(b, 7),
                    concluded: b[11] != 0,
                    note: Note { copy: (remark & 7) as u8, crowd: remark >> 3 },
                    attempt: u16_at(b, 16),
                    took: ms_at(b, 18),
                    outcome: result(26)?,
                    report: report(b, 28),
                })
            }
            60 => Event::Gone { request: u32_at(b, 3) },
            70 => Event::Timer { token: u32_at(b, 3) },
            80 => Event::Probed {
                outcome: result(3)?,
                worker: u32_at(b, 5),
                took: ms_at(b, 9),
                report: report(b, 17),
            },
            90 => Event::Peer { from: u32_at(b, 3), bytes: slice(7, 1)?.to_vec() },
            110 => Event::Loaded {
                worker: u32_at(b, 3),
                function: u64_at(b, 7),
                outcome: result(15)?,
                took: ms_at(b, 17),
                copies: b[25],
            },
            _ => return bad(format!("unknown event code {code} at byte {offset}")),
        };
        inputs.push(Input::Event { instance, event });
    }
    Ok(inputs)
}

fn rows(bytes: &[u8], offset: usize) -> Result<Rc<[RosterRow]>, WireError> {
    let row = |b: &[u8]| {
        let lifecycle = match b[6] {
            0 => Lifecycle::Gone,
            1 => Lifecycle::Ready,
            2 => Lifecycle::Draining,
            k => return bad(format!("event code 120 at byte {offset}: unknown state {k} in an entry")),
        };
        Ok(RosterRow {
            kind: u16_at(b, 0),
            worker: u32_at(b, 2),
            lifecycle,
            zone: b[7],
            started: ms_at(b, 8),
            cell: u16_at(b, 16),
            capacity: f32_at(b, 18),
        })
    };
    bytes.chunks_exact(ROW_SIZE).map(row).collect()
}

/// Encodes one reply frame from the actions of several instances, in order.
pub fn encode(actions: &[(u16, Action)], faults: &[(u16, String)]) -> Vec<u8> {
    let count = actions.len() + faults.len();
    let mut frame = vec![0u8; 8];
    let mut tail: Vec<u8> = Vec::new();
    for (instance, action) in actions {
        let mut record = Record::new(*instance);
        let r = &mut record;
        match action {
            Action::Send { request, worker, timeout } => {
                r.code(10).put(3, &request.to_be_bytes()).ms(7, *timeout).put(15, &worker.to_be_bytes())
            }
            Action::Refuse { request, retry_after } => {
                r.code(20).put(3, &request.to_be_bytes()).ms(7, *retry_after)
            }
            Action::Fail { request } => r.code(30).put(3, &request.to_be_bytes()),
            Action::Cancel { request, attempt } => {
                r.code(40).put(3, &request.to_be_bytes()).put(7, &attempt.to_be_bytes())
            }
            Action::Timer { after, token } => r.code(50).ms(3, *after).put(11, &token.to_be_bytes()),
            Action::Probe { worker } => r.code(60).put(3, &worker.to_be_bytes()),
            Action::CloseIdle { worker } => r.code(70).put(3, &worker.to_be_bytes()),
            Action::Tell { peer, bytes } => {
                let to = peer.unwrap_or(u16::MAX);
                r.code(80).put(3, &to.to_be_bytes()).tail(5, bytes, &mut tail)
            }
            Action::Log { text } => r.code(90).tail(3, text.as_bytes(), &mut tail),
            Action::Watch { on } => r.code(110).put(3, &[*on as u8]),
            Action::Fetch => r.code(120),
            Action::Load { worker, function, copies } => {
                r.code(130).put(3, &worker.to_be_bytes()).put(7, &function.to_be_bytes()).put(15, &[*copies])
            }
            Action::Drop { worker, function } => {
                r.code(140).put(3, &worker.to_be_bytes()).put(7, &function.to_be_bytes())
            }
        };
        frame.extend_from_slice(&record.0);
    }
    for (instance, text) in faults {
        let mut record = Record::new(*instance);
        record.code(100).tail(3, text.as_bytes(), &mut tail);
        frame.extend_from_slice(&record.0);
    }
    frame.extend_from_slice(&tail);
    let length = frame.len() as u32;
    frame[0..4].copy_from_slice(&length.to_be_bytes());
    frame[4..8].copy_from_slice(&(count as u32).to_be_bytes());
    frame
}

struct Record([u8; ACTION_SIZE]);

impl Record {
    fn new(instance: u16) -> Record {
        let mut record = Record([0; ACTION_SIZE]);
        record.put(1, &instance.to_be_bytes());
        record
    }
    fn code(&mut self, code: u8) -> &mut Record {
        self.0[0] = code;
        self
    }
    fn put(&mut self, at: usize, bytes: &[u8]) -> &mut Record {
        self.0[at..at + bytes.len()].copy_from_slice(bytes);
        self
    }
    fn ms(&mut self, at: usize, span: Micros) -> &mut Record {
        self.put(at, &(span as f64 / 1000.0).to_be_bytes())
    }
    fn tail(&mut self, at: usize, bytes: &[u8], tail: &mut Vec<u8>) -> &mut Record {
        let (from, len) = (tail.len() as u32, bytes.len() as u32);
        tail.extend_from_slice(bytes);
        self.put(at, &from.to_be_bytes()).put(at + 4, &len.to_be_bytes())
    }
}

/// Reads the settings of an instance: `path=value` lines. Unknown keys are passed over; a key that cannot be
/// read is named in the error; one that is absent takes the meaning that asks least of the other side (a
/// permission: no; a price, limit or window: none).
pub fn parse_settings(text: &str) -> Result<Settings, WireError> {
    let map: HashMap<&str, &str> = text.lines().filter_map(|l| l.split_once('=')).collect();
    let get = |key: &str| map.get(key).map(|v| v.trim()).filter(|v| !v.is_empty());
    let number = |key: &str, absent: f64| match get(key).map(|v| v.parse::<f64>()) {
        None => Ok(absent),
        Some(Ok(v)) if v.is_finite() && v >= 0.0 => Ok(v),
        Some(_) => bad(format!("settings: {key} is not a number of nought or more")),
    };
    let span = |key: &str, absent: f64| number(key, absent).map(micros);
    let flag = |key: &str| match get(key) {
        None => Ok(false),
        Some(v) if v.eq_ignore_ascii_case("true") || v == "1" => Ok(true),
        Some(v) if v.eq_ignore_ascii_case("false") || v == "0" => Ok(false),
        Some(_) => bad(format!("settings: {key} is neither true nor false")),
    };
    let count = |key: &str| match number(key, 0.0)? {
        v if v <= 65536.0 => Ok(v as usize),
        _ => bad(format!("settings: {key} is absurd")),
    };
    let mut classes = Vec::new();
    let class_count = count("classes.count")?;
    if class_count == 0 {
        return bad("settings: classes.count is missing or nought".into());
    }
    for i in 0..class_count {
        let key = |name: &str| format!("classes.{i}.{name}");
        let effect = match get(&key("effect")) {
            Some("idempotent") => Effect::Safe,
            Some("deduplicated") => {
                let group = match get(&key("dedup_scope")) {
                    Some("all") => Group::All,
                    Some("zone") => Group::Zone,
                    _ => Group::Cell,
                };
                Effect::Keyed { group, window: span(&key("key_ttl"), 0.0)? }
            }
            Some("at_most_once") | None => Effect::Unsafe,
            Some(_) => return bad(format!("settings: {} is unknown", key("effect"))),
        };
        let limit = number(&key("hard_limit"), 0.0)?;
        let aim = number(&key("aim"), limit)?;
        if aim <= 0.0 {
            return bad(format!("settings: {} must be above nought", key("aim")));
        }
        classes.push(ClassSettings {
            aim: micros(aim),
            aim_stretch: number(&key("aim_stretch"), 0.0)?,
            effect,
            worth: number(&key("gain"), 1.0)?,
            late_worth: number(&key("late_worth"), 0.0)?,
            streaming: flag(&key("streaming"))?,
        });
    }
    let tenant_quota = (0..count("parties.count")?)
        .map(|i| number(&format!("parties.{i}.allowance_per_s"), 0.0))
        .collect::<Result<Vec<_>, _>>()?;
    let list = |key: &str| get(key).map(|v| v.split(',').collect::<Vec<_>>()).unwrap_or_default();
    let mut memory_mb = Vec::new();
    for v in list("specifics.ram_mb_by_kind") {
        match v.trim().parse::<f64>() {
            Ok(mb) if mb.is_finite() && mb >= 0.0 => memory_mb.push(mb),
            _ => return bad("settings: specifics.ram_mb_by_kind is not a list of numbers".into()),
        }
    }
    let report = list("load_info.fields")
        .into_iter()
        .map(|f| match f.trim() {
            "rif" => ReportField::InFlight,
            "q" => ReportField::Queue,
            "busy" => ReportField::Busy,
            _ => ReportField::Other,
        })
        .collect();
    Ok(Settings {
        front_ends: count("balancers")?.max(1) as u32,
        zone: count("zone")? as u32,
        classes,
        tenant_quota,
        over_share_worth: number("over_share_worth", 1.0)?,
        worth_by_work: get("counted_by") == Some("work"),
        tick: span("granularity", 1.0)?,
        ask_discovery: get("registry_mode") == Some("subscribe"),
        ask_within: span("invariants.ask_within", 0.0)?,
        drain_grace: span("invariants.drain_grace", 0.0)?,
        fall_window: span("invariants.fall", 0.0)?,
        fall_multiple: number("invariants.overload_factor", 1.0)?,
        start_share: number("invariants.start_capacity", 1.0)?,
        warm_up: span("invariants.warm_up", 0.0)?,
        max_attempts: number("limits.most_tries", 1.0)?.clamp(1.0, 60000.0) as u32,
        second_copies: flag("limits.second_copies")?,
        may_cancel: flag("limits.cancel")?,
        may_probe: flag("limits.probes")?,
        may_order: flag("specifics.placement_calls")?,
        may_tell: flag("limits.peers")?,
        tells_warm: flag("specifics.tells_warm")?,
        tells_crowd: flag("specifics.counts_alike")?,
        connect_timeout: span("limits.connect_timeout", 0.0)?,
        max_retry_after: if flag("limits.retry_after")? { span("limits.max_retry_after", 0.0)? } else { 0 },
        keep: span("specifics.idle_life", 0.0)?,
        on_miss: if get("specifics.if_cold") == Some("miss") { OnMiss::Miss } else { OnMiss::Load },
        order_timeout: span("specifics.load_wait", 0.0)?,
        order_delay: 0,
        load_window: span("specifics.loads_within", 0.0)?,
        load_free: number("specifics.load_free", 0.0)?,
        load_share: number("specifics.load_part", 0.0)?,
        retry_budget: Default::default(),
        memory_mb,
        memory_price: number("specifics.memory_price", 0.0)?,
        price_probe: number("tariffs.probe", 0.0)?,
        price_cross_zone: number("tariffs.cross_zone", 0.0)?,
        price_fetch: number("tariffs.origin", 0.0)?,
        report,
        report_via: match get("load_info.via") {
            Some("inline") => ReportVia::Answers,
            Some("on_probe") => ReportVia::Probe,
            _ => ReportVia::Never,
        },
    })
}
