"""Reads the settings file of a machine: lines of the form ``a.b=value``."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from marjoramstage.exceptions import ConfigError
from marjoramstage.state.node_settings import (
    DEFAULT_LINK_BYTES_PER_S,
    DEFAULT_MAX_DESCRIPTORS,
    DEFAULT_MEMORY_BYTES,
    NodeBounds,
    NodeSettings,
)

SETTINGS_VARIABLE = "MARJORAMSTAGE_NODE_FILE"
MS = 0.001
BYTES_PER_S_PER_MBPS = 125_000.0
BYTES_PER_MB = 1_000_000

_REQUIRED = (
    "node_name",
    "ip",
    "zone",
    "listen.front",
    "listen.ready",
    "platform.addr",
    "port_range",
)


def load_node_settings(path: str) -> NodeSettings:
    """Read a settings file; unknown fields are ignored.

    Raises
    ------
    ConfigError
        The file cannot be read, or a field is missing or invalid.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigError((f"{path}: {exc}",)) from exc
    return parse_node_settings(text, path)


def parse_node_settings(text: str, path: str = "settings") -> NodeSettings:
    """Parse the text of a settings file; raises like `load_node_settings`."""
    fields: dict[str, str] = {}
    for line in text.splitlines():
        key, found, value = line.partition("=")
        if found:
            fields[key.strip()] = value.strip()
    problems = [f"{path}: {key} is missing" for key in _REQUIRED if not fields.get(key)]
    if problems:
        raise ConfigError(tuple(problems))
    try:
        return _node_settings(fields)
    except ValueError as exc:
        raise ConfigError((f"{path}: {exc}",)) from exc


def _node_settings(fields: Mapping[str, str]) -> NodeSettings:
    first, _, last = fields.get("port_range", "").partition(",")
    peer_ports = tuple(range(int(first), int(last) + 1)) if first and last else ()
    return NodeSettings(
        name=fields["node_name"],
        ip=fields["ip"],
        data_centre=fields["zone"],
        callers_address=fields["listen.front"],
        ready_address=fields["listen.ready"],
        platform_address=fields["platform.addr"],
        peer_ports=peer_ports,
        first_start=fields.get("bootstrap") == "true",
        link_bytes_per_s=_link_bytes_per_s(fields),
        memory_bytes=_memory_bytes(fields),
        max_descriptors=int(fields.get("limits.max_fds") or DEFAULT_MAX_DESCRIPTORS),
        bounds=_bounds(fields),
    )


def _memory_bytes(fields: Mapping[str, str]) -> int:
    text = fields.get("limits.memory_mb")
    return int(float(text) * BYTES_PER_MB) if text else DEFAULT_MEMORY_BYTES


def _link_bytes_per_s(fields: Mapping[str, str]) -> float:
    text = fields.get("limits.link_mbps")
    return float(text) * BYTES_PER_S_PER_MBPS if text else DEFAULT_LINK_BYTES_PER_S


def _bounds(fields: Mapping[str, str]) -> NodeBounds:
    default = NodeBounds()

    def figure(key: str, fallback: float, unit: float = 1.0) -> float:
        text = fields.get(f"bounds.{key}")
        return float(text) * unit if text else fallback

    return NodeBounds(
        drain_s=figure("drain_ms", default.drain_s, MS),
        config_s=figure("config_ms", default.config_s, MS),
        grace_s=figure("grace_s", default.grace_s),
        retry_ratio=figure("budget_ratio", default.retry_ratio),
        retry_extra=figure("budget_extra", default.retry_extra),
        retry_window_s=figure("budget_window_s", default.retry_window_s),
        lease_s=figure("lease_ms", default.lease_s, MS),
        load_window_s=figure("ceiling_window_s", default.load_window_s),
        load_headroom=figure("ceiling_over", default.load_headroom),
        quota_window_s=figure("quota_window_s", default.quota_window_s),
        quota_over=figure("quota_over", default.quota_over),
        quota_slack=figure("quota_slack", default.quota_slack),
        checks_fence=fields.get("bounds.checks_fence", "true") == "true",
    )
