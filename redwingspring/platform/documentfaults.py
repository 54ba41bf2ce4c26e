"""Faults for which a host refuses a configuration, with their places."""

import re
from dataclasses import dataclass
from typing import get_args, get_origin

from msgspec import MsgspecError, Struct, convert, json, structs

from ..errors import DocumentError
from .documents import Configuration, list_unknown_services, read_configuration

# The decoder appends the path to its message, and for malformed JSON the offset.
_PATH = re.compile(r"(?s)(.*) - at `\$(.*)`")
_OFFSET = re.compile(r"\(byte (\d+)\)$")


@dataclass(frozen=True)
class DocumentFault:
    """A fault of a document.

    Attributes
    ----------
    path : str
        Path of the faulty value, such as ``$.services[0].name``.
    message : str
        What is wrong; contains no value of the document but names.
    offset : int or None, default=None
        Position in bytes where JSON is malformed.
    """

    path: str
    message: str
    offset: int | None = None


def list_faults(value):
    """Return the faults for which a host refuses a configuration.

    Parameters
    ----------
    value : bytes
        The document.

    Returns
    -------
    list of DocumentFault
        Empty for a document that a host accepts.
    """
    try:
        document = json.decode(value)
    except (MsgspecError, UnicodeDecodeError, RecursionError) as error:
        match = _OFFSET.search(str(error))
        offset = int(match[1]) if match else len(value)
        return [DocumentFault("$", str(error), offset)]
    try:
        read_configuration(value)
    except DocumentError as error:
        # The parts are converted from decoded JSON, which hides for example a field
        # that is given twice.
        refusal = _build_fault("$", error.__cause__)
    else:
        return []
    faults = _check_value("$", document, Configuration) or [refusal]
    if [fault.path for fault in faults] == ["$"] and isinstance(document, dict):
        return _list_cross_faults(document) or faults
    return faults


def _check_value(path, value, model):
    """Return the faults of a value and of its parts.

    The decoder stops at the first fault, so each part is also checked by itself.
    """
    try:
        convert(value, type=model)
    except MsgspecError as error:
        faults = [_build_fault(path, error)]
    else:
        return []
    faults += _list_missing_fields(path, value, model)
    for part_path, part, part_model in _list_parts(path, value, model):
        faults += _check_value(part_path, part, part_model)
    return list(dict.fromkeys(faults))


def _build_fault(path, error):
    """Return the fault that an error of the decoder reports about a value."""
    match = _PATH.fullmatch(str(error))
    message, suffix = match.groups() if match else (str(error), "")
    return DocumentFault(path + suffix, message)


def _list_parts(path, value, model):
    """Yield path, value and model of each part of a value."""
    if isinstance(value, list) and get_origin(model) in (list, tuple):
        for index, part in enumerate(value):
            yield f"{path}[{index}]", part, get_args(model)[0]
    elif isinstance(value, dict) and _is_struct(model):
        for field in structs.fields(model):
            if field.encode_name in value:
                name = field.encode_name
                yield f"{path}.{name}", value[name], field.type


def _list_missing_fields(path, value, model):
    if not isinstance(value, dict) or not _is_struct(model):
        return []
    return [
        DocumentFault(path, f"Object missing required field `{field.encode_name}`")
        for field in structs.fields(model)
        if field.required and field.encode_name not in value
    ]


def _is_struct(model):
    return isinstance(model, type) and issubclass(model, Struct)


def _list_cross_faults(document):
    """Return the faults of a document whose parts are valid by themselves."""
    models = {field.name: field.type for field in structs.fields(Configuration)}
    if not {"config_version", "services", "virtual_hosts"} <= document.keys():
        return []
    services = convert(document["services"], type=models["services"])
    virtual_hosts = convert(document["virtual_hosts"], type=models["virtual_hosts"])
    unknown = list_unknown_services(services, virtual_hosts)
    faults = [DocumentFault(path, message) for path, message in unknown]
    if faults:
        return faults
    # What remains is two tenants with the same name or key.
    return [
        DocumentFault("$.tenants", fault.message)
        for fault in _check_value("$", document, Configuration)
    ]
