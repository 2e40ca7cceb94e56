//! Start and graceful shutdown of a gateway process.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use displaydoc::Display;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::{
    net::{TcpListener, TcpSocket, UdpSocket},
    sync::watch,
    task::spawn_local,
    time::sleep,
};

use crate::{
    Gateway, Platform,
    config::CallerLimits,
    duties::{
        config_duty::follow_config,
        grant_duty::keep_wallets,
        member_duty::follow_members,
        peer_duty::{receive_datagrams, tell_load},
        stop_duty,
        target_duty::follow_targets,
    },
    inspection::inspect,
    serving::{
        answer::{AnswerBody, IncompleteAnswer, text_answer},
        http_listener::{ListenerState, serve_listener},
        serve_call,
    },
    settings::GatewaySettings,
};

/// Maximum number of connections in the accept queue.
const LISTEN_QUEUE: u32 = 1_024;
/// Interval at which stale idle connections to targets are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// the gateway cannot start: {what}: {error}
#[derive(Debug, Display)]
pub struct StartError {
    /// Name of the socket that could not be bound.
    pub what: &'static str,
    /// Error of the operating system.
    pub error: io::Error,
}

impl std::error::Error for StartError {}

impl<P: Platform + 'static> Gateway<P> {
    /// Starts a gateway, whose tasks run on the current thread's [`LocalSet`](tokio::task::LocalSet).
    ///
    /// # Errors
    ///
    /// [`StartError`] if a socket cannot be bound.
    pub async fn launch(platform: P, settings: GatewaySettings) -> Result<Rc<Self>, StartError> {
        let gateway = Rc::new(Self::new(platform, settings));
        gateway.listen().await?;
        spawn_local(follow_config(Rc::clone(&gateway)));
        spawn_local(follow_targets(Rc::clone(&gateway)));
        spawn_local(follow_members(Rc::clone(&gateway)));
        spawn_local(keep_wallets(Rc::clone(&gateway)));
        spawn_local(sweep_connections(Rc::clone(&gateway)));
        log::info!(
            target: "process",
            vm = gateway.settings.vm.as_str(),
            start = gateway.start(),
            data_centre = gateway.settings.data_centre.as_str(),
            callers:% = gateway.settings.caller_address;
            "gateway started"
        );
        Ok(gateway)
    }

    async fn listen(self: &Rc<Self>) -> Result<(), StartError> {
        let callers = bind("callers", self.settings.caller_address.into())?;
        let readiness = bind("readiness", self.settings.readiness_address.into())?;
        let metrics = bind("metrics", self.settings.metrics_address.into())?;
        let peers = UdpSocket::bind(self.settings.peer_address).await;
        let peers = Rc::new(peers.map_err(|error| StartError {
            what: "peers",
            error,
        })?);
        self.set_peers_socket(Rc::clone(&peers));
        spawn_local(receive_datagrams(Rc::clone(self), peers));
        spawn_local(tell_load(Rc::clone(self)));

        let state = || self.listener_state.subscribe();
        let gateway = Rc::clone(self);
        let limits = {
            let gateway = Rc::clone(self);
            move || gateway.caller_limits()
        };
        let calls = move |request| serve_call(Rc::clone(&gateway), request);
        spawn_local(serve_listener("callers", callers, limits, state(), calls));

        // The load balancer and operators are served until the process ends.
        let (always_open, never_closed) = watch::channel(ListenerState::Open);
        let gateway = Rc::clone(self);
        let probes = move |request| answer_probe(Rc::clone(&gateway), request);
        let limits = CallerLimits::default;
        spawn_local(serve_listener(
            "readiness",
            readiness,
            limits,
            never_closed.clone(),
            probes,
        ));
        let gateway = Rc::clone(self);
        let inspections = move |request| {
            let _open = &always_open;
            answer_inspection(Rc::clone(&gateway), request)
        };
        spawn_local(serve_listener(
            "metrics",
            metrics,
            limits,
            never_closed,
            inspections,
        ));
        Ok(())
    }

    /// Shuts down gracefully and returns the number of calls that were cut off.
    pub async fn stop(self: &Rc<Self>) -> u32 {
        stop_duty::stop(self).await
    }
}

fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = || -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_QUEUE)
    };
    bound().map_err(|error| StartError { what, error })
}

async fn sweep_connections<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let is_known =
            |name: &toucan_types::TargetName| gateway.core.borrow().targets.get(name).is_some();
        gateway.pool.sweep(is_known, gateway.now_ms());
    }
}

type OwnAnswer =
    Response<AnswerBody<futures_util::stream::Empty<Result<bytes::Bytes, IncompleteAnswer>>>>;

/// Responds to readiness probes of the load balancer.
async fn answer_probe<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: Request<Incoming>,
) -> OwnAnswer {
    if request.uri().path() != gateway.platform.readiness_path() {
        return text_answer(StatusCode::NOT_FOUND, String::new());
    }
    let status = if gateway.core.borrow().is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    text_answer(status, String::new())
}

/// Responds to operators' requests for metrics and the state dump.
async fn answer_inspection<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: Request<Incoming>,
) -> OwnAnswer {
    match inspect(&gateway, request.uri().path()) {
        Some(text) => text_answer(StatusCode::OK, text),
        None => text_answer(StatusCode::NOT_FOUND, String::new()),
    }
}
