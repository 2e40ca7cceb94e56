//! Finds out whether an answer is whole that ended with its connection.

use std::{rc::Rc, time::Duration};

use tokio::time::{Instant, sleep};

use crate::{Gateway, Platform, config::TargetEntry, tasks::departure_queries::learn_departures};

use super::{
    ConnectionPath, ConnectionPool, TargetConnection,
    content_end::ContentEnd,
    tunnel_client::{TunnelAnswer, TunnelConnector},
};

/// Time for which a new connection has to stay open. A process that ends closes its connections one after the other, and
/// its listener may be the last.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Number of connections that are tried. A sound target may close one that it has no room for.
const MAX_CONNECTIONS: u32 = 3;
/// Maximum wait for a record of the store that is due, beside the heartbeat of a target.
const RECORD_WAIT: Duration = Duration::from_millis(500);
/// Pause between two reads of the store for a record.
const RECORD_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a late run of the tasks in which ends of connections may have been noticed late.
const LATE_MEMORY_MS: u64 = 1_000;

/// An answer that ended regularly with its connection.
pub(crate) struct EndedAnswer<'a> {
    /// Target that wrote it.
    pub(crate) target: &'a TargetEntry,
    /// Way of its connection.
    pub(crate) path: &'a ConnectionPath,
    /// When the call was about to be sent.
    pub(crate) sent_at_ms: u64,
    /// What its content says of its end.
    pub(crate) content: ContentEnd,
    /// Time left for the call.
    pub(crate) left_ms: u64,
}

/// What shows that an answer is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Proof {
    /// The target leaves as planned, and nothing can follow the content.
    Content,
    /// The target accepts a connection after the end.
    Outlived,
    /// The target leaves as planned and accepts no connection, but keeps one open that is older than the call.
    OpenConnection,
    /// The store tells that the target has exited as planned.
    ExitRecord,
}

impl Proof {
    /// Returns the name used in logs and metrics.
    const fn name(self) -> &'static str {
        match self {
            Self::Content => "content",
            Self::Outlived => "outlived",
            Self::OpenConnection => "open_connection",
            Self::ExitRecord => "exit_record",
        }
    }
}

/// Why a target is not shown to have outlived an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NotShown {
    /// It accepts no connection.
    NotConnected,
    /// It closes new connections at once.
    Closed,
    /// The gateway through which the connection went does not answer.
    NoAnswerOfTunnel,
    /// The gateway through which the connection went cannot connect to it.
    UnreachableThroughTunnel,
    /// Another start of it, or another target, may be what accepts connections at its address.
    MaybeReplaced,
}

impl NotShown {
    /// Returns the name used in logs and metrics.
    const fn name(self) -> &'static str {
        match self {
            Self::NotConnected => "not_connected",
            Self::Closed => "closed",
            Self::NoAnswerOfTunnel => "no_answer_of_tunnel",
            Self::UnreachableThroughTunnel => "unreachable_through_tunnel",
            Self::MaybeReplaced => "maybe_replaced",
        }
    }
}

/// Returns whether an answer that ended with its connection is whole.
///
/// The kernel closes the connections of a process that exits or is killed as regularly as the process itself does, so the
/// close proves nothing. If nothing else does, the answer counts as broken off: a caller can make up for that, and cannot
/// for an answer that lacks its end unnoticed. `docs/design/answer-ends.md` gives the evidence and what it is worth.
pub(crate) async fn is_whole<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    answer: EndedAnswer<'_>,
) -> bool {
    let shown = show_whole(gateway, &answer).await;
    let (result, evidence) = match shown {
        Ok(proof) => ("whole", proof.name()),
        Err(not_shown) => ("broken_off", not_shown.name()),
    };
    metrics::counter!("toucan_answers_ended_by_connection_total", "result" => result, "evidence" => evidence)
        .increment(1);
    if shown != Ok(Proof::Outlived) {
        log_end(gateway, &answer, result, evidence);
    }
    shown.is_ok()
}

fn log_end<P: Platform>(
    gateway: &Gateway<P>,
    answer: &EndedAnswer<'_>,
    result: &str,
    evidence: &str,
) {
    let instance = answer.target.instance();
    let planned = &gateway.state.borrow().planned_departures;
    let leaving_ms = planned.leaving_ms(&instance, gateway.now_ms());
    log::info!(
        target: "pool",
        name = answer.target.name.as_str(),
        path:? = answer.path,
        content:? = answer.content,
        leaving_ms:? = leaving_ms,
        evidence = evidence,
        result = result;
        "an answer without a length has ended with its target"
    );
}

async fn show_whole<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    answer: &EndedAnswer<'_>,
) -> Result<Proof, NotShown> {
    if answer.content == ContentEnd::Shown && may_have_exited(gateway, answer).await {
        return Ok(Proof::Content);
    }
    let ended_ms = gateway.now_ms();
    let not_shown = match show_alive(gateway, answer).await {
        Ok(()) if is_same_process(gateway, answer, ended_ms).await => {
            return Ok(Proof::Outlived);
        }
        Ok(()) => NotShown::MaybeReplaced,
        Err(not_shown) => not_shown,
    };
    // The gateway of a tunnel may have ended in the place of the target.
    if not_shown == NotShown::NoAnswerOfTunnel {
        return Err(not_shown);
    }
    watch_departure(gateway, answer).await.ok_or(not_shown)
}

