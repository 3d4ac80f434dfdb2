//! Tests of `resp`.

use super::*;

fn all(bytes: &[u8]) -> Result<Vec<Words>, RespError> {
    let mut decoder = Decoder::default();
    decoder.feed(bytes);
    let mut arrays = Vec::new();
    while let Some(words) = decoder.next_array()? {
        arrays.push(words);
    }
    Ok(arrays)
}

#[test]
fn encoded_arrays_are_decoded() {
    let mut out = BytesMut::new();
    encode(&mut out, &[b"REQ", b"7", b"", b"\r\n\0$"]);
    encode(&mut out, &[b"ABORT", b"18446744073709551615"]);
    let got = all(&out).unwrap();
    assert_eq!(got[0], [&b"REQ"[..], b"7", b"", b"\r\n\0$"]);
    assert_eq!(got[1][1], b"18446744073709551615");
}

#[test]
fn malformed_input_is_detected_as_soon_as_it_arrives() {
    use RespError::*;
    for (bytes, error) in [
        (&b"GET / HTTP/1.1\r\n"[..], Form),
        (b"\0\xff", Form),
        (b"*-1\r\n", Length),
        (b"*0\r\n", Length),
        (b"*x", Length),
        (b"*9\r\n", TooLong),
        (b"*1000000000000000000000000000", TooLong),
        (b"*1\r\n$-5\r\n", Length),
        (b"*1\r\n$16385\r\n", TooLong),
        (b"*1\r\n$60000000\r\n", TooLong),
        (b"*1\r\n$99999999999\r\n", Length),
        (b"*1\r\n$3\r\nabcd", Form),
        (b"*1\r\n$3\r\nabc\rx", Form),
        (b"*1\rx", Form),
        (b"*2\r\n$1\r\na\r\n:5\r\n", Form),
    ] {
        assert_eq!(all(bytes), Err(error), "{:?}", String::from_utf8_lossy(bytes));
    }
    let mut long = b"*8\r\n".to_vec();
    for _ in 0..3 {
        long.extend_from_slice(b"$16384\r\n");
        long.extend_from_slice(&[b'x'; 16384]);
        long.extend_from_slice(b"\r\n");
    }
    assert_eq!(all(&long), Err(TooLong));
}

#[test]
fn what_is_missing_from_a_string_is_known_once_its_length_is() {
    let mut decoder = Decoder::default();
    let mut missing = |bytes: &[u8]| {
        decoder.feed(bytes);
        let fed = decoder.missing();
        assert!(decoder.next_array().is_ok());
        (fed, decoder.missing())
    };
    assert_eq!(missing(b"*2\r\n$1\r\na\r\n$1"), (0, 0));
    assert_eq!(missing(b"00\r\nxyz"), (0, 99));
    assert_eq!(missing(&[b'x'; 97]), (2, 2));
    assert_eq!(missing(b"\r\n*1\r\n$2"), (0, 0));
}
