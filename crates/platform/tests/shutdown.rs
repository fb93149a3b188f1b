//! A director closes all its sockets and files when it ends. There is only one test, because signals are sent to the
//! whole process.

mod common;

use common::{configuration, write_configuration};
use rustix::process::{Signal, getpid, kill_process};
use shalewall_platform::run;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

/// A free loopback address.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn connect(address: SocketAddr) -> TcpStream {
    let started_at = Instant::now();
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => return stream,
            Err(error) if started_at.elapsed() > TIMEOUT => panic!("{address}: {error}"),
            Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}

/// Whether the peer closes the connection before the read times out.
fn is_closed(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    matches!(stream.read(&mut [0]), Ok(0))
}

/// Runs a director with a connected viewer and endpoint list service, and ends it by a signal.
fn run_and_terminate(directory: &Path) {
    let service = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = free_address();
    let configuration = configuration(listen, service.local_addr().unwrap());
    let file = write_configuration(directory, &configuration);
    let director = std::thread::spawn(move || run(&file));
    let (mut watch, _) = service.accept().unwrap();
    watch.read_exact(&mut [0; 8]).unwrap();
    let mut viewer = connect(listen);
    kill_process(getpid(), Signal::TERM).unwrap();
    director.join().unwrap().unwrap();
    assert!(
        is_closed(&mut watch),
        "the endpoint list service's connection"
    );
    assert!(is_closed(&mut viewer), "the viewer's connection");
    drop(TcpListener::bind(listen).expect("the director's address is free again"));
}

fn open_files() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

#[test]
fn a_director_closes_all_files_when_it_ends() {
    let directory = tempfile::tempdir().unwrap();
    // The first run also opens descriptors that the process keeps: those of the reactor and the signal handlers.
    run_and_terminate(directory.path());
    let open_before = open_files();
    run_and_terminate(directory.path());
    assert_eq!(open_files(), open_before);
}
