//! HTTP interface that switches the faults of stand-ins that run as a process.
//!
//! | call | effect |
//! |---|---|
//! | `GET /addresses` | addresses of the platform for each data centre |
//! | `GET /record` | counts of what engines, services and log actually did |
//! | `POST /log?down=…&slow_ms=…&lose_answers_permille=…&append_rate_per_s=…&retention_records=…` | faults of the log |
//! | `POST /vm_list?down=…&lag_ms=…` | faults of the VM list |
//! | `POST /cut?from=DC&to=platform&on=true` | partitions a data centre from the platform; `on=false` heals it |
//! | `POST /cut?from=DC&to=DC&on=true` | partitions two data centres from each other; `on=false` heals them |
//! | `POST /silence` | makes all existing connections silent; new ones work |
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

use crate::http_call::{self, HttpCall, text_response};
use crate::http_server::{HttpHandler, serve};
use crate::standin_set::StandinSet;

impl StandinSet {
    /// Serves the admin interface and returns its address.
    pub async fn serve_admin(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        serve(Arc::new(Admin(self.clone())), address).await
    }
}

struct Admin(StandinSet);

impl HttpHandler for Admin {
    async fn handle(self: Arc<Self>, call: HttpCall) -> Response {
        let applied = match (&call.method, call.segments().as_slice()) {
            (&Method::GET, ["addresses"]) => {
                return http_call::json_response(StatusCode::OK, &self.0.addresses());
            }
            (&Method::GET, ["record"]) => return self.record(),
            (&Method::POST, ["log"]) => self.set_log_faults(&call),
            (&Method::POST, ["vm_list"]) => self.set_vm_list_faults(&call),
            (&Method::POST, ["cut"]) => self.set_partition(&call),
            (&Method::POST, ["silence"]) => {
                self.0.platform.silence_all_connections();
                Some(())
            }
            (&Method::POST, ["vm"]) => self.set_vm_state(&call),
            (&Method::POST, ["engine"]) => self.set_engine_faults(&call),
            (&Method::POST, ["service"]) => self.set_service_faults(&call),
            _ => return text_response(StatusCode::NOT_FOUND, "no such path"),
        };
        match applied {
            Some(()) => text_response(StatusCode::OK, "done"),
            None => text_response(StatusCode::BAD_REQUEST, "a parameter is missing or unknown"),
        }
    }
}

impl Admin {
    fn set_log_faults(&self, call: &HttpCall) -> Option<()> {
        let log = &self.0.platform.log;
        apply_flag(call, "down", |down| log.set_down(down));
        apply_number(call, "slow_ms", |delay_ms| log.set_delay_ms(delay_ms));
        apply_number(call, "lose_answers_permille", |permille| {
            log.set_response_loss_permille(permille);
        });
        apply_number(call, "append_rate_per_s", |rate| {
            log.set_append_rate_per_s(rate);
        });
        apply_number(call, "retention_records", |count| {
            log.set_retention_records(count);
        });
        Some(())
    }

    fn set_vm_list_faults(&self, call: &HttpCall) -> Option<()> {
        let vm_list = &self.0.platform.vm_list;
        apply_flag(call, "down", |down| vm_list.set_down(down));
        apply_number(call, "lag_ms", |lag_ms| vm_list.set_lag_ms(lag_ms));
        Some(())
    }

    fn set_partition(&self, call: &HttpCall) -> Option<()> {
        let from = call.query.get("from")?;
        let partitioned = query_flag(call, "on")?;
        match call.query.get("to")?.as_str() {
            "platform" => self.0.platform.set_platform_partition(from, partitioned),
            to => self.0.platform.set_partition_between(from, to, partitioned),
        }
        Some(())
    }

    fn set_vm_state(&self, call: &HttpCall) -> Option<()> {
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

    fn set_engine_faults(&self, call: &HttpCall) -> Option<()> {
        let engine = self.0.engine(call.query.get("name")?)?;
        apply_flag(call, "silent", |silent| engine.set_silent(silent));
        apply_flag(call, "dead", |crashed| engine.set_crashed(crashed));
        apply_flag(call, "leaving", |leaving| engine.set_leaving(leaving));
        Some(())
    }

    fn set_service_faults(&self, call: &HttpCall) -> Option<()> {
        let service = self.0.service(call.query.get("name")?)?;
        apply_flag(call, "down", |down| service.set_down(down));
        apply_number(call, "run_ms", |time_ms| service.set_run_time_ms(time_ms));
        apply_number(call, "lose_answers_permille", |permille| {
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
        http_call::json_response(StatusCode::OK, &record)
    }
}

fn query_flag(call: &HttpCall, name: &str) -> Option<bool> {
    match call.query.get(name)?.as_str() {
        "true" | "1" => Some(true),
        "false" | "0" => Some(false),
        _ => None,
    }
}

fn apply_flag(call: &HttpCall, name: &str, set: impl FnOnce(bool)) {
    if let Some(value) = query_flag(call, name) {
        set(value);
    }
}

fn apply_number(call: &HttpCall, name: &str, set: impl FnOnce(u64)) {
    if let Some(value) = call.query_number(name) {
        set(value);
    }
}
