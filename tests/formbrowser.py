"""A browser without scripts that reads pages, fills in forms and presses buttons."""

from __future__ import annotations

from dataclasses import dataclass, field
from html.parser import HTMLParser
from urllib.parse import urlencode

VOID = {"meta", "link", "input", "br", "hr", "img"}


@dataclass
class Form:
    action: str
    enctype: str = ""
    fields: list = field(default_factory=list)
    buttons: list = field(default_factory=list)


class Page(HTMLParser):
    """Parses a page; ``problems`` lists the faults in its HTML."""

    def __init__(self, status, headers, text):
        super().__init__(convert_charrefs=True)
        self.status, self.headers, self.html = status, headers, text
        self.forms, self.by_id, self.problems = [], {}, []
        self.labelled_ids, self.controls, self.n_captions = set(), [], 0
        self.texts, self.headings, self.ids, self.tags = [], [], [], []
        self._stack, self._form, self._select, self._textarea = [], None, None, None
        self._button = None
        self.feed(text)
        self.close()
        if self._stack:
            self.problems.append(f"never closed: {self._stack}")
        for control in self.controls:
            if control not in self.labelled_ids:
                self.problems.append(f"control {control!r} has no label")
        for repeated in {i for i in self.ids if self.ids.count(i) > 1}:
            self.problems.append(f"id {repeated!r} is used twice")

    @property
    def text(self):
        return " ".join(" ".join(self.texts).split())

    def handle_starttag(self, tag, attrs):
        attributes = dict(attrs)
        self.tags.append(tag)
        if len(attributes) < len(attrs):
            self.problems.append(f"repeated attribute in {self.get_starttag_text()}")
        if "id" in attributes:
            self.ids.append(attributes["id"])
        if tag not in VOID:
            self._stack.append(tag)
        if tag == "form":
            form = Form(attributes["action"], attributes.get("enctype", ""))
            self._form = form
            self.forms.append(form)
            if "id" in attributes:
                self.by_id[attributes["id"]] = form
        elif tag == "label":
            self.labelled_ids.add(attributes.get("for"))
        elif tag in ("h1", "h2", "h3"):
            self.headings.append(tag)
        elif tag == "caption":
            self.n_captions += 1
        elif tag == "button":
            form = self.by_id.get(attributes.get("form"), self._form)
            self._button = [attributes.get("name"), attributes.get("value", ""), ""]
            form.buttons.append(self._button)
        elif tag == "input":
            self._input(attributes)
        elif tag == "select":
            self.controls.append(attributes.get("id"))
            self._select = [attributes["name"], None]
        elif tag == "option":
            if self._select[1] is None or "selected" in attributes:
                self._select[1] = attributes.get("value")
                self._is_option_text = "value" not in attributes
            else:
                self._is_option_text = False
        elif tag == "textarea":
            self.controls.append(attributes.get("id"))
            self._textarea = [attributes["name"], ""]

    def _input(self, attributes):
        kind = attributes.get("type", "text")
        if kind != "hidden":
            self.controls.append(attributes.get("id"))
        if kind == "checkbox":
            value = attributes.get("value") if "checked" in attributes else None
        else:
            value = attributes.get("value", "")
        if kind != "file":
            self._form.fields.append([attributes["name"], value])

    def handle_endtag(self, tag):
        if not self._stack or self._stack.pop() != tag:
            self.problems.append(f"unexpected </{tag}> at {self.getpos()}")
        if tag == "form":
            self._form = None
        elif tag == "select":
            self._form.fields.append(self._select)
            self._select = None
        elif tag == "textarea":
            self._textarea[1] = self._textarea[1].removeprefix("\n")
            self._form.fields.append(self._textarea)
            self._textarea = None
        elif tag == "button":
            self._button = None

    def handle_data(self, data):
        if self._textarea is not None:
            self._textarea[1] += data
            return
        if self._select is not None and self._stack[-1] == "option":
            if self._is_option_text:
                self._select[1] = data.strip()
                self._is_option_text = False
            return
        if self._button is not None:
            self._button[2] += data
        self.texts.append(data)

    def button(self, label):
        """Return the form and the button that has this text or value."""
        for form in self.forms:
            for button in form.buttons:
                if label in (button[2].strip(), button[1]):
                    return form, button
        raise AssertionError(f"no button {label!r} in: {self.text[:2000]}")


class Browser:
    """Sends requests; holds the session cookie and the current page."""

    def __init__(self, client, address):
        self.client, self.address = client, address
        self.cookie = ""
        self.page = None

    async def get(self, path):
        return await self._send("GET", path, b"", {})

    async def press(self, label, **inputs):
        """Fill in fields (name="value", a list for checkboxes) and press a button.

        A double underscore in a name stands for a dot.
        """
        form, button = self.page.button(label)
        inputs = {name.replace("__", "."): value for name, value in inputs.items()}
        fields = []
        for name, value in form.fields:
            if name in inputs:
                continue
            if value is not None:
                fields.append((name, value))
        for name, value in inputs.items():
            values = value if isinstance(value, list) else [value]
            fields.extend((name, item) for item in values if item is not None)
        if button[0]:
            fields.append((button[0], button[1]))
        return await self.post(form.action, fields)

    async def post(self, path, fields, **headers):
        body = urlencode(fields).encode()
        all_headers = {"content-type": "application/x-www-form-urlencoded", **headers}
        return await self._send("POST", path, body, all_headers)

    async def _send(self, method, path, body, headers):
        if self.cookie:
            headers = {**headers, "cookie": self.cookie}
        outcome = await self.client.request(
            self.address, method, path, body=body, headers=headers
        )
        res = outcome.ok_value
        if "set-cookie" in res.headers:
            self.cookie = res.headers["set-cookie"].partition(";")[0]
        if res.status == 303:
            return await self.get(res.headers["location"])
        self.page = Page(res.status, res.headers, res.body.decode())
        return self.page
