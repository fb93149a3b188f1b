//! Bad clients: whatever they send, and however fast or slowly, other clients get their answers in time, memory stays
//! within its limit, and nothing is forwarded for a client that has left. One director process with raw sockets.

mod environment;
use environment::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The lowest memory limit of the platform, in MB.
const MEMORY_LIMIT_MB: u64 = 32;
/// The highest limit of file descriptors of the platform.
const MAX_SOCKETS: usize = 1024;
/// Number of connections that fill a director with that limit, but for a few.
const CROWD: usize = 640;
/// Time for which the usual client waits.
const WAIT: Duration = Duration::from_millis(1_500);
/// Time after that at which a request without an answer is lost, with the platform's tolerance.
const LATE_TIME: Duration = Duration::from_millis(550);
/// Number of kinds of [`bad_messages`].
const BAD_MESSAGE_KINDS: u64 = 9;

/// The next tag of a usual client's request.
static NEXT_TAG: AtomicU64 = AtomicU64::new(0xa000_0000);
/// The bad clients of one test need the machine's processors.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The highest resident memory of a director so far, in kB.
fn peak_memory_kb(director: &Director) -> u64 {
    let path = format!("/proc/{}/status", director.0.id());
    let status = std::fs::read_to_string(path).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// A media node that answers every set-up at once.
struct AnsweringNode {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<String>>,
}

impl AnsweringNode {
    fn start(environment: &Environment) -> AnsweringNode {
        let listener = environment.node.try_clone().unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let is_stopped = stop.clone();
        let thread = std::thread::spawn(move || serve_node(&listener, &is_stopped));
        AnsweringNode {
            stop,
            thread: Some(thread),
        }
    }

    /// Everything that it received.
    fn stop(mut self) -> String {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.take().unwrap().join().unwrap()
    }
}

fn serve_node(listener: &std::net::TcpListener, is_stopped: &AtomicBool) -> String {
    listener.set_nonblocking(true).unwrap();
    let (mut streams, mut received) = (Vec::new(), Vec::new());
    while !is_stopped.load(Ordering::SeqCst) {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true).unwrap();
            streams.push(stream);
        }
        for stream in &mut streams {
            let from = received.len();
            let _ = stream.read_to_end(&mut received);
            let text = String::from_utf8_lossy(&received[from..]).into_owned();
            for message in text.split("SETUP ").skip(1) {
                let tag = message
                    .split("Session: ")
                    .nth(1)
                    .map_or("", |rest| &rest[..16]);
                let answer = format!(
                    "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {tag}\r\nContent-Length: 7\r\n\r\nthere\r\n"
                );
                let _ = stream.write_all(answer.as_bytes());
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Sends what `next` returns at full speed, and reads what it receives, on one connection after another.
fn flood(address: &str, until: Instant, mut next: impl FnMut(u64) -> String) {
    let mut number = 0;
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        let mut reading = stream.try_clone().unwrap();
        let reader = std::thread::spawn(move || {
            let mut buffer = [0; 65_536];
            while reading.read(&mut buffer).is_ok_and(|count| count > 0) {}
        });
        while Instant::now() < until {
            let mut batch = String::new();
            while batch.len() < 60_000 {
                number += 1;
                batch.push_str(&next(number));
            }
            if stream.write_all(batch.as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        reader.join().unwrap();
    }
}

/// Requests sessions one after the other while bad clients send; returns the longest time to an answer.
fn longest_answer(environment: &Environment, until: Instant) -> Duration {
    let mut viewer = environment.viewer();
    let mut longest = Duration::ZERO;
    while Instant::now() < until {
        let tag = NEXT_TAG.fetch_add(1, Ordering::SeqCst);
        let sent_at = Instant::now();
        viewer.request_session(tag);
        let answer = viewer.receive();
        assert!(answer.contains(&format!("{tag:016x}")), "{answer}");
        longest = longest.max(sent_at.elapsed());
        if answer.contains("STARTED") {
            viewer.send(&format!(
                r#"{{"verb":"FINISH","tag":"{tag:016x}","opts":{{}},"rc":16}}"#
            ));
            assert!(viewer.receive().contains("FINISHED"));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    longest
}

/// A tag of a bad client's message.
fn bad_tag(client: u64, number: u64) -> u64 {
    0xbad0_0000_0000_0000 + (client << 32) + number
}

/// What a bad client sends: small sound messages under ever new names, and unsound ones.
fn bad_messages(kind: u64, client: u64, number: u64) -> String {
    let tag = bad_tag(client, number);
    let request = session_request(tag, 1500);
    match kind {
        0 => format!("{{\"verb\":\"FINISH\",\"tag\":\"{tag:016x}\",\"opts\":{{}},\"rc\":16}}\n"),
        1 => request.replace("7f3a9c21e0b4d655", &format!("{tag:016x}")) + "\n",
        2 => {
            request.replace("1500", "3600000")
                + "\n"
                + &format!(
                    "{{\"verb\":\"FINISH\",\"tag\":\"{tag:016x}\",\"opts\":{{}},\"rc\":16}}\n"
                )
        }
        3 => request.replace("paid", "gold") + "\n",
        4 => format!("{{\"verb\":\"ECHO\",\"tag\":\"{tag:016x}\",\"opts\":{{}},\"rc\":0}}\n"),
        5 => "no message\n".to_string(),
        6 => request.replace("copies:1", "copies:1;at:s-00000001") + "\n",
        7 => request.replace("copies:1", "copies:1;at:s-0000000f") + "\n",
        _ => "x".repeat(1_000),
    }
}

/// Lets bad clients send while a usual client requests sessions; checks its answers and the director's memory.
fn check_flood(
    clients: u64,
    flood_time: Duration,
    messages: impl Fn(u64, u64) -> String + Copy + Send + 'static,
) {
    let _alone = ONE_AT_A_TIME.lock();
    let mut environment = Environment::new();
    environment.memory_mb = MEMORY_LIMIT_MB;
    let director = environment.start_director();
    let node = AnsweringNode::start(&environment);
    drop(environment.viewer());
    let until = Instant::now() + flood_time;
    let floods: Vec<_> = (0..clients)
        .map(|client| {
            let address = environment.listen.clone();
            std::thread::spawn(move || flood(&address, until, |number| messages(client, number)))
        })
        .collect();
    let longest = longest_answer(&environment, until);
    floods.into_iter().for_each(|flood| flood.join().unwrap());
    let memory_kb = peak_memory_kb(&director);
    println!("{clients} clients: longest answer {longest:?}, {memory_kb} kB");
    assert!(longest <= WAIT + LATE_TIME, "answered after {longest:?}");
    assert!(memory_kb <= MEMORY_LIMIT_MB * 1000, "{memory_kb} kB");
    assert!(
        node.stop().contains("SETUP"),
        "usual requests are forwarded"
    );
}

/// Guards against answers that wait for as long as bad clients send: every late read of their connections held all
/// set-ups and answers, and a usual client's turn came behind those of all of them (no answer in 8 s).
#[test]
fn clients_at_full_speed_delay_no_answer_and_fill_no_memory() {
    for kind in 0..BAD_MESSAGE_KINDS {
        for clients in [1, 16] {
            print!("kind {kind}, ");
            check_flood(
                clients,
                Duration::from_millis(1_800),
                move |client, number| bad_messages(kind, client, number),
            );
        }
    }
}

#[test]
fn a_crowd_of_clients_at_full_speed_delays_no_answer_and_fills_no_memory() {
    check_flood(80, Duration::from_secs(4), |client, number| {
        bad_messages(client % BAD_MESSAGE_KINDS, client, number)
    });
}

/// Guards against memory that grows with the number of clients: each may leave a message unfinished, or send one of many
/// short fields.
#[test]
fn hundreds_of_unfinished_messages_fill_no_memory() {
    let _alone = ONE_AT_A_TIME.lock();
    let mut environment = Environment::new();
    environment.memory_mb = MEMORY_LIMIT_MB;
    environment.sockets = MAX_SOCKETS;
    let director = environment.start_director();
    let node = AnsweringNode::start(&environment);
    drop(environment.viewer());
    let fields: String = (0..1_800)
        .map(|number| format!("\"{number}\":1,"))
        .collect();
    let unfinished = session_request(7, 1500).replace("\"class\"", &(fields + "\"class\""));
    let unfinished = &unfinished.as_bytes()[..unfinished.len() - 1];
    assert!(unfinished.len() > 15_000 && unfinished.len() < 16_384);
    let (half, rest) = unfinished.split_at(unfinished.len() / 2);
    let mut clients: Vec<_> = (0..CROWD)
        .map(|_| TcpStream::connect(&environment.listen).unwrap())
        .collect();
    for part in [half, rest] {
        for client in &mut clients {
            let _ = client.write_all(part);
        }
    }
    let longest = longest_answer(&environment, Instant::now() + Duration::from_secs(3));
    for client in &mut clients {
        let _ = client.write_all(b"}\n");
    }
    longest_answer(&environment, Instant::now() + Duration::from_millis(500));
    let memory_kb = peak_memory_kb(&director);
    println!("{CROWD} clients: longest answer {longest:?}, {memory_kb} kB");
    assert!(longest <= WAIT + LATE_TIME, "answered after {longest:?}");
    assert!(memory_kb <= MEMORY_LIMIT_MB * 1000, "{memory_kb} kB");
    node.stop();
}
