"""Names of the events that processes log."""

from enum import Enum


class LogEvent(Enum):
    """Stable names; docs/OPERATIONS.md says what to do about each."""

    # Programs.
    NODE_STARTED = "node_started"
    NODE_STOPPED = "node_stopped"
    CONTROL_STARTED = "control_started"
    CONTROL_STOPPED = "control_stopped"
    STOP_REQUESTED = "stop_asked"
    CALLERS_DRAINED = "callers_drained"
    HOST_DRAINED = "host_drained"
    LISTEN_FAILED = "listen_failed"
    SETTINGS_RELOADED = "settings_reloaded"
    SETTINGS_RELOAD_FAILED = "settings_reload_failed"
    TLS_RELOADED = "tls_reloaded"
    TLS_RELOAD_FAILED = "tls_reload_failed"
    LINK_MESSAGE_INVALID = "link_message_invalid"
    ENDPOINT_FAILED = "endpoint_failed"
    REQUEST_FAILED = "request_failed"
    REQUEST_ENDED = "request_ended"
    REQUEST_LINES_OMITTED = "request_lines_omitted"
    CONTROL_CALL_FAILED = "control_call_failed"

    # Targets and paths.
    TARGET_CONDITION_CHANGED = "target_condition_changed"
    TARGET_PROBE_CHANGED = "target_probe_changed"
    PATH_LOST = "path_lost"
    PATH_FOUND = "path_found"
    DRAIN_SET = "drain_set"

    # Registry.
    REGISTRY_LOST = "registry_lost"
    REGISTRY_REACHABLE = "registry_reachable"
    HOSTS_EXPIRED = "hosts_expired"
    EXPIRY_HELD = "expiry_held"
    EXPIRY_RESUMED = "expiry_resumed"
    REGISTRY_TABLE_HELD = "registry_table_held"
    HOST_RECORDS_SKIPPED = "host_records_skipped"
    REGISTRY_CHANGE_LOST = "registry_change_lost"
    REGISTRY_LEADERSHIP_GAINED = "registry_lead_gained"
    REGISTRY_LEADERSHIP_LOST = "registry_lead_lost"

    # Replicated log.
    REPLICA_OPENED = "replica_opened"
    LOG_TAIL_TRUNCATED = "log_tail_cut"
    LOG_CORRUPT = "log_corrupt"
    DISK_FAILED = "disk_failed"
    GROUP_FORMED = "group_formed"
    GROUP_JOINED = "group_joined"
    MEMBERSHIP_CHANGE_STARTED = "membership_change_started"
    LEADERSHIP_HANDED_OVER = "lead_handed_over"
    GROUP_PLACEMENT_MISMATCH = "group_placed_otherwise"
    LEADERSHIP_TRANSFERRED = "lead_transferred"
    LEADERSHIP_NOT_TRANSFERRED = "lead_not_transferred"
    SNAPSHOT_WRITTEN = "snapshot_written"
    SNAPSHOT_INSTALLED = "snapshot_installed"
    REPLICATION_LINK_DOWN = "replication_link_down"
    REPLICATION_LINK_UP = "replication_link_up"
    REPLICATION_GROUP_UNKNOWN = "replication_group_unknown"
    APPLY_FAILED = "apply_failed"

    # Actions and the ledger.
    LEDGER_OPENED = "ledger_opened"
    LEDGER_NOT_OPENED = "ledger_not_opened"
    CLAIM_RESOLVED = "claim_resolved"
    ACTION_END_NOT_RECORDED = "action_end_not_recorded"
    ACTION_FAILED = "action_failed"
    LEDGER_CALL_FAILED = "ledger_call_failed"
    LEDGER_LEADER_ELSEWHERE = "ledger_not_led_here"

    # Document and operators.
    LEADER_CONTACT_UNKNOWN = "leader_contact_unknown"
    DOCUMENT_IN_FORCE = "document_in_force"
    DOCUMENT_SOURCE_FAILED = "document_source_failed"
    DOCUMENT_HINT_NOT_FOLLOWED = "document_hint_not_followed"
    DOCUMENT_FILE_INVALID = "document_file_invalid"
    DOCUMENT_SAVE_FAILED = "document_save_failed"
    DOCUMENT_NOT_REPLACED = "document_not_replaced"
    DOCUMENT_NOT_INITIALIZED = "document_not_founded"
    INITIAL_DOCUMENT_INVALID = "initial_document_invalid"
    IN_FORCE_REPORT_FAILED = "in_force_report_failed"
    HOST_DRAIN_SET = "host_drain_set"
    TARGET_DRAIN_SET = "target_drain_set"
    REPLICA_REPLACED = "replica_replaced"
