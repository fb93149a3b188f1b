//! Random steps of viewers, nodes, sockets and the endpoint list, with their weights.

use crate::common::MILLISECOND;
use proptest::prelude::*;
use shalewall::TimeDelta;
use shalewall_platform_proto::ConnectError;

/// One step. Connections, viewers and requests are indices modulo the number of candidates.
#[derive(Clone, Debug)]
pub enum Step {
    Request {
        viewer: usize,
        paid: bool,
    },
    Withdraw {
        request: usize,
    },
    ViewerCloses {
        viewer: usize,
        clean: bool,
    },
    ViewerEndsStream {
        viewer: usize,
    },
    ViewerConnects,
    NodeConnects {
        connection: usize,
    },
    ConnectFails {
        connection: usize,
        error: ConnectError,
    },
    NodeAnswers {
        connection: usize,
        status: u16,
    },
    AnswerLost {
        connection: usize,
    },
    NodeReleases {
        connection: usize,
        cause: i64,
    },
    NodeCloses {
        connection: usize,
        clean: bool,
    },
    SocketRefusesWrites {
        connection: usize,
    },
    SocketWritesPartially {
        connection: usize,
    },
    SocketsUnblocked,
    NodeDrains {
        node: u64,
    },
    NodeBecomesReady {
        node: u64,
    },
    Advance(TimeDelta),
    ShutdownBegins,
}

const CONNECT_ERRORS: [ConnectError; 3] = [
    ConnectError::Unreachable,
    ConnectError::LocalShortage,
    ConnectError::Unreachable,
];

pub fn step() -> impl Strategy<Value = Step> {
    let index = 0..8usize;
    let statuses = prop::sample::select(vec![200, 200, 200, 453, 454, 500, 504]);
    let causes = prop::sample::select(vec![16, 31, 41]);
    let spans = prop::sample::select(vec![1, 20, 300, 700, 2_000]);
    prop_oneof![
        6 => (index.clone(), any::<bool>()).prop_map(|(viewer, paid)| Step::Request { viewer, paid }),
        2 => index.clone().prop_map(|request| Step::Withdraw { request }),
        2 => (index.clone(), any::<bool>()).prop_map(|(viewer, clean)| Step::ViewerCloses { viewer, clean }),
        1 => index.clone().prop_map(|viewer| Step::ViewerEndsStream { viewer }),
        1 => Just(Step::ViewerConnects),
        6 => index.clone().prop_map(|connection| Step::NodeConnects { connection }),
        1 => (index.clone(), 0..3u8).prop_map(|(connection, error)| Step::ConnectFails {
            connection,
            error: CONNECT_ERRORS[usize::from(error)],
        }),
        6 => (index.clone(), statuses).prop_map(|(connection, status)| Step::NodeAnswers { connection, status }),
        1 => index.clone().prop_map(|connection| Step::AnswerLost { connection }),
        3 => (index.clone(), causes).prop_map(|(connection, cause)| Step::NodeReleases { connection, cause }),
        1 => (index.clone(), any::<bool>()).prop_map(|(connection, clean)| Step::NodeCloses { connection, clean }),
        2 => index.clone().prop_map(|connection| Step::SocketRefusesWrites { connection }),
        1 => index.prop_map(|connection| Step::SocketWritesPartially { connection }),
        2 => Just(Step::SocketsUnblocked),
        1 => (1..3u64).prop_map(|node| Step::NodeDrains { node }),
        1 => (1..3u64).prop_map(|node| Step::NodeBecomesReady { node }),
        4 => spans.prop_map(|millis| Step::Advance(millis * MILLISECOND)),
        1 => Just(Step::ShutdownBegins),
    ]
}
