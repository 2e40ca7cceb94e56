//! Reads the settings of a router VM from JSON with comments.

use std::path::PathBuf;

use log::LevelFilter;
use toucan_config::{HashedKey, Section, TeamKey};
use toucan_platform::ClientSettings;
use toucan_router::{DRAIN_POLL_MS, OrderSettings};
use toucan_types::{FastHashMap, Finding, VmName};
use toucan_wire::MembershipSettings;

use super::{
    AdmissionSettings, ListenSettings, LogFormat, LogSettings, NodeSettings, PlatformSettings,
    TlsFiles,
    settings_reader::{Findings, SettingsObject, read_root},
};
use crate::{
    callers::{BodyLimits, ReplayLimits},
    http_server::ConnectionLimits,
};

/// Maximum of settings that are times, in milliseconds.
const MAX_DURATION_MS: u64 = 24 * 3_600_000;
/// Maximum of settings that are numbers of bytes.
const MAX_BYTES: u64 = 1 << 30;
/// Maximum of settings that are counts.
const MAX_COUNT: u64 = 1 << 20;
/// Default number of threads that serve callers.
const DEFAULT_CALLER_THREADS: usize = 2;
/// Default time between a stop request and the refusal of new requests, in milliseconds.
const DEFAULT_LEAVE_NOTICE_MS: u64 = 2_000;
/// Default maximum time that a stop waits for requests in progress, in milliseconds.
const DEFAULT_STOP_TIMEOUT_MS: u64 = 120_000;

/// Paths of all fields of the settings file, as `docs/interfaces.md` lists them.
pub const SETTINGS_FIELDS: [&str; 36] = [
    "vm",
    "instance",
    "data_centre",
    "listen.callers",
    "listen.operators",
    "listen.peers",
    "platform.log",
    "platform.vm_list",
    "platform.vm_list_poll_ms",
    "contacts",
    "bootstrap_keys",
    "tls.certificate_chain",
    "tls.private_key",
    "tls.authorities",
    "log.level",
    "log.form",
    "connections.connections",
    "connections.header_ms",
    "connections.header_bytes",
    "connections.header_fields",
    "connections.stall_ms",
    "body.body_bytes",
    "body.silence_ms",
    "body.whole_ms",
    "replay.held_calls",
    "replay.held_bytes",
    "admission.queue_requests",
    "admission.grant_patience_ms",
    "admission.longest_wait_ms",
    "admission.ring_messages",
    "targets.connect_ms",
    "targets.progress_ms",
    "targets.quiet_ms",
    "caller_threads",
    "leave_notice_ms",
    "stop_patience_ms",
];

impl NodeSettings {
    /// Reads settings and reports all findings at once.
    ///
    /// # Errors
    ///
    /// The findings, in the order of their positions in the text.
    pub fn parse(text: &str) -> Result<Self, Vec<Finding>> {
        let findings = Findings::new(text);
        let settings = read_root(&findings, read);
        let findings = findings.into_sorted();
        if findings.is_empty() {
            Ok(settings)
        } else {
            Err(findings)
        }
    }
}

fn read(root: &SettingsObject<'_, '_>) -> NodeSettings {
    root.reject_unknown_fields(&fields_of(""));
    NodeSettings {
        vm: root.text("vm").into(),
        instance: root.text("instance").into(),
        data_centre: root.text("data_centre").into(),
        listen: read_listen(&read_section(root, "listen")),
        platform: read_platform(&read_section(root, "platform")),
        contacts: read_contacts(&root.object_or_empty("contacts")),
        bootstrap_keys: read_bootstrap_keys(&root.object_or_empty("bootstrap_keys")),
        tls: root.object("tls").map(|tls| read_tls(&tls)),
        log: read_log(&read_section(root, "log")),
        connections: read_connections(&read_section(root, "connections")),
        body: read_body_limits(&read_section(root, "body")),
        replay: read_replay(&read_section(root, "replay")),
        admission: read_admission(&read_section(root, "admission")),
        targets: read_targets(&read_section(root, "targets")),
        membership: MembershipSettings::default(),
        orders: OrderSettings::default(),
        caller_threads: root.number("caller_threads", DEFAULT_CALLER_THREADS, 1..=256),
        leave_notice_ms: root.number(
            "leave_notice_ms",
            DEFAULT_LEAVE_NOTICE_MS,
            0..=MAX_DURATION_MS,
        ),
        stop_timeout_ms: root.number(
            "stop_patience_ms",
            DEFAULT_STOP_TIMEOUT_MS,
            0..=MAX_DURATION_MS,
        ),
    }
}

/// Returns the names of the fields of a section, or of the root if `section` is empty.
fn fields_of(section: &str) -> Vec<&'static str> {
    let mut fields: Vec<&'static str> = Vec::new();
    for path in SETTINGS_FIELDS {
        let name = match (path.split_once('.'), section) {
            (Some((first, _)), "") => first,
            (None, "") => path,
            (Some((first, rest)), section) if first == section => rest,
            _ => continue,
        };
        if !fields.contains(&name) {
            fields.push(name);
        }
    }
    fields
}

fn read_section<'r, 'a>(root: &SettingsObject<'r, 'a>, name: &str) -> SettingsObject<'r, 'a> {
    let section = root.object_or_empty(name);
    section.reject_unknown_fields(&fields_of(name));
    section
}

fn read_listen(section: &SettingsObject<'_, '_>) -> ListenSettings {
    let default = ListenSettings::default();
    ListenSettings {
        callers: section.address("callers", default.callers),
        operators: section.address("operators", default.operators),
        peers: section.address("peers", default.peers),
    }
}

