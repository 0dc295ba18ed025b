use std::collections::VecDeque;
use std::time::Duration;

use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::Instant;

use super::{PipelineBounds, ReadAhead};

const MAX_TOGETHER: usize = 4;

fn read_ahead() -> ReadAhead<String> {
    ReadAhead::new(PipelineBounds {
        connection_requests: MAX_TOGETHER,
        ..PipelineBounds::default()
    })
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// Returns the length of the first request, by a search for the end of its head and its `content-length`.
fn naive_len(bytes: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(bytes).ok()?;
    let head = text.find("\r\n\r\n")? + 4;
    let length = text[..head]
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let whole = head + length.map_or(0, |length| length.parse().unwrap_or(0));
    (bytes.len() >= whole).then_some(whole)
}

fn path_of(message: &[u8]) -> String {
    let text = String::from_utf8_lossy(message);
    text.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// One connection: the caller's bytes, and an HTTP library that takes one request at a time.
struct Connection {
    read_ahead: ReadAhead<String>,
    /// Bytes that the library was given and that are not a whole request.
    library: Vec<u8>,
    /// Request that the library has taken and that is not answered.
    running: Option<Vec<u8>>,
    taken: Vec<Vec<u8>>,
    started: VecDeque<String>,
    now: Instant,
}

impl Connection {
    fn new() -> Self {
        Self {
            read_ahead: read_ahead(),
            library: Vec::new(),
            running: None,
            taken: Vec::new(),
            started: VecDeque::new(),
            now: Instant::now(),
        }
    }

    fn arrive(&mut self, bytes: &[u8]) {
        self.now += Duration::from_millis(5);
        let is_direct = !self.read_ahead.is_running() && self.read_ahead.held_bytes() == 0;
        let passed = if is_direct { self.read_ahead.pass(bytes) } else { 0 };
        self.library.extend_from_slice(&bytes[..passed]);
        if passed < bytes.len() {
            self.read_ahead.hold(&bytes[passed..], self.now);
        }
        self.advance(usize::MAX);
    }

    /// Lets the library take what it may, in pieces of `max` bytes, and starts requests.
    fn advance(&mut self, max: usize) {
        while !self.read_ahead.is_running() && self.read_ahead.held_bytes() > 0 {
            let bytes = self.read_ahead.take(max);
            self.library.extend_from_slice(&bytes);
        }
        if self.running.is_none()
            && let Some(len) = naive_len(&self.library)
        {
            assert_eq!(len, self.library.len(), "the library got bytes of another request");
            let message = std::mem::take(&mut self.library);
            let mut req = Request::new(());
            *req.uri_mut() = path_of(&message).parse().unwrap();
            if message.starts_with(b"POST") {
                *req.method_mut() = Method::POST;
            }
            req.headers_mut().insert(HOST, HeaderValue::from_static("a"));
            let (_, started) = self.read_ahead.on_taken(&req);
            let started = started.map(|(head, path)| {
                assert!(head.is_same(&req), "another request was started than {path}");
                path
            });
            // Those that were started are taken first, and in their order.
            assert_eq!(started, self.started.pop_front());
            self.taken.push(message.clone());
            self.running = Some(message);
        }
        while self.read_ahead.may_start_more()
            && let Some(startable) = self
                .read_ahead
                .next_startable(|method, uri, _| *method == Method::GET && uri.path().starts_with("/safe"))
        {
            let running = self.running.as_ref().map(|message| path_of(message));
            assert!(
                running.is_some_and(|path| path.starts_with("/safe")),
                "nothing idempotent runs"
            );
            assert!(startable.req.uri().path().starts_with("/safe"));
            let started = &mut self.started;
            self.read_ahead.start(startable, |req, _| {
                started.push_back(req.uri().path().to_owned());
                req.uri().path().to_owned()
            });
        }
        assert!(self.started.len() < MAX_TOGETHER);
    }

    fn answer(&mut self, max: usize) {
        if self.running.take().is_some() {
            self.read_ahead.on_answered();
            self.advance(max);
        }
    }
}

/// Guards against requests that are lost, merged or not started when a read ends within a head.
#[test]
fn heads_may_be_cut_at_every_byte() {
    let text = get("/safe/1") + &get("/safe/2") + &get("/safe/3");
    for cut in 0..=text.len() {
        let mut connection = Connection::new();

        connection.arrive(&text.as_bytes()[..cut]);
        connection.arrive(&text.as_bytes()[cut..]);

        assert_eq!(connection.started, ["/safe/2", "/safe/3"], "cut at {cut}");
        (0..3).for_each(|_| connection.answer(7));
        assert_eq!(connection.taken.concat(), text.as_bytes(), "cut at {cut}");
        assert_eq!(connection.taken.len(), 3, "cut at {cut}");
    }
}

/// Guards against starting a request that is not whole, may have a body, may end the connection, or is not idempotent.
#[test]
fn only_certain_requests_are_started() {
    let refused = [
        "GET /pay/2 HTTP/1.1\r\nhost: a\r\n\r\n",
        "POST /safe/2 HTTP/1.1\r\nhost: a\r\n\r\n",
        "GET /safe/2 HTTP/1.0\r\nhost: a\r\n\r\n",
        "GET /safe/2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
        "GET /safe/2 HTTP/1.1\r\nhost: a\r\nConnection: keep-alive, Upgrade\r\n\r\n",
        "GET /safe/2 HTTP/1.1\r\nhost: a\r\nupgrade: h2c\r\n\r\n",
        "GET /safe/2 HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n\r\n",
        "GET /safe/2 HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\n",
        "GET /safe/2 HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\ncontent-length: 0\r\n\r\n",
        "GET /safe/2 HTTP/1.1\r\nhost: a\r\ncontent-length: +0\r\n\r\n",
        "GET /safe/2 HTTP/1.1\r\nhost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET /safe/2 HTTP/1.1\r\nhost: a\r\nbad header\r\n\r\n",
        "GET /safe/2 HTTP/1.1\r\nhost: a\r\n\r",
    ];
    for second in refused {
        let mut connection = Connection::new();
        let text = get("/safe/1") + second + &get("/safe/3");
        let text = text
            .strip_suffix(&get("/safe/3"))
            .filter(|_| second.ends_with("a\r\n\r"))
            .unwrap_or(&text);

        connection.arrive(text.as_bytes());

        assert!(connection.started.is_empty(), "{second:?}");
    }
    let allowed = "GET /safe/2 HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\nconnection: Keep-Alive\r\n\r\n";
    let mut connection = Connection::new();
    connection.arrive((get("/safe/1") + allowed).as_bytes());
    assert_eq!(connection.started, ["/safe/2"]);
}

/// Guards against requests that are started behind a response that closes the connection.
#[test]
fn closing_connection_starts_nothing() {
    let mut connection = Connection::new();
    connection.arrive((get("/safe/1") + &get("/safe/2")).as_bytes());
    connection.read_ahead.close();

    connection.arrive(get("/safe/3").as_bytes());

    assert_eq!(connection.started, ["/safe/2"]);
    connection.answer(usize::MAX);
    assert!(!connection.read_ahead.has_started());
    assert!(connection.read_ahead.is_closing());
}

/// Guards against deadlines that count from another moment than the arrival of the end of the head.
#[test]
fn arrival_is_the_end_of_the_head() {
    let mut read_ahead = read_ahead();
    let begin = Instant::now();
    let at = |ms| begin + Duration::from_millis(ms);
    let first = get("/safe/1");
    assert_eq!(read_ahead.pass(first.as_bytes()), first.len());
    let (arrived, _) = read_ahead.on_taken(&Request::new(()));
    assert_eq!(arrived, None);
    let second = get("/pay/2");

    read_ahead.hold(&second.as_bytes()[..10], at(10));
    read_ahead.hold(&second.as_bytes()[10..], at(20));
    read_ahead.hold(get("/pay/3").as_bytes(), at(30));
    let arrivals = [(); 2].map(|()| {
        read_ahead.on_answered();
        read_ahead.take(usize::MAX);
        read_ahead.on_taken(&Request::new(())).0
    });

    assert_eq!(arrivals, [Some(at(20)), Some(at(30))]);
}

fn message() -> impl Strategy<Value = String> {
    (0..4u8, 0..100u16, 0..40usize).prop_map(|(kind, n, len)| match kind {
        0 | 1 => get(&format!("/safe/{n}")),
        2 => get(&format!("/pay/{n}")),
        _ => {
            // The body looks like a request.
            let body: String = get("/safe/body").repeat(2)[..len].to_owned();
            format!("POST /send/{n} HTTP/1.1\r\ncontent-length: {len}\r\n\r\n{body}")
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(41), ..ProptestConfig::default()
    })]

    /// Guards against a splitter that disagrees with a naive parse about where requests end, for any requests, any reads
    /// and any time of the answers.
    #[test]
    fn requests_are_the_same_as_in_a_naive_parse(
        messages in prop::collection::vec(message(), 1..8),
        reads in prop::collection::vec((1..60usize, any::<bool>(), 1..50usize), 1..200),
    ) {
        let text = messages.concat();
        let mut connection = Connection::new();
        let mut rest = text.as_bytes();
        for (len, answers, max) in reads {
            let (read, left) = rest.split_at(len.min(rest.len()));
            if !read.is_empty() {
                connection.arrive(read);
            }
            rest = left;
            if answers {
                connection.answer(max);
            }
        }
        if !rest.is_empty() {
            connection.arrive(rest);
        }
        for _ in 0..messages.len() {
            connection.answer(usize::MAX);
        }

        let taken: Vec<String> = connection.taken.iter().map(|m| String::from_utf8_lossy(m).into_owned()).collect();
        prop_assert_eq!(taken, messages);
        prop_assert!(connection.started.is_empty());
    }
}
