"""State dump of the configuration node, as JSON data."""

from __future__ import annotations

from typing import Any

from marjoramstage.coordination.config_node import ConfigNode
from marjoramstage.coordination.membership import Member


def dump_node(node: ConfigNode, now_s: float) -> dict[str, Any]:
    """Return the node's view of instances, generations and leaving targets."""
    gossiper, distributor = node.gossiper, node.distributor
    members = gossiper.membership.members
    fetching = distributor.fetching
    return {
        "incarnation": gossiper.membership.own.incarnation,
        "state": gossiper.membership.own.state.name.lower(),
        "watcher": node.is_watcher(now_s),
        "bridge": gossiper.is_bridge(now_s),
        "root": distributor.head.root if distributor.head else "",
        "fetching": fetching.generation if fetching else 0,
        "refused_documents": distributor.refused_documents,
        "members": [_member(m, now_s) for _, m in sorted(members.items())],
        "data_centres": data_centres(node, now_s),
        "leaving_targets": sorted({known.target for known in gossiper.leaving}),
    }


def data_centres(node: ConfigNode, now_s: float) -> list[dict[str, Any]]:
    """Return the generation in force in each data centre, the local one first."""
    gossiper = node.gossiper
    summary = gossiper.summary(node.distributor.head, now_s)
    known = [(summary, now_s), *gossiper.summaries.known()]
    return [
        {
            "data_centre": summary.data_centre,
            "instances": summary.live,
            "generation": summary.generation,
            "behind": list(summary.behind),
            "heard_s_ago": round(now_s - heard_s, 1),
        }
        for summary, heard_s in known
    ]


def _member(member: Member, now_s: float) -> dict[str, Any]:
    entry = member.entry
    return {
        "name": entry.name,
        "incarnation": entry.incarnation,
        "liveness": member.liveness(now_s).value,
        "generation": entry.generation,
        "heard_s_ago": round(now_s - member.heard_s, 1),
    }
