//! Faults during set-ups, on sockets and at varied byte positions. Whether the request may have been executed decides
//! between a retry and a failure.

mod scripted;
use scripted::*;
use std::time::Duration;

const SHORT_DELAY: Duration = Duration::from_millis(10);

#[test]
fn at_most_once_set_up_is_not_retried_after_a_byte_was_sent() {
    for at in [1, 5, 20, 60, 150, 200] {
        // On a reused connection, left idle by the first set-up.
        let node = Node::start(&[
            SetUpBehavior::AcceptAfter(SHORT_DELAY),
            SetUpBehavior::ResetAt(at),
        ]);
        let director = start_director(&[&node]);
        assert_eq!(
            read_statuses(request_session(director, "first", "report")),
            [201]
        );
        assert_eq!(
            read_statuses(request_session(director, "victim", "report")),
            [502],
            "reset at {at}"
        );
        std::thread::sleep(Duration::from_millis(100));
        let requests = node.requests("P");
        assert_eq!(
            requests.len(),
            2,
            "reset at {at}: the second set-up is sent only once"
        );
        assert_eq!(
            requests[0].connection, requests[1].connection,
            "the connection is reused"
        );

        // On a new connection, with another node available.
        let nodes = [
            Node::start(&[SetUpBehavior::ResetAt(at)]),
            Node::start(&[SetUpBehavior::ResetAt(at)]),
        ];
        let director = start_director(&[&nodes[0], &nodes[1]]);
        assert_eq!(
            read_statuses(request_session(director, "victim", "report")),
            [502],
            "reset at {at}"
        );
        std::thread::sleep(Duration::from_millis(100));
        assert_eq!(
            nodes.iter().map(|n| n.requests("P").len()).sum::<usize>(),
            1,
            "reset at {at}"
        );
    }
}

#[test]
fn connection_with_an_unsolicited_response_is_not_reused() {
    // The node sends an unsolicited second response, which makes the connection unusable.
    let node = Node::start(&[
        SetUpBehavior::AnswerTwice,
        SetUpBehavior::AcceptAfter(SHORT_DELAY),
    ]);
    let director = start_director(&[&node]);
    assert_eq!(
        read_statuses(request_session(director, "a", "report")),
        [201],
        "two responses to one request count once"
    );
    assert_eq!(
        read_statuses(request_session(director, "b", "report")),
        [201]
    );
    let puts = node.requests("PUT");
    assert_eq!(puts.len(), 2);
    assert_ne!(
        puts[0].connection, puts[1].connection,
        "the connection with the unsolicited response is not reused"
    );
}

#[test]
fn truncated_201_ends_the_session_and_fails_an_at_most_once_set_up() {
    for at in [0, 1, 12, 40, 100, 130] {
        let node = Node::start(&[SetUpBehavior::TruncateAt(at)]);
        let director = start_director(&[&node]);
        assert_eq!(
            read_statuses(request_session(director, "a", "report")),
            [502],
            "truncated at {at}"
        );
        assert_eq!(
            node.wait_for("DELETE", 1).len(),
            1,
            "truncated at {at}: a session that may exist is ended"
        );
        assert_eq!(node.requests("PUT").len(), 1, "truncated at {at}");
    }
}

#[test]
fn idempotent_set_up_with_a_truncated_response_is_retried_at_another_node() {
    let nodes = [
        Node::start(&[SetUpBehavior::TruncateAt(30)]),
        Node::start(&[SetUpBehavior::TruncateAt(30)]),
        Node::start(&[]),
    ];
    let director = start_director(&[&nodes[0], &nodes[1], &nodes[2]]);
    assert_eq!(read_statuses(request_session(director, "a", "room")), [201]);
    let attempted: Vec<_> = nodes[..2]
        .iter()
        .filter(|n| !n.requests("PUT").is_empty())
        .collect();
    attempted
        .iter()
        .for_each(|n| assert_eq!(n.wait_for("DELETE", 1).len(), 1));
    assert_eq!(nodes[2].requests("PUT").len(), 1);
}

#[test]
fn response_after_the_attempt_timeout_leaves_no_session() {
    let slow = SetUpBehavior::AcceptAfter(Duration::from_millis(1500));
    let nodes = [Node::start(&[slow]), Node::start(&[slow]), Node::start(&[])];
    let director = start_director(&[&nodes[0], &nodes[1], &nodes[2]]);
    assert_eq!(read_statuses(request_session(director, "a", "room")), [201]);
    for node in nodes[..2].iter().filter(|n| !n.requests("PUT").is_empty()) {
        assert_eq!(
            node.wait_for("DELETE", 1).len(),
            1,
            "the session at the slow node is ended"
        );
    }
}

