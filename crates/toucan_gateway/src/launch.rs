//! Start and graceful shutdown of a gateway process.

use std::{future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use displaydoc::Display;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::{
    net::{TcpListener, TcpSocket, UdpSocket},
    sync::watch,
    task::spawn_local,
    time::sleep,
};

use toucan_types::TargetName;

use crate::{
    Gateway, Platform,
    config::CallerLimits,
    duty::spawn_duty,
    inspection::render_page,
    serving::{
        connection_count::ConnectionCount,
        http_listener::{ListenerState, serve_listener},
        response::{IncompleteResponse, ResponseBody, text_response},
        serve_call,
        tunnel_server::serve_tunnels,
    },
    settings::GatewaySettings,
    socket_options::SlowPeerOptions,
    tasks::{
        config_watch::watch_config,
        departure_queries::ask_departures,
        grant_sync::sync_grants,
        membership::watch_members,
        origin_sync::{read_origins, write_origins},
        path_probes::probe_paths,
        peer_exchange::{broadcast_load, receive_datagrams},
        schedule_watch::watch_schedule,
        shutdown,
        target_watch::watch_targets,
        verdict_sync::{watch_verdicts, write_verdicts},
    },
};

/// Maximum number of connections in the accept queue.
const LISTEN_BACKLOG: u32 = 1_024;
/// Interval at which stale idle connections to targets are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// the gateway cannot start: {name}: {error}
#[derive(Debug, Display)]
pub struct StartError {
    /// Name of the socket that could not be bound.
    pub name: &'static str,
    /// Error of the operating system.
    pub error: io::Error,
}

impl std::error::Error for StartError {}

impl<P: Platform + 'static> Gateway<P> {
    /// Starts a gateway. Must run in a [`LocalSet`](tokio::task::LocalSet), which runs its tasks.
    ///
    /// # Errors
    ///
    /// [`StartError`] if a socket cannot be bound.
    pub async fn launch(platform: P, settings: GatewaySettings) -> Result<Rc<Self>, StartError> {
        let gateway = Rc::new(Self::new(platform, settings));
        gateway.listen().await?;
        gateway.spawn_duty("configuration", watch_config);
        gateway.spawn_duty("targets", watch_targets);
        gateway.spawn_duty("members", watch_members);
        gateway.spawn_duty("verdicts", watch_verdicts);
        gateway.spawn_duty("verdict", write_verdicts);
        gateway.spawn_duty("stream_origins", read_origins);
        gateway.spawn_duty("stream_origin", write_origins);
        gateway.spawn_duty("connections", sweep_connections);
        gateway.spawn_grant_sync();
        log::info!(
            target: "process",
            vm = gateway.settings.vm.as_str(),
            start = gateway.start_id(),
            data_centre = gateway.settings.data_centre.as_str(),
            callers:% = gateway.settings.caller_address;
            "gateway started"
        );
        Ok(gateway)
    }

    /// Runs a task until the process ends.
    fn spawn_duty<F>(self: &Rc<Self>, name: &'static str, duty: impl Fn(Rc<Self>) -> F + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        let gateway = Rc::clone(self);
        spawn_duty(name, move || duty(Rc::clone(&gateway)));
    }

    /// Runs the task that draws and reports tokens.
    ///
    /// It must not begin anew in the same process: what it knew of its own grants is lost. Should it
    /// panic, the process stops, which counts all that it holds as spent.
    fn spawn_grant_sync(self: &Rc<Self>) {
        let gateway = Rc::clone(self);
        spawn_local(async move {
            let ended = spawn_local(sync_grants(Rc::clone(&gateway))).await;
            if let Err(error) = ended
                && error.is_panic()
            {
                log::error!(target: "process", duty = "grants", error:% = error; "a task failed unexpectedly, the process stops");
                gateway.grants_failed.notify_one();
            }
        });
    }

    /// Waits until the process has to stop because it cannot keep account of its tokens.
    pub async fn wait_for_failure(&self) {
        self.grants_failed.notified().await;
    }

    async fn listen(self: &Rc<Self>) -> Result<(), StartError> {
        let callers = bind("callers", self.settings.caller_address.into())?;
        let readiness = bind("readiness", self.settings.readiness_address.into())?;
        let metrics = bind("metrics", self.settings.metrics_address.into())?;
        let peers = UdpSocket::bind(self.settings.peer_address).await;
        let peers = Rc::new(peers.map_err(|error| StartError {
            name: "peers",
            error,
        })?);
        self.set_peers_socket(Rc::clone(&peers));
        self.spawn_duty("peers", move |gateway| {
            receive_datagrams(gateway, Rc::clone(&peers))
        });
        self.spawn_duty("load", broadcast_load);
        self.spawn_duty("departures", ask_departures);
        let tunnels = Rc::new(bind("tunnels", self.settings.peer_address.into())?);
        self.spawn_duty("tunnels", move |gateway| {
            serve_tunnels(gateway, Rc::clone(&tunnels))
        });
        self.spawn_duty("paths", probe_paths);
        self.spawn_duty("schedule", watch_schedule);

        let subscribe = || self.listener_state.subscribe();
        let gateway = Rc::clone(self);
        let limits = {
            let gateway = Rc::clone(self);
            move || gateway.caller_limits()
        };
        let is_slow = self.settings.features.slow_readers;
        let slow_caller = is_slow.then_some(SlowPeerOptions::CALLER);
        let calls = move |request| serve_call(Rc::clone(&gateway), request);
        spawn_local(serve_listener(
            "callers",
            callers,
            limits,
            slow_caller,
            subscribe(),
            self.caller_connections.clone(),
            calls,
        ));

        // The load balancer and operators are served until the process ends.
        let (open_sender, open_state) = watch::channel(ListenerState::Open);
        let gateway = Rc::clone(self);
        let probes = move |request| handle_probe(Rc::clone(&gateway), request);
        let limits = CallerLimits::default;
        spawn_local(serve_listener(
            "readiness",
            readiness,
            limits,
            None,
            open_state.clone(),
            ConnectionCount::default(),
            probes,
        ));
        let gateway = Rc::clone(self);
        let inspections = move |request| {
            // Keeps the channel open while the listener runs.
            let _open = &open_sender;
            handle_inspection(Rc::clone(&gateway), request)
        };
        spawn_local(serve_listener(
            "metrics",
            metrics,
            limits,
            None,
            open_state,
            ConnectionCount::default(),
            inspections,
        ));
        Ok(())
    }

    /// Shuts down gracefully and returns the number of calls that were cut off.
    pub async fn stop(self: &Rc<Self>) -> u32 {
        shutdown::stop(self).await
    }
}

