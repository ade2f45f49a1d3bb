"""Adapter to the users' platform: header names, formats and API calls.

Input from the platform is validated and decoded here, once, into the types of
`marjoramstage.state` and `marjoramstage.protocol`. No decisions are taken here.
"""

from marjoramstage.platform._config import decode_table
from marjoramstage.platform._customers import ConfigSealer
from marjoramstage.platform._headers import (
    CallerHeaders,
    answer_headers,
    caller_headers,
    described_headers,
    limit_notice,
    order_headers,
    proves_not_run,
    request_id_of,
    target_headers,
    target_notice,
)
from marjoramstage.platform._orders import (
    decode_order_answer,
    decode_report,
    encode_order,
)
from marjoramstage.platform._origins import decode_origins, encode_origins
from marjoramstage.platform._settings import SETTINGS_VARIABLE, load_node_settings
from marjoramstage.platform._store import (
    CONFIG,
    LEASES,
    QUARANTINES,
    STREAM_ORIGINS,
    TARGETS,
    ObjectStore,
)
from marjoramstage.platform._targets import decode_target

CONFIG_NAME = "main"
READY_PATH = "/api/ready"
REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"

__all__ = [
    "CONFIG",
    "CONFIG_NAME",
    "LEASES",
    "ORDER_PATH",
    "QUARANTINES",
    "READY_PATH",
    "REPORT_PATH",
    "SETTINGS_VARIABLE",
    "STREAM_ORIGINS",
    "TARGETS",
    "CallerHeaders",
    "ConfigSealer",
    "ObjectStore",
    "answer_headers",
    "caller_headers",
    "decode_order_answer",
    "decode_origins",
    "decode_report",
    "decode_table",
    "decode_target",
    "described_headers",
    "encode_order",
    "encode_origins",
    "limit_notice",
    "load_node_settings",
    "order_headers",
    "proves_not_run",
    "request_id_of",
    "target_headers",
    "target_notice",
]
