"""Write the Thrift structs of peers.thrift as Python classes.

Parsing the IDL takes a good part of the processor time of a start, so the classes
are committed: ``python tools/generate_structs.py``.
"""

from pathlib import Path

import thriftpy2
from thriftpy2.thrift import TType

PROTOCOL = Path(__file__).resolve().parent.parent / "src/marjoramstage/protocol"
IDL = PROTOCOL / "peers.thrift"
TARGET = PROTOCOL / "_peers_structs.py"
HEAD = '''"""Thrift structs of the messages between instances.

Generated from ``peers.thrift`` by ``tools/generate_structs.py``; not edited by hand.
"""

from thriftpy2.thrift import TPayload, TType
'''


def load_idl():
    """Parse the IDL; return a module with its structs."""
    return thriftpy2.load(str(IDL), "peers_thrift")


def _type_name(code):
    return f"TType.{TType._VALUES_TO_NAMES[code]}"


def _spec(item):
    """Return the type of an element, as source code."""
    if not isinstance(item, tuple):
        return _type_name(item)
    code, detail = item
    return f"({_type_name(code)}, {_detail(code, detail)})"


def _detail(code, detail):
    """Return the parameters of a type, as source code."""
    if code == TType.STRUCT:
        return detail.__name__
    if code == TType.MAP:
        return f"({', '.join(_spec(item) for item in detail)})"
    return _spec(detail)


def _field(entry):
    """Return the entry of a field, as source code."""
    code, name, *details, required = entry
    parts = [_type_name(code), f'"{name}"']
    parts += [_detail(code, detail) for detail in details]
    return f"({', '.join([*parts, str(required)])})"


def _struct(cls):
    """Return a struct as source code."""
    lines = ["", "", f"class {cls.__name__}(TPayload):"]
    lines.append(f'    """Struct ``{cls.__name__}`` of the IDL."""')
    lines += ["", "    thrift_spec = {  # noqa: RUF012"]
    for number, entry in sorted(cls.thrift_spec.items()):
        lines.append(f"        {number}: {_field(entry)},")
    lines += ["    }", "    default_spec = [  # noqa: RUF012"]
    lines += [f'        ("{name}", {value!r}),' for name, value in cls.default_spec]
    return [*lines, "    ]"]


def source():
    """Return the source of the module."""
    idl = load_idl()
    lines = [HEAD.rstrip("\n")]
    for cls in idl.__thrift_meta__["structs"]:
        lines += _struct(cls)
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    TARGET.write_text(source())
