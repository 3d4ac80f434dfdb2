//! What a message of a fleet asks for, and what its reply tells.

mod common;

use common::*;
use stagehoist_amqp::{long, short, AMQPValue, BasicProperties, FieldTable};
use stagehoist_config::parse;
use stagehoist_gateway::amqp::message::{reply, Reader, Unusable};
use stagehoist_gateway::state::Command;
use std::rc::Rc;

fn reader(fleet: &str) -> Reader {
    let text = format!(
        "class lookup aim 800ms give-up 2500ms\nfunction f* class lookup memory 64MB\n\
         broker amqp://127.0.0.1:1/\nconsume calls\nworker-list file none\n{fleet}"
    );
    Reader::new(Rc::new(parse("m.conf", &text).unwrap()))
}

fn asked(reader: &Reader, function: &str, generation: Option<AMQPValue>) -> Result<Option<u32>, Unusable> {
    let mut headers = FieldTable::default();
    if let Some(value) = generation {
        headers.insert(short("generation"), value);
    }
    let properties = BasicProperties::default().with_headers(headers);
    reader.read(&properties, function, 2, 0).map(|asked| asked.generation)
}

#[test]
fn a_generation_is_a_number_and_inner_names_are_nobodys() {
    let fleet = reader("member a\nkeeper 1 127.0.0.1:1\n");
    assert_eq!(asked(&fleet, "f", None), Ok(None));
    assert_eq!(asked(&fleet, "f", Some(AMQPValue::LongInt(2))), Ok(Some(2)));
    assert_eq!(asked(&fleet, "f", Some(long("3"))), Ok(Some(3)));
    for wrong in [long("two"), long("0"), AMQPValue::LongInt(-1), AMQPValue::Boolean(true)] {
        assert_eq!(asked(&fleet, "f", Some(wrong)), Err(Unusable::MalformedGeneration));
    }
    assert_eq!(asked(&fleet, "f@2", None), Err(Unusable::MalformedFunction));
    // Without a fleet both are as they were.
    let alone = reader("");
    assert_eq!(asked(&alone, "f@2", Some(long("two"))), Ok(None));
}

#[test]
fn a_reply_tells_what_is_retired() {
    let mut s = Stage::new();
    s.view(&[retire("free-times", 1)]);
    let out = s.call(1, "free-times");
    let Some(Command::Answer { answer, .. }) = out.first() else { panic!("{out:?}") };
    let headers = reply(answer, "c").0.headers().clone().unwrap();
    let text = |key: &str| stagehoist_amqp::header_text(&headers, key).unwrap_or_default();
    let told =
        ["outcome", "reason", "retired-generation", "retired-at", "successor", "retired-reason"].map(text);
    assert_eq!(told, ["failed", "retired", "1", "7", "next", "old"]);
}
