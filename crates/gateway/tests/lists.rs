//! Parsing of worker lists and of workers' response headers.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::StatusCode;
use stagehoist::Outcome;
use stagehoist_gateway::discovery::{consul, file};
use stagehoist_gateway::workers::http_response;

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let pair =
        |p: &(&'static str, &'static str)| (HeaderName::from_static(p.0), HeaderValue::from_static(p.1));
    pairs.iter().map(pair).collect()
}

#[test]
fn a_consul_response_lists_ready_and_draining_workers_and_omits_critical_ones() {
    let body = r#"[
      {"Node":{"Address":"10.0.0.1"},"Service":{"ID":"w1","Address":"","Port":80,"Meta":{"zone":"hall-a","kind":"large",
        "cell":"3","capacity":"4","started":"1700000000123"}},"Checks":[{"CheckID":"a","Status":"passing"}]},
      {"Node":{"Address":"10.0.0.1"},"Service":{"ID":"w2","Address":"10.0.0.2","Port":81,"Meta":{"state":"draining"}}},
      {"Node":{"Address":"10.0.0.1"},"Service":{"ID":"w3","Port":82,"Meta":null},
        "Checks":[{"CheckID":"_service_maintenance:w3","Status":"critical"}]},
      {"Node":{"Address":"10.0.0.1"},"Service":{"ID":"w4","Port":83},"Checks":[{"CheckID":"a","Status":"critical"}]}
    ]"#;
    let entries = consul::parse(body.as_bytes()).unwrap();
    let listed: Vec<_> = entries.iter().map(|e| (e.name.as_str(), e.address.as_str(), e.draining)).collect();
    assert_eq!(
        listed,
        [("w1", "10.0.0.1:80", false), ("w2", "10.0.0.2:81", true), ("w3", "10.0.0.1:82", true)]
    );
    let w1 = &entries[0];
    assert_eq!((w1.cell, w1.capacity, w1.started), (3, 4.0, 1_700_000_000_123_000));
    assert!(consul::parse(b"{\"no\":1}").is_err() && consul::parse(b"[{]").is_err());
}

#[test]
fn a_list_file_with_a_malformed_line_is_rejected_as_a_whole() {
    let text = "# workers\nw1 127.0.0.1:9001 kind large zone hall-a capacity 4 started 1700000000000\n\n\
                w2 127.0.0.1:9002 state draining # for now\n";
    let entries = file::parse(text).unwrap();
    assert_eq!((entries.len(), entries[0].started, entries[1].draining), (2, 1_700_000_000_000_000, true));
    for (bad, line) in [
        ("w1", 1),
        ("\nw1 a:1 size 3", 2),
        ("w1 a:1 state odd", 1),
        ("w1 a:1 capacity x", 1),
        ("w1 a:1 zone", 1),
    ] {
        assert_eq!(file::parse(bad).unwrap_err().0, line, "{bad}");
    }
}

#[test]
fn only_a_workers_header_proves_that_a_call_did_not_run() {
    for (status, header, outcome) in [
        (200, None, Outcome::Ok),
        (500, None, Outcome::Error),
        (503, None, Outcome::Error),
        (429, None, Outcome::Error),
        (404, None, Outcome::Error),
        (503, Some("queue-full"), Outcome::Full),
        (503, Some("draining"), Outcome::Full),
        (404, Some("not-loaded"), Outcome::Miss),
        (503, Some("something-else"), Outcome::Error),
    ] {
        let headers = header.map_or(HeaderMap::new(), |value| headers(&[(http_response::NOT_RUN, value)]));
        assert_eq!(
            http_response::outcome(StatusCode::from_u16(status).unwrap(), &headers),
            outcome,
            "{status} {header:?}"
        );
    }
}

#[test]
fn load_reports_are_parsed_from_json_and_text() {
    let fields = ["busy", "inflight", "memory", "none"].map(str::to_string);
    let json = "JSON {\"cpu_utilization\": 0.25, \"named_metrics\": {\"inflight\": 7, \"memory\": 0.5}}";
    let text = "TEXT cpu_utilization=0.25, named_metrics.inflight=7,named_metrics.memory=0.5";
    for line in [json, text] {
        let report = http_response::load_report(&headers(&[(http_response::LOAD_METRICS, line)]), &fields);
        assert_eq!(report, Some([0.25, 7.0, 0.5, 0.0]), "{line}");
    }
    for bad in ["JSON {", "BIN AAAA", "TEXT"] {
        assert_eq!(
            http_response::load_report(&headers(&[(http_response::LOAD_METRICS, bad)]), &fields),
            None,
            "{bad}"
        );
    }
    let copy =
        http_response::copy_report(&headers(&[(http_response::COPY, "began"), (http_response::CROWD, "4")]));
    assert_eq!((copy.state, copy.concurrency), (2, 4));
    assert_eq!(
        http_response::announced_draining(&headers(&[(http_response::WORKER, "draining")])),
        Some(true)
    );
}
