//! Outcomes told apart as the rules need, on sockets, with the byte position of the fault varied.

mod scripted;
use scripted::*;
use std::time::Duration;

const SOON: Duration = Duration::from_millis(10);

#[test]
fn a_paid_set_up_is_never_sent_again_once_a_byte_of_it_was_taken() {
    for at in [1, 5, 20, 60, 150, 200] {
        // On a kept connection, which the first set-up has left.
        let node = Node::start(&[Act::Play(SOON), Act::ResetAt(at)]);
        let kept = front(&[&node]);
        assert_eq!(statuses(ask(kept, "first", "report")), [201]);
        assert_eq!(
            statuses(ask(kept, "victim", "report")),
            [502],
            "cut at {at}"
        );
        std::thread::sleep(Duration::from_millis(100));
        let tried = node.lines("P");
        assert_eq!(tried.len(), 2, "cut at {at}: sent once and never again");
        assert_eq!(
            tried[0].connection, tried[1].connection,
            "it was the kept one"
        );

        // On a new one, with another node that would take it.
        let nodes = [
            Node::start(&[Act::ResetAt(at)]),
            Node::start(&[Act::ResetAt(at)]),
        ];
        let new = front(&[&nodes[0], &nodes[1]]);
        assert_eq!(statuses(ask(new, "victim", "report")), [502], "cut at {at}");
        std::thread::sleep(Duration::from_millis(100));
        assert_eq!(
            nodes.iter().map(|n| n.lines("P").len()).sum::<usize>(),
            1,
            "cut at {at}"
        );
    }
}

#[test]
fn a_connection_that_was_closed_while_idle_is_not_used() {
    // The node answers and its connection is at once of no use: CutAt past the end would be a whole answer.
    let node = Node::start(&[Act::Twice, Act::Play(SOON)]);
    let front = front(&[&node]);
    assert_eq!(
        statuses(ask(front, "a", "report")),
        [201],
        "two answers for one request count once"
    );
    assert_eq!(statuses(ask(front, "b", "report")), [201]);
    let puts = node.lines("PUT");
    assert_eq!(puts.len(), 2);
    assert_ne!(
        puts[0].connection, puts[1].connection,
        "the second answer is nobody's: the connection is left"
    );
}

#[test]
fn a_201_cut_in_the_middle_is_ended_at_the_node_and_fails_the_paid() {
    for at in [0, 1, 12, 40, 100, 130] {
        let node = Node::start(&[Act::CutAt(at)]);
        let front = front(&[&node]);
        assert_eq!(statuses(ask(front, "a", "report")), [502], "cut at {at}");
        assert_eq!(
            node.wait_for("DELETE", 1).len(),
            1,
            "cut at {at}: what may run is ended"
        );
        assert_eq!(node.lines("PUT").len(), 1, "cut at {at}");
    }
}

#[test]
fn a_harmless_set_up_that_was_cut_goes_on_elsewhere() {
    let nodes = [
        Node::start(&[Act::CutAt(30)]),
        Node::start(&[Act::CutAt(30)]),
        Node::start(&[]),
    ];
    let front = front(&[&nodes[0], &nodes[1], &nodes[2]]);
    assert_eq!(statuses(ask(front, "a", "room")), [201]);
    let cut: Vec<_> = nodes[..2]
        .iter()
        .filter(|n| !n.lines("PUT").is_empty())
        .collect();
    cut.iter()
        .for_each(|n| assert_eq!(n.wait_for("DELETE", 1).len(), 1));
    assert_eq!(nodes[2].lines("PUT").len(), 1);
}

#[test]
fn an_answer_after_its_time_out_leaves_nothing_running() {
    let slow = Act::Play(Duration::from_millis(1500));
    let nodes = [Node::start(&[slow]), Node::start(&[slow]), Node::start(&[])];
    let front = front(&[&nodes[0], &nodes[1], &nodes[2]]);
    assert_eq!(statuses(ask(front, "a", "room")), [201]);
    for node in nodes[..2].iter().filter(|n| !n.lines("PUT").is_empty()) {
        assert_eq!(
            node.wait_for("DELETE", 1).len(),
            1,
            "the slow one is told to end it"
        );
    }
}