/// Returns whether the target of an answer may have exited as planned.
async fn may_have_exited<P: Platform>(gateway: &Rc<Gateway<P>>, answer: &EndedAnswer<'_>) -> bool {
    let instance = answer.target.instance();
    let drain_ms = gateway.bounds().drain_ms;
    let is_known = || {
        let planned = &gateway.state.borrow().planned_departures;
        planned.may_have_exited(&instance, drain_ms, gateway.now_ms())
    };
    if is_known() {
        return true;
    }
    let now_ms = gateway.now_ms();
    if gateway.state.borrow().targets_read_ms_ago(now_ms) < drain_ms {
        // A departure that this gateway has not read yet began too late.
        return false;
    }
    learn_departures(gateway, answer.left_ms).await;
    if is_known() {
        return true;
    }
    let _is_read = gateway.registrations.wait_since(now_ms).await;
    is_known()
}

/// Shows in time that a target which may have exited as planned has done so, or has only stopped accepting connections.
///
/// A connection that is still open after the whole wait shows that its process lives: a close that was lost on the way has been
/// sent once more by then.
async fn watch_departure<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    answer: &EndedAnswer<'_>,
) -> Option<Proof> {
    let instance = answer.target.instance();
    let began = Instant::now();
    if !may_have_exited(gateway, answer).await {
        return None;
    }
    loop {
        let has_reported = {
            let planned = &gateway.state.borrow().planned_departures;
            if planned.has_exited(&instance) {
                return Some(Proof::ExitRecord);
            }
            planned.has_reported(&instance)
        };
        let pool = &gateway.pool;
        let has_open_connection = pool.has_older_connection(answer.target, answer.sent_at_ms);
        if began.elapsed() >= RECORD_WAIT {
            return has_open_connection.then_some(Proof::OpenConnection);
        }
        if !has_reported && !has_open_connection {
            return None;
        }
        sleep(RECORD_INTERVAL).await;
        if has_reported {
            let _is_read = gateway.registrations.wait_since(gateway.now_ms()).await;
        }
    }
}

/// Returns whether the process that accepts connections at a target's address is the one that wrote an answer which was seen to
/// have ended at `ended_ms`, as far as can be found out.
///
/// A connection that is still open from before the call leaves no doubt. Otherwise the registrations tell, and a gateway that runs late
/// wants a registration that was written after the end: another start may accept connections before it registers.
async fn is_same_process<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    answer: &EndedAnswer<'_>,
    ended_ms: u64,
) -> bool {
    let target = answer.target;
    let sent_at_ms = answer.sent_at_ms;
    if gateway.pool.has_older_connection(target, sent_at_ms) {
        return true;
    }
    let is_replaced = || {
        let targets = &gateway.state.borrow().targets;
        targets.is_replaced(target, sent_at_ms)
    };
    let is_read = gateway.registrations.wait_since(ended_ms).await;
    if is_replaced() {
        return false;
    }
    let ran_late_at_ms = gateway.state.borrow().ran_late_at_ms;
    let is_late = ran_late_at_ms.is_some_and(|at_ms| ended_ms <= at_ms + LATE_MEMORY_MS);
    if !is_late {
        return true;
    }
    is_read && registers_again(gateway, target).await && !is_replaced()
}

/// Returns whether a target registers once more in time.
async fn registers_again<P: Platform>(gateway: &Rc<Gateway<P>>, target: &TargetEntry) -> bool {
    let registered_at = || gateway.state.borrow().targets.registered_at(target);
    let known_at = registered_at();
    let began = Instant::now();
    let max_wait = Duration::from_millis(gateway.bounds().heartbeat_ms) + RECORD_WAIT;
    while began.elapsed() < max_wait {
        sleep(RECORD_INTERVAL).await;
        let _is_read = gateway.registrations.wait_since(gateway.now_ms()).await;
        if registered_at() > known_at {
            return true;
        }
    }
    false
}

/// Shows that the target of an answer has outlived it: it accepts a connection by the same way.
async fn show_alive<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    answer: &EndedAnswer<'_>,
) -> Result<(), NotShown> {
    let (target, pool) = (answer.target, &gateway.pool);
    let now_ms = gateway.now_ms();
    if let ConnectionPath::Tunnel(holder) = answer.path {
        match gateway.ask_again(holder, target).await {
            TunnelAnswer::Connected(tunnel) => {
                let connection = pool.connection_of(target, tunnel).await;
                if let Some(connection) = connection
                    && stays_open(connection, target, pool, now_ms).await
                {
                    return Ok(());
                }
            }
            TunnelAnswer::TargetReachable => return Ok(()),
            // The other gateway lives, so it has passed on what the target did.
            TunnelAnswer::NotTried => {}
            TunnelAnswer::TargetUnreachable => return Err(NotShown::UnreachableThroughTunnel),
            TunnelAnswer::NoAnswer => return Err(NotShown::NoAnswerOfTunnel),
        }
    }
    for _connection in 0..MAX_CONNECTIONS {
        let connected = pool.connect_by_any_way(target, &**gateway).await;
        let connection = connected.map_err(|_failure| NotShown::NotConnected)?;
        if stays_open(connection, target, pool, now_ms).await {
            return Ok(());
        }
    }
    Err(NotShown::Closed)
}

/// Returns whether a new connection stays open, which is then kept for a later call.
async fn stays_open(
    connection: TargetConnection,
    target: &TargetEntry,
    pool: &ConnectionPool,
    now_ms: u64,
) -> bool {
    sleep(SETTLE_TIME).await;
    let is_open = !connection.sender.is_closed();
    pool.check_in(&target.name, connection, None, now_ms);
    is_open
}
