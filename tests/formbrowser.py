"""A browser without scripts: it reads pages, fills in forms and presses buttons."""

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
    """A parsed page; ``problems`` tells what is wrong with its HTML."""

    def __init__(self, status, headers, text):
        super().__init__(convert_charrefs=True)
        self.status, self.headers, self.html = status, headers, text
        self.forms, self.by_id, self.problems = [], {}, []
        self.labelled, self.controls, self.captions = set(), [], 0
        self.words, self.headings, self.ids, self.tags = [], [], [], []
        self._stack, self._form, self._select, self._area = [], None, None, None
        self._button = None
        self.feed(text)
        self.close()
        if self._stack:
            self.problems.append(f"never closed: {self._stack}")
        for one in self.controls:
            if one not in self.labelled:
                self.problems.append(f"control {one!r} has no label")
        for one in {i for i in self.ids if self.ids.count(i) > 1}:
            self.problems.append(f"id {one!r} stands twice")

    @property
    def text(self):
        return " ".join(" ".join(self.words).split())

    def handle_starttag(self, tag, pairs):
        found = dict(pairs)
        self.tags.append(tag)
        if len(found) < len(pairs):
            self.problems.append(f"doubled attribute in {self.get_starttag_text()}")
        if "id" in found:
            self.ids.append(found["id"])
        if tag not in VOID:
            self._stack.append(tag)
        if tag == "form":
            form = Form(found["action"], found.get("enctype", ""))
            self._form = form
            self.forms.append(form)
            if "id" in found:
                self.by_id[found["id"]] = form
        elif tag == "label":
            self.labelled.add(found.get("for"))
        elif tag in ("h1", "h2", "h3"):
            self.headings.append(tag)
        elif tag == "caption":
            self.captions += 1
        elif tag == "button":
            form = self.by_id.get(found.get("form"), self._form)
            self._button = [found.get("name"), found.get("value", ""), ""]
            form.buttons.append(self._button)
        elif tag == "input":
            self._input(found)
        elif tag == "select":
            self.controls.append(found.get("id"))
            self._select = [found["name"], None]
        elif tag == "option":
            if self._select[1] is None or "selected" in found:
                self._select[1] = found.get("value")
                self._is_option_text = "value" not in found
            else:
                self._is_option_text = False
        elif tag == "textarea":
            self.controls.append(found.get("id"))
            self._area = [found["name"], ""]

    def _input(self, found):
        kind = found.get("type", "text")
        if kind != "hidden":
            self.controls.append(found.get("id"))
        if kind == "checkbox":
            value = found.get("value") if "checked" in found else None
        else:
            value = found.get("value", "")
        if kind != "file":
            self._form.fields.append([found["name"], value])

    def handle_endtag(self, tag):
        if not self._stack or self._stack.pop() != tag:
            self.problems.append(f"</{tag}> does not fit at {self.getpos()}")
        if tag == "form":
            self._form = None
        elif tag == "select":
            self._form.fields.append(self._select)
            self._select = None
        elif tag == "textarea":
            self._area[1] = self._area[1].removeprefix("\n")
            self._form.fields.append(self._area)
            self._area = None
        elif tag == "button":
            self._button = None

    def handle_data(self, data):
        if self._area is not None:
            self._area[1] += data
            return
        if self._select is not None and self._stack[-1] == "option":
            if self._is_option_text:
                self._select[1] = data.strip()
                self._is_option_text = False
            return
        if self._button is not None:
            self._button[2] += data
        self.words.append(data)

    def button(self, label):
        """Return the form and the button that has this text or value."""
        for form in self.forms:
            for button in form.buttons:
                if label in (button[2].strip(), button[1]):
                    return form, button
        raise AssertionError(f"no button {label!r} in: {self.text[:2000]}")


class Browser:
    """Keeps the cookie and the current page."""

    def __init__(self, client, address):
        self.client, self.address = client, address
        self.cookie = ""
        self.page = None

    async def get(self, path):
        return await self._send("GET", path, b"", {})

    async def press(self, label, **typed):
        """Type into fields (name="value", a list for checkboxes) and press a button."""
        form, button = self.page.button(label)
        typed = {name.replace("__", "."): value for name, value in typed.items()}
        fields = []
        for name, value in form.fields:
            if name in typed:
                continue
            if value is not None:
                fields.append((name, value))
        for name, value in typed.items():
            values = value if isinstance(value, list) else [value]
            fields.extend((name, one) for one in values if one is not None)
        if button[0]:
            fields.append((button[0], button[1]))
        return await self.post(form.action, fields)

    async def post(self, path, fields, **headers):
        body = urlencode(fields).encode()
        whole = {"content-type": "application/x-www-form-urlencoded", **headers}
        return await self._send("POST", path, body, whole)

    async def _send(self, method, path, body, headers):
        if self.cookie:
            headers = {**headers, "cookie": self.cookie}
        made = await self.client.request(
            self.address, method, path, body=body, headers=headers
        )
        res = made.ok_value
        if "set-cookie" in res.headers:
            self.cookie = res.headers["set-cookie"].partition(";")[0]
        if res.status == 303:
            return await self.get(res.headers["location"])
        self.page = Page(res.status, res.headers, res.body.decode())
        return self.page
