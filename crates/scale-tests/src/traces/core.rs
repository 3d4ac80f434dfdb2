//! A front end's state as the driver has it, with workers and functions that are all called once, and what it tells of that.

use crate::front_end::{hash, Scene};
use bytes::Bytes;
use metrics_exporter_prometheus::PrometheusBuilder;
use stagehoist::{CopyReport, Endpoint, EndpointUpdate, Lifecycle, Outcome};
use stagehoist_endpoints::NumberedEndpoint;
use stagehoist_gateway::amqp::link::LinkState;
use stagehoist_gateway::metrics::Gauges;
use stagehoist_gateway::state::{
    Arrival, AttemptResult, Command, Core, CoreSettings, FunctionProperties, Input, NameLimits,
};
use std::io;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

const STEP: i64 = 8_000;

/// So many workers and functions, each function called once; each answer is reported.
fn run(n: u32, mut answered: impl FnMut(&Core, &Command)) -> Core {
    let figures = CoreSettings {
        settings: Scene::one(n, u64::from(n), 1.0, 7).settings(),
        kinds: vec!["large".into()],
        max_calls: 20_000,
        load_timeout: 10_000_000,
        name_limits: NameLimits::new(100_000, 600_000_000),
        ..CoreSettings::default()
    };
    let mut now = 1_000_000;
    let mut core = Core::new(figures, 7, now);
    let told = |place: u32| NumberedEndpoint {
        name: format!("worker-{place}"),
        address: "10.0.0.1:7000".into(),
        endpoint: Endpoint {
            worker: hash(u64::from(place)) as u32,
            lifecycle: Lifecycle::Ready,
            capacity: 20.0,
            ..Endpoint::default()
        },
    };
    let mut out = Vec::new();
    let list = Input::EndpointUpdate { kind: EndpointUpdate::Full, endpoints: (0..n).map(told).collect() };
    core.process(now, &mut vec![list], &mut out);
    for call in 0..n {
        now += STEP;
        core.process(now, &mut vec![Input::Call(arrival(call))], &mut out);
        while !out.is_empty() {
            now += STEP / 8;
            let mut news = Vec::new();
            for command in out.drain(..) {
                answered(&core, &command);
                if let Command::Attempt(a) = command {
                    let note = CopyReport { state: 1, concurrency: 0 };
                    let result = AttemptResult { copy: note, ..AttemptResult::without_answer(Outcome::Ok) };
                    news.push(Input::AttemptEnded { request: a.request, attempt: a.attempt, result });
                }
            }
            core.process(now, &mut news, &mut out);
        }
    }
    core
}

fn arrival(call: u32) -> Arrival {
    Arrival {
        ticket: u64::from(call) + 1,
        function: Rc::from(format!("function-{call}")),
        properties: Some(FunctionProperties {
            id: hash(u64::from(call)) & ((1 << 40) - 1),
            class: 0,
            memory_mb: 100.0,
            concurrency: 4.0,
            load_time: 500_000,
            work: None,
        }),
        tenant: 0,
        budget: 6_000_000,
        read_at: 0,
        is_repeat: false,
        client_verified: true,
        body: Bytes::new(),
        content_type: None,
        correlation: Rc::from(format!("call-{call}")),
        generation: None,
        identity: None,
    }
}

/// Bytes of the page of metrics after so many functions were called on as many workers. With a series for each function it is
/// the control.
pub fn metrics_page(n: u32, each_function: bool) -> usize {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::with_local_recorder(&recorder, || {
        let gauges = Gauges::new(0);
        let core = run(n, |_, command| {
            if let Command::Answer { answer, elapsed: took, .. } = command {
                gauges.record_answer(answer, *took);
            }
        });
        gauges.publish(&core, &LinkState::default());
        for function in (0..n).filter(|_| each_function) {
            metrics::counter!("calls_by_function", "function" => format!("function-{function}")).increment(1);
        }
    });
    handle.run_upkeep();
    handle.render().len()
}

#[derive(Clone, Default)]
struct Counted(Arc<AtomicU64>);

impl io::Write for Counted {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Bytes logged, and calls. At `info`, or at `debug` as the control.
pub fn logged(n: u32, debug: bool) -> (u64, u32) {
    let counted = Counted::default();
    let writer = counted.clone();
    let level = if debug { tracing::Level::DEBUG } else { tracing::Level::INFO };
    let subscriber =
        tracing_subscriber::fmt().with_max_level(level).with_writer(move || writer.clone()).finish();
    tracing::subscriber::with_default(subscriber, || drop(run(n, |_, _| {})));
    (counted.0.load(Ordering::Relaxed), n)
}
