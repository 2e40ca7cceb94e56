//! HTTP interface for fault switches, for stand-ins that run as a process.
//!
//! | call | effect |
//! |---|---|
//! | `GET /addresses` | addresses of the platform for each data centre |
//! | `GET /record` | what engines, services and log really did, in numbers |
//! | `POST /log?down=…&slow_ms=…&lose_answers_permille=…&append_rate_per_s=…&retention_records=…` | faults of the log |
//! | `POST /vm_list?down=…&lag_ms=…` | faults of the VM list |
//! | `POST /cut?from=DC&to=platform&on=true` | cuts a data centre off from the platform |
//! | `POST /cut?from=DC&to=DC&on=true` | cuts two data centres off from each other |
//! | `POST /silence` | makes all connections that exist silent |
//! | `POST /vm?instance=…&state=STATE` | state of a VM on the list: `live`, `leaving` or `gone` |
//! | `POST /engine?name=…&silent=…&dead=…&leaving=…` | faults of an engine |
//! | `POST /service?name=…&down=…&run_ms=…&lose_answers_permille=…` | faults of a plain service |

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, StatusCode};
use serde_json::json;
use toucan_platform::formats::VmState;
use volo_http::response::Response;

use crate::http_call::{self, HttpCall, text};
use crate::http_serve::{HttpStandin, serve};
use crate::standin_set::StandinSet;

impl StandinSet {
    /// Serves the fault switches and gives the address.
    pub async fn serve_admin(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        serve(Arc::new(Admin(self.clone())), address).await
    }
}

struct Admin(StandinSet);

impl HttpStandin for Admin {
    async fn answer(self: Arc<Self>, call: HttpCall) -> Response {
        let known = match (&call.method, call.segments().as_slice()) {
            (&Method::GET, ["addresses"]) => {
                return http_call::json(StatusCode::OK, &self.0.addresses());
            }
            (&Method::GET, ["record"]) => return self.record(),
            (&Method::POST, ["log"]) => self.switch_log(&call),
            (&Method::POST, ["vm_list"]) => self.switch_vm_list(&call),
            (&Method::POST, ["cut"]) => self.cut(&call),
            (&Method::POST, ["silence"]) => {
                self.0.platform.silence_all_connections();
                Some(())
            }
            (&Method::POST, ["vm"]) => self.switch_vm(&call),
            (&Method::POST, ["engine"]) => self.switch_engine(&call),
            (&Method::POST, ["service"]) => self.switch_service(&call),
            _ => return text(StatusCode::NOT_FOUND, "no such path"),
        };
        match known {
            Some(()) => text(StatusCode::OK, "done"),
            None => text(StatusCode::BAD_REQUEST, "a parameter is missing or unknown"),
        }
    }
}

impl Admin {
    fn switch_log(&self, call: &HttpCall) -> Option<()> {
        let log = &self.0.platform.log;
        on_flag(call, "down", |down| log.set_down(down));
        on_number(call, "slow_ms", |slow_ms| log.set_delay_ms(slow_ms));
        on_number(call, "lose_answers_permille", |permille| {
            log.set_response_loss_permille(permille);
        });
        on_number(call, "append_rate_per_s", |rate| {
            log.set_append_rate_per_s(rate);
        });
        on_number(call, "retention_records", |count| {
            log.set_retention_records(count);
        });
        Some(())
    }

    fn switch_vm_list(&self, call: &HttpCall) -> Option<()> {
        let vm_list = &self.0.platform.vm_list;
        on_flag(call, "down", |down| vm_list.set_down(down));
        on_number(call, "lag_ms", |lag_ms| vm_list.set_lag_ms(lag_ms));
        Some(())
    }

    fn cut(&self, call: &HttpCall) -> Option<()> {
        let from = call.query.get("from")?;
        let cut = flag(call, "on")?;
        match call.query.get("to")?.as_str() {
            "platform" => self.0.platform.set_platform_partition(from, cut),
            to => self.0.platform.set_partition_between(from, to, cut),
        }
        Some(())
    }

    fn switch_vm(&self, call: &HttpCall) -> Option<()> {
        let instance = call.query.get("instance")?;
        let state = match call.query.get("state")?.as_str() {
            "live" => VmState::Live,
            "leaving" => VmState::Leaving,
            "gone" => VmState::Gone,
            _ => return None,
        };
        self.0.platform.vm_list.set_state(instance, state);
        Some(())
    }

    fn switch_engine(&self, call: &HttpCall) -> Option<()> {
        let engine = self.0.engine(call.query.get("name")?)?;
        on_flag(call, "silent", |silent| engine.set_silent(silent));
        on_flag(call, "dead", |dead| engine.set_crashed(dead));
        on_flag(call, "leaving", |leaving| engine.set_leaving(leaving));
        Some(())
    }

    fn switch_service(&self, call: &HttpCall) -> Option<()> {
        let service = self.0.service(call.query.get("name")?)?;
        on_flag(call, "down", |down| service.set_down(down));
        on_number(call, "run_ms", |run_ms| service.set_run_time_ms(run_ms));
        on_number(call, "lose_answers_permille", |permille| {
            service.set_response_loss_permille(permille);
        });
        Some(())
    }

    fn record(&self) -> Response {
        let engines = self.0.engines.iter().map(|engine| {
            let runs = engine.runs();
            let tokens: u64 = runs.iter().map(|run| run.generated_tokens).sum();
            json!({ "name": engine.name(), "requests": runs.len(), "generated_tokens": tokens })
        });
        let services = self.0.services.iter();
        let services =
            services.map(|service| json!({ "name": service.name(), "runs": service.runs().len() }));
        let log = &self.0.platform.log;
        let record = json!({
            "engines": engines.collect::<Vec<_>>(),
            "services": services.collect::<Vec<_>>(),
            "log": { "appends": log.appends(), "appends_refused": log.appends_refused() },
        });
        http_call::json(StatusCode::OK, &record)
    }
}

fn flag(call: &HttpCall, name: &str) -> Option<bool> {
    match call.query.get(name)?.as_str() {
        "true" | "1" => Some(true),
        "false" | "0" => Some(false),
        _ => None,
    }
}

fn on_flag(call: &HttpCall, name: &str, set: impl FnOnce(bool)) {
    if let Some(value) = flag(call, name) {
        set(value);
    }
}

fn on_number(call: &HttpCall, name: &str, set: impl FnOnce(u64)) {
    if let Some(value) = call.query_number(name) {
        set(value);
    }
}
