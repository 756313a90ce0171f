//! Event streams: what servers send of them, and the check of what clients get.

/// Returns an event of a stream; its data name the request and the piece.
pub fn event(request: &str, piece: u64) -> Vec<u8> {
    format!("id: {piece}\ndata: {request} piece {piece}\n\n").into_bytes()
}

/// Returns bytes as a chunk.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// Returns the ids of the events in a body.
pub fn pieces(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    let ids = text.lines().filter_map(|it| it.strip_prefix("id:"));
    ids.filter_map(|it| it.trim().parse().ok()).collect()
}

/// Returns what is wrong with the pieces that a client got in one answer, if anything is. The
/// stream has pieces up to `last`; `is_complete` tells whether the answer ended as a complete one.
pub fn order_fault(pieces: &[u64], last: u64, is_complete: bool) -> Option<String> {
    let mut next = 1;
    for piece in pieces {
        if *piece < next {
            return Some(format!("piece {piece} comes twice or late"));
        }
        if *piece > next {
            return Some(format!("piece {next} is missing, the next one is {piece}"));
        }
        next += 1;
    }
    let is_short = next <= last;
    (is_complete && is_short)
        .then(|| format!("ends as complete after piece {} of {last}", next - 1))
}

/// Returns the number of pieces that a request's path asks for, as `?n=`.
pub fn pieces_asked(path: &str) -> u64 {
    let number = path.split_once("?n=").map(|(_, number)| number);
    number.and_then(|it| it.parse().ok()).unwrap_or(1)
}

/// Returns a length of a stream, spread between 20 and 66 pieces.
pub fn length_of(request: u64) -> u64 {
    let mixed = request.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
    20 + mixed % 47
}