fn read_platform(section: &SettingsObject<'_, '_>) -> PlatformSettings {
    let default = PlatformSettings::default();
    PlatformSettings {
        log: section.address("log", default.log),
        vm_list: section.address("vm_list", default.vm_list),
        vm_list_poll_ms: section.number(
            "vm_list_poll_ms",
            default.vm_list_poll_ms,
            50..=DRAIN_POLL_MS,
        ),
    }
}

fn read_contacts(section: &SettingsObject<'_, '_>) -> Vec<(VmName, std::net::SocketAddr)> {
    let default = ListenSettings::default().peers;
    let names = section.names().into_iter();
    names
        .map(|name| (VmName::from(name.as_str()), section.address(&name, default)))
        .collect()
}

fn read_bootstrap_keys(section: &SettingsObject<'_, '_>) -> FastHashMap<String, TeamKey> {
    let fields = ["team", "author", "salt", "hash"];
    let mut keys = FastHashMap::default();
    for key_id in section.names() {
        let entry = section.object_or_empty(&key_id);
        entry.reject_unknown_fields(&fields);
        let teams = Section::ALL.map(|section| (section.name(), section));
        let team = entry.choice("team", Section::Finance, &teams).team();
        let author = entry.text("author");
        let Some(key) = HashedKey::from_hex(&entry.text("salt"), &entry.text("hash")) else {
            entry.add_finding(
                "hash",
                "expected a salt of 32 and a hash of 64 hexadecimal digits",
            );
            continue;
        };
        keys.insert(
            key_id,
            TeamKey {
                team,
                author,
                key,
                not_after_ms: None,
            },
        );
    }
    keys
}

fn read_tls(section: &SettingsObject<'_, '_>) -> TlsFiles {
    section.reject_unknown_fields(&fields_of("tls"));
    TlsFiles {
        certificate_chain: PathBuf::from(section.text("certificate_chain")),
        private_key: PathBuf::from(section.text("private_key")),
        authorities: PathBuf::from(section.text("authorities")),
    }
}

fn read_log(section: &SettingsObject<'_, '_>) -> LogSettings {
    let default = LogSettings::default();
    let levels = [
        ("error", LevelFilter::Error),
        ("warn", LevelFilter::Warn),
        ("info", LevelFilter::Info),
        ("debug", LevelFilter::Debug),
        ("off", LevelFilter::Off),
    ];
    LogSettings {
        level: section.choice("level", default.level, &levels),
        format: section.choice(
            "form",
            default.format,
            &[("json", LogFormat::Json), ("text", LogFormat::Text)],
        ),
    }
}

fn read_connections(section: &SettingsObject<'_, '_>) -> ConnectionLimits {
    let default = ConnectionLimits::default();
    ConnectionLimits {
        max_connections: section.number("connections", default.max_connections, 1..=MAX_COUNT),
        header_timeout_ms: section.number(
            "header_ms",
            default.header_timeout_ms,
            10..=MAX_DURATION_MS,
        ),
        max_header_bytes: section.number(
            "header_bytes",
            default.max_header_bytes,
            8_192..=MAX_BYTES,
        ),
        max_header_fields: section.number("header_fields", default.max_header_fields, 10..=1_000),
        write_timeout_ms: section.number(
            "stall_ms",
            default.write_timeout_ms,
            10..=MAX_DURATION_MS,
        ),
    }
}

fn read_body_limits(section: &SettingsObject<'_, '_>) -> BodyLimits {
    let default = BodyLimits::default();
    BodyLimits {
        max_bytes: section.number("body_bytes", default.max_bytes, 1_024..=MAX_BYTES),
        read_timeout_ms: section.number(
            "silence_ms",
            default.read_timeout_ms,
            10..=MAX_DURATION_MS,
        ),
        total_timeout_ms: section.number(
            "whole_ms",
            default.total_timeout_ms,
            10..=MAX_DURATION_MS,
        ),
    }
}

fn read_replay(section: &SettingsObject<'_, '_>) -> ReplayLimits {
    let default = ReplayLimits::default();
    ReplayLimits {
        max_calls: section.number("held_calls", default.max_calls, 1_024..=MAX_COUNT),
        max_response_bytes: section.number("held_bytes", default.max_response_bytes, 0..=MAX_BYTES),
    }
}

fn read_admission(section: &SettingsObject<'_, '_>) -> AdmissionSettings {
    let default = AdmissionSettings::default();
    AdmissionSettings {
        max_queued_requests: section.number(
            "queue_requests",
            default.max_queued_requests,
            1..=MAX_COUNT,
        ),
        grant_timeout_ms: section.number(
            "grant_patience_ms",
            default.grant_timeout_ms,
            0..=MAX_DURATION_MS,
        ),
        max_wait_ms: section.number("longest_wait_ms", default.max_wait_ms, 1..=MAX_DURATION_MS),
        ring_capacity: section.number("ring_messages", default.ring_capacity, 16..=MAX_COUNT),
    }
}

fn read_targets(section: &SettingsObject<'_, '_>) -> ClientSettings {
    let default = ClientSettings::default();
    ClientSettings {
        connect_timeout_ms: section.number(
            "connect_ms",
            default.connect_timeout_ms,
            1..=MAX_DURATION_MS,
        ),
        read_timeout_ms: section.number(
            "progress_ms",
            default.read_timeout_ms,
            1..=MAX_DURATION_MS,
        ),
        standby_after_ms: section.number("quiet_ms", default.standby_after_ms, 1..=MAX_DURATION_MS),
        ..default
    }
}