#[test]
fn viewer_disconnect_during_set_up_leaves_no_session() {
    let node = Node::start(&[SetUpBehavior::AcceptAfter(Duration::from_millis(400))]);
    let director = start_director(&[&node]);
    let viewer = request_session(director, "a", "report");
    node.wait_for("PUT", 1);
    drop(viewer);
    let ended = node.wait_for("DELETE", 1);
    assert_eq!((ended.len(), node.requests("PUT").len()), (1, 1));
}

#[test]
fn deadline_passes_at_an_unresponsive_node() {
    let node = Node::start(&[SetUpBehavior::NeverAnswer]);
    let director = start_director(&[&node]);
    let requested_at = std::time::Instant::now();
    let viewer = request_session(director, "a", "report");
    assert_eq!(read_statuses(viewer), [504]);
    let elapsed = requested_at.elapsed();
    assert!(
        elapsed > Duration::from_millis(3900) && elapsed < Duration::from_millis(4400),
        "{elapsed:?}"
    );
    assert_eq!(node.wait_for("DELETE", 1).len(), 1);
}

#[test]
fn deadline_racing_a_response_gives_one_answer_and_leaves_no_session() {
    // The director answers 20 ms before the viewer's deadline of 400 ms. The node's responses arrive from well before
    // that time to well after it.
    let delays: Vec<u64> = (360..=400).step_by(4).collect();
    let behaviors: Vec<SetUpBehavior> = delays
        .iter()
        .map(|ms| SetUpBehavior::AcceptAfter(Duration::from_millis(*ms)))
        .collect();
    let node = Node::start(&behaviors);
    let director = start_director(&[&node]);
    let mut timed_out = 0;
    for (i, delay) in delays.iter().enumerate() {
        let statuses = read_statuses(request_session_with_wait(
            director,
            &format!("v{i}"),
            "report",
            400,
        ));
        assert!(
            statuses == [201] || statuses == [504],
            "{statuses:?} with the node's response after {delay} ms"
        );
        timed_out += usize::from(statuses == [504]);
        assert_eq!(node.requests("PUT").len(), i + 1);
    }
    assert!(timed_out > 0, "the slowest responses miss the deadline");
    // Only sessions of requests that missed the deadline are ended.
    assert_eq!(node.wait_for("DELETE", timed_out).len(), timed_out);
}

#[test]
fn only_the_never_ran_field_allows_a_retry_of_an_at_most_once_set_up() {
    let rejecting_node = |never_ran| Node::start(&[SetUpBehavior::Reject { never_ran }]);
    let nodes = [rejecting_node(true), rejecting_node(true), Node::start(&[])];
    let with_field = start_director(&[&nodes[0], &nodes[1], &nodes[2]]);
    assert_eq!(
        read_statuses(request_session(with_field, "a", "report")),
        [201]
    );
    let nodes = [rejecting_node(false), rejecting_node(false)];
    let without_field = start_director(&[&nodes[0], &nodes[1]]);
    assert_eq!(
        read_statuses(request_session(without_field, "a", "report")),
        [502]
    );
    assert_eq!(
        nodes.iter().map(|n| n.requests("PUT").len()).sum::<usize>(),
        1
    );
}

#[test]
fn repeated_viewer_key_gets_the_same_session() {
    let node = Node::start(&[SetUpBehavior::AcceptAfter(Duration::from_millis(300))]);
    let director = start_director(&[&node]);
    let (first, second) = (
        request_session(director, "a", "report"),
        request_session(director, "a", "report"),
    );
    assert_eq!(
        (read_statuses(first), read_statuses(second)),
        (vec![201], vec![201])
    );
    assert_eq!(
        read_statuses(request_session(director, "a", "report")),
        [201],
        "a later repetition gets the same session too"
    );
    assert_eq!(node.requests("PUT").len(), 1);
}

#[test]
fn invalid_requests_are_rejected_and_others_are_served() {
    let node = Node::start(&[]);
    let director = start_director(&[&node]);
    let post = |body: &str| {
        use std::io::Write;
        let mut stream = std::net::TcpStream::connect(director).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        write!(
            stream,
            "POST /sessions HTTP/1.1\r\nHost: f\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .unwrap();
        read_statuses(stream)
    };
    assert_eq!(post("{"), [422]);
    assert_eq!(
        post("{\"viewer\":\"\",\"class\":\"room\",\"title\":\"monday\"}"),
        [422]
    );
    assert_eq!(
        post("{\"viewer\":\"a\",\"class\":\"none\",\"title\":\"monday\"}"),
        [404]
    );
    assert_eq!(
        post("{\"viewer\":\"a\",\"class\":\"room\",\"title\":\"none\"}"),
        [404]
    );
    assert_eq!(
        post("{\"viewer\":\"a\",\"class\":\"room\",\"title\":\"monday\",\"wait_ms\":-1}"),
        [422]
    );
    assert_eq!(read_statuses(request_session(director, "a", "room")), [201]);
}
