//! A fifth of the executors is cut off from the front end for 6 s. Clients give up and cancel meanwhile. No attempt of a
//! cancelled request may begin more than 0.1 s later (and 50 ms, as every time limit on sockets).
#[path = "../common/kit.rs"]
mod kit;
use kit::*;
use std::path::Path;

const EXECUTORS: u32 = 5;
/// Under the 6 s of the page, from before the cut to after its end.
const CUT_MS: f64 = 5800.0;
const GIVES_UP_MS: u64 = 1000;
const LIMIT_MS: f64 = 100.0 + 50.0;

fn main() {
    open_record(Path::new(&std::env::args().nth(1).expect("the record's path")));
    let folder = temporary();
    let manner = Manner { holds_all: true, run_ms: 50, goes_on: true, ..Manner::default() };
    let executors: Vec<_> = (1..=EXECUTORS).map(|id| Executor::start(id, manner.clone())).collect();
    let links: Vec<_> = executors.iter().map(|executor| Link::to(executor.address)).collect();
    let hosts = executors.iter().zip(&links).map(|(executor, link)| Host::ready(executor.id, link.address));
    let bus = Bus::start(hosts.collect());
    let mut front_end = FrontEnd::start(&folder, &Settings::default(), &bus, 0x8c1f_30d2_7a5b_e964);
    let client = Client::connect(front_end.listen);
    let functions: Vec<String> = (1..=12u64).map(|n| format!("{:016x}", n * 0x1357_9bdf_0246)).collect();
    // Usual traffic first: the front end finds the copies, and its connections stand.
    for _ in 0..10 {
        let sent: Vec<u64> =
            functions.iter().map(|function| client.send(&Request::new("lens-fit", function, 4000))).collect();
        for tag in sent {
            client.wait(tag, 5000);
        }
    }
    executors.iter().for_each(|executor| executor.manner.lock().unwrap().run_ms = 1500);
    sleep_ms(300);
    note("the part that is judged begins");
    let cut = &links[0];
    let cut_at = now_ms();
    if is_troubled() {
        cut.cut();
    }
    let classes = ["lens-fit", "order-send", "price-check"];
    let sent: Vec<(Request, u64)> = (0..24)
        .map(|n| {
            sleep_ms(10);
            let request = Request::new(classes[n % 3], &functions[n / 2], 4000);
            let tag = client.send(&request);
            (request, tag)
        })
        .collect();
    sleep_ms(GIVES_UP_MS);
    let mut cancelled = Vec::new();
    for (request, tag) in sent {
        if client.answers(tag).is_empty() {
            client.abort(tag);
            cancelled.push((request.id, now_ms()));
        }
    }
    sleep_until(cut_at + CUT_MS);
    if is_troubled() {
        cut.heal();
    }
    sleep_ms(3000);
    if let Some(status) = front_end.has_ended() {
        cannot_run(&format!("the front end ended: {status}"));
    }
    if cancelled.len() < 6 {
        cannot_run("too few requests were still open when their clients gave up");
    }
    let mut breaks = Vec::new();
    let all: Vec<At> = executors.iter().flat_map(|executor| executor.all_seen()).collect();
    for seen in &all {
        let Seen::Run { id, class, .. } = &seen.seen else { continue };
        let late = cancelled.iter().find(|(cancelled, at)| cancelled == id && seen.at > at + LIMIT_MS);
        if let Some((_, at)) = late {
            let (executor, after) = (seen.executor, seen.at - at);
            let ran = all.iter().any(|s| s.executor == executor && s.seen == Seen::Ran { id: id.clone() });
            let end = if ran { "ran to its end" } else { "did not run to its end" };
            let what = format!("{class}, began at executor {executor} {after:.0} ms after its cancellation and {end}");
            breaks.push(format!("an attempt of {id}, {what}"));
        }
    }
    conclude(&breaks, &folder);
}
