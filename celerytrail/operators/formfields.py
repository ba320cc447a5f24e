"""The fields of the console's forms, with their help texts for operators."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

FieldKind = Literal[
    "text", "whole", "number", "choice", "refer", "lines", "flag", "rows"
]


@dataclass(frozen=True, kw_only=True, slots=True)
class Field:
    """One field of a form.

    Parameters
    ----------
    name : str
        The field's name in the document.
    label : str
        The label in the form, with the unit.
    help : str
        What the field does and what follows from a change, in plain words.
    kind : FieldKind
        The kind of input: ``refer`` selects names from the list ``source``, ``lines``
        takes one name per line and ``rows`` is a table with ``columns``.
    is_optional : bool
        Whether an empty field means null.
    choices : tuple of str
        For ``choice``: the options.
    source : str
        For ``refer``: the document's list that contains the names.
    is_many : bool
        For ``refer``: whether any number of names may be selected.
    columns : tuple of Field
        For ``rows``: the fields of a row.
    """

    name: str
    label: str
    help: str = ""
    kind: FieldKind = "text"
    is_optional: bool = False
    choices: tuple[str, ...] = ()
    source: str = ""
    is_many: bool = False
    columns: tuple[Field, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Form:
    """The form for the entries of one list.

    Parameters
    ----------
    kind : str
        The list's name in the document.
    title, one : str
        The heading of the list and the noun for one of its entries.
    intro : str
        What the entries are for and what follows from a change.
    fields : tuple of Field
        The fields of an entry.
    """

    kind: str
    title: str
    one: str
    intro: str
    fields: tuple[Field, ...]


_ROLE = Field(
    name="role",
    label="Role",
    kind="choice",
    choices=("serve", "drain"),
    help="With serve it gets new work. With drain it gets none, within seconds of the"
    " version being in force, and finishes what it has; nothing is cut.",
)
_ADDRESS = Field(
    name="address",
    label="Address",
    help="IP number and port, such as 10.1.2.3:8000. Host names are not taken.",
)
_DOMAIN = Field(
    name="failure_domain",
    label="Failure domain",
    help="Where it runs; what shares a failure domain may fail together.",
)
_REGION = Field(
    name="region",
    label="Region",
    is_optional=False,
    help="Its region; nodes use the engines of their own region. May be empty.",
)
_VM = Field(name="vm", label="VM", help="The VM it runs on, if known. May be empty.")

_MODELS = Form(
    kind="models",
    title="Models",
    one="model",
    intro="A model is what callers name in a request. Where it runs is stated with the"
    " engines. When the version changes, engines are ordered to load it one by one;"
    " answers in progress end on the version they began with.",
    fields=(
        Field(
            name="name",
            label="Name",
            help="What callers write as “model”. Changing it makes requests under the"
            " old name fail with “no such model”.",
        ),
        Field(
            name="version",
            label="Version of the weights",
            help="The version in the weight store that engines should load.",
        ),
        Field(
            name="n_context_tokens",
            label="Context (tokens)",
            kind="whole",
            help="The most tokens that a prompt and its answer may hold together."
            " A request whose prompt is longer is refused at once as not run.",
        ),
    ),
)
_ADAPTERS = Form(
    kind="adapters",
    title="Adapters",
    one="adapter",
    intro="An adapter changes a model for one purpose. Callers name it as"
    " model:adapter. It runs only on engines that list it.",
    fields=(
        Field(name="name", label="Name", help="The part behind the colon."),
        Field(
            name="model",
            label="Model",
            kind="refer",
            source="models",
            help="The model that it belongs to.",
        ),
        Field(
            name="version",
            label="Version",
            help="The version in the weight store that engines should load.",
        ),
    ),
)
_ORGANISATIONS = Form(
    kind="organisations",
    title="Organisations",
    one="organisation",
    intro="An organisation is who may call, with which keys, how urgently and how much."
    " Changes hold for new requests; answers in progress go on as they began.",
    fields=(
        Field(
            name="name",
            label="Name",
            help="Stands in logs, figures and idempotency records. With a new name an"
            " old idempotency key is no longer recognised, so a filing could run again:"
            " rename only when nothing is being filed.",
        ),
        Field(
            name="key_digests",
            label="Keys (SHA-256, one a line)",
            kind="lines",
            help="The digests of its API keys; keys themselves are kept nowhere. Use"
            " the button below for a new key. A line that is removed stops that key"
            " within seconds.",
        ),
        Field(
            name="priority",
            label="Priority (0 to 9)",
            kind="whole",
            help="9 goes first. Where engines are crowded, requests of a lower priority"
            " wait longer and are refused first.",
        ),
        Field(
            name="weight",
            label="Weight",
            kind="number",
            help="Its share of a crowded engine among those of the same priority: with"
            " 2 it gets twice the tokens of one with 1. Over 0, at most 1000.",
        ),
        Field(
            name="n_tokens_per_second",
            label="Limit: tokens a second",
            kind="whole",
            is_optional=True,
            help="Generated tokens a second over all nodes. What is over it is refused"
            " as not run, with a time to come back. Empty for no limit.",
        ),
        Field(
            name="n_concurrent",
            label="Limit: generations at one time",
            kind="whole",
            is_optional=True,
            help="Over all nodes. What is over it is refused as not run, with a time to"
            " come back. Empty for no limit.",
        ),
        Field(
            name="models",
            label="Models it may use",
            kind="refer",
            source="models",
            is_many=True,
            help="None chosen means all of them.",
        ),
        Field(
            name="services",
            label="Services it may call",
            kind="refer",
            source="services",
            is_many=True,
            help="None chosen means all of them.",
        ),
    ),
)
_ENGINES = Form(
    kind="engines",
    title="Engines",
    one="engine",
    intro="An engine runs one model with some adapters. The system compares what is"
    " written here with what the engine reports and orders the difference. Before you"
    " take an engine away, set its role to drain and wait until it is idle.",
    fields=(
        Field(name="name", label="Name", help="Unique among engines and endpoints."),
        _ADDRESS,
        _DOMAIN,
        _REGION,
        _VM,
        Field(
            name="model",
            label="Model",
            kind="refer",
            source="models",
            help="The model it should have loaded.",
        ),
        Field(
            name="adapters",
            label="Adapters (one a line)",
            kind="lines",
            help="Adapters of that model it should have loaded, by name.",
        ),
        _ROLE,
        Field(
            name="fencing",
            label="Old fencing numbers",
            kind="choice",
            choices=("honoured", "ignored"),
            help="Honoured: the engine refuses an order from a node that lost its"
            " lease. Ignored: it takes any order, so after a node was paused an old"
            " order may come late; the next comparison repairs it.",
        ),
    ),
)
_SERVICES = Form(
    kind="services",
    title="Services",
    one="service",
    intro="A plain service is called through the system but is no model, such as the"
    " booking records. An operation that may not be repeated needs an idempotency key"
    " from callers, and runs at most once for each key.",
    fields=(
        Field(
            name="name",
            label="Name",
            help="Stands in the callers' path: /v1/services/NAME/OPERATION.",
        ),
        Field(
            name="operations",
            label="Operations",
            kind="rows",
            help="Mark as repeatable only what does no harm when it runs twice, such as"
            " reading a status. An empty name removes a row.",
            columns=(
                Field(name="name", label="Name"),
                Field(name="idempotent", label="May be repeated", kind="flag"),
            ),
        ),
        Field(
            name="endpoints",
            label="Endpoints",
            kind="rows",
            help="Where the service runs. With the role drain an endpoint gets no new"
            " call and finishes what it has. An empty name removes a row.",
            columns=(
                Field(name="name", label="Name"),
                Field(name="address", label="IP:PORT"),
                Field(name="failure_domain", label="Failure domain"),
                Field(name="region", label="Region"),
                Field(name="vm", label="VM"),
                Field(
                    name="role", label="Role", kind="choice", choices=("serve", "drain")
                ),
            ),
        ),
    ),
)

FORMS = {
    form.kind: form
    for form in (_MODELS, _ADAPTERS, _ENGINES, _SERVICES, _ORGANISATIONS)
}