fn bind(name: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = || -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bound().map_err(|error| StartError { name, error })
}

async fn sweep_connections<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let is_in_use = |name: &TargetName| {
            let state = gateway.state.borrow();
            let target = state.targets.get(name);
            target.is_some_and(|target| {
                let is_evacuated = state.evacuations.contains(&target.entry.data_centre);
                !target.is_leaving && !target.is_replaced && !is_evacuated
            })
        };
        gateway.pool.sweep(is_in_use, gateway.now_ms());
        let is_known = |name: &TargetName| gateway.state.borrow().targets.get(name).is_some();
        gateway.pool.retain_paths(is_known);
    }
}

type LocalResponse =
    Response<ResponseBody<futures_util::stream::Empty<Result<bytes::Bytes, IncompleteResponse>>>>;

/// Responds to readiness probes of the load balancer.
async fn handle_probe<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: Request<Incoming>,
) -> LocalResponse {
    if request.uri().path() != gateway.platform.readiness_path() {
        return text_response(StatusCode::NOT_FOUND, String::new());
    }
    let status = if gateway.state.borrow().is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    text_response(status, String::new())
}

/// Responds to operators' requests for metrics and the state dump.
async fn handle_inspection<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: Request<Incoming>,
) -> LocalResponse {
    match render_page(&gateway, request.uri().path()) {
        Some(text) => text_response(StatusCode::OK, text),
        None => text_response(StatusCode::NOT_FOUND, String::new()),
    }
}