#[test]
fn a_viewer_gone_during_set_up_leaves_nothing_running() {
    let node = Node::start(&[Act::Play(Duration::from_millis(400))]);
    let front = front(&[&node]);
    let viewer = ask(front, "a", "report");
    node.wait_for("PUT", 1);
    drop(viewer);
    let ended = node.wait_for("DELETE", 1);
    assert_eq!((ended.len(), node.lines("PUT").len()), (1, 1));
}

#[test]
fn the_viewers_time_runs_out_on_a_silent_node() {
    let node = Node::start(&[Act::Hold]);
    let front = front(&[&node]);
    let asked = std::time::Instant::now();
    let viewer = ask(front, "a", "report");
    assert_eq!(statuses(viewer), [504]);
    let took = asked.elapsed();
    assert!(
        took > Duration::from_millis(3900) && took < Duration::from_millis(4400),
        "{took:?}"
    );
    assert_eq!(node.wait_for("DELETE", 1).len(), 1);
}

#[test]
fn a_deadline_and_an_answer_that_meet_give_one_answer_and_leave_nothing_running() {
    // The front answers 20 ms before the viewer's 400 are up: answers of the node from well before to well after.
    let delays: Vec<u64> = (360..=400).step_by(4).collect();
    let acts: Vec<Act> = delays
        .iter()
        .map(|ms| Act::Play(Duration::from_millis(*ms)))
        .collect();
    let node = Node::start(&acts);
    let front = front(&[&node]);
    let mut given_up = 0;
    for (i, delay) in delays.iter().enumerate() {
        let said = statuses(ask_for(front, &format!("v{i}"), "report", 400));
        assert!(
            said == [201] || said == [504],
            "{said:?} with the node's answer after {delay} ms"
        );
        given_up += usize::from(said == [504]);
        assert_eq!(node.lines("PUT").len(), i + 1);
    }
    assert!(given_up > 0, "the latest come too late");
    // An end for each that was given up, and none for those that play.
    assert_eq!(node.wait_for("DELETE", given_up).len(), given_up);
}

#[test]
fn only_the_stated_proof_lets_a_paid_set_up_go_on() {
    let refuse = |proof| Node::start(&[Act::Refuse { proof }]);
    let nodes = [refuse(true), refuse(true), Node::start(&[])];
    let with = front(&[&nodes[0], &nodes[1], &nodes[2]]);
    assert_eq!(statuses(ask(with, "a", "report")), [201]);
    let nodes = [refuse(false), refuse(false)];
    let without = front(&[&nodes[0], &nodes[1]]);
    assert_eq!(statuses(ask(without, "a", "report")), [502]);
    assert_eq!(nodes.iter().map(|n| n.lines("PUT").len()).sum::<usize>(), 1);
}

#[test]
fn the_same_key_while_the_first_is_under_way_gets_the_same_session() {
    let node = Node::start(&[Act::Play(Duration::from_millis(300))]);
    let front = front(&[&node]);
    let (first, second) = (ask(front, "a", "report"), ask(front, "a", "report"));
    assert_eq!((statuses(first), statuses(second)), (vec![201], vec![201]));
    assert_eq!(
        statuses(ask(front, "a", "report")),
        [201],
        "and so does one that comes later"
    );
    assert_eq!(node.lines("PUT").len(), 1);
}

#[test]
fn what_is_not_understood_is_told_and_others_are_served() {
    let node = Node::start(&[]);
    let front = front(&[&node]);
    let post = |body: &str| {
        use std::io::Write;
        let mut stream = std::net::TcpStream::connect(front).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        write!(
            stream,
            "POST /sessions HTTP/1.1\r\nHost: f\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .unwrap();
        statuses(stream)
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
    assert_eq!(statuses(ask(front, "a", "room")), [201]);
}
