//! Tests of the generation in a fleet's messages, and of the headers of a reply for a retired function.

mod common;

use common::*;
use stagehoist_amqp::{long, short, AMQPValue, BasicProperties, FieldTable};
use stagehoist_config::parse;
use stagehoist_gateway::amqp::message::{reply, InvalidMessage, Reader};
use stagehoist_gateway::state::Command;
use std::rc::Rc;

fn reader(fleet: &str) -> Reader {
    let text = format!(
        "class lookup aim 800ms give-up 2500ms\nfunction f* class lookup memory 64MB\n\
         broker amqp://127.0.0.1:1/\nconsume calls\nworker-list file none\n{fleet}"
    );
    Reader::new(Rc::new(parse("m.conf", &text).unwrap()))
}

fn requested_generation(
    reader: &Reader,
    function: &str,
    generation: Option<AMQPValue>,
) -> Result<Option<u32>, InvalidMessage> {
    let mut headers = FieldTable::default();
    if let Some(value) = generation {
        headers.insert(short("generation"), value);
    }
    let properties = BasicProperties::default().with_headers(headers);
    reader.read(&properties, function, 2, 0).map(|request| request.generation)
}

#[test]
fn a_generation_is_a_number_and_internal_names_are_rejected() {
    let fleet = reader("member a\nkeeper 1 127.0.0.1:1\n");
    assert_eq!(requested_generation(&fleet, "f", None), Ok(None));
    assert_eq!(requested_generation(&fleet, "f", Some(AMQPValue::LongInt(2))), Ok(Some(2)));
    assert_eq!(requested_generation(&fleet, "f", Some(long("3"))), Ok(Some(3)));
    for malformed in [long("two"), long("0"), AMQPValue::LongInt(-1), AMQPValue::Boolean(true)] {
        assert_eq!(
            requested_generation(&fleet, "f", Some(malformed)),
            Err(InvalidMessage::MalformedGeneration)
        );
    }
    assert_eq!(requested_generation(&fleet, "f@2", None), Err(InvalidMessage::MalformedFunction));
    // Without a fleet both are ignored.
    let alone = reader("");
    assert_eq!(requested_generation(&alone, "f@2", Some(long("two"))), Ok(None));
}

#[test]
fn a_reply_names_the_retirement() {
    let mut s = Stage::new();
    s.view(&[retire("free-times", 1)]);
    let out = s.call(1, "free-times");
    let Some(Command::Answer { answer, .. }) = out.first() else { panic!("{out:?}") };
    let headers = reply(answer, "c").0.headers().clone().unwrap();
    let text = |key: &str| stagehoist_amqp::header_text(&headers, key).unwrap_or_default();
    let values =
        ["outcome", "reason", "retired-generation", "retired-at", "successor", "retired-reason"].map(text);
    assert_eq!(values, ["failed", "retired", "1", "7", "next", "old"]);
}
