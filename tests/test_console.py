"""The console, exercised through its forms as an operator uses it."""

from __future__ import annotations

import base64
import hashlib
import re
import zlib

import pytest
from consolerig import (
    ACCOUNTS,
    ConsoleRig,
    initial_document,
    open_organisation,
)

pytestmark = pytest.mark.looptime


@pytest.fixture
async def rig():
    rig = ConsoleRig()
    await rig.start()
    yield rig
    for server in rig.servers:
        await server.close()


@pytest.fixture
async def ana(rig):
    await rig.accept(initial_document())
    return await rig.login()


class TestEditing:
    async def test_first_document_through_the_forms(self, rig):
        browser = await rig.login()
        await browser.press("Models")
        await browser.press("Add a model")
        await browser.press("Keep in my draft", name="contracts", version="v1")
        await browser.press("Engines")
        await browser.press("Add an engine")
        await browser.press(
            "Keep in my draft",
            name="e1",
            address="10.9.0.1:8000",
            failure_domain="fd1",
            model="contracts",
        )
        await browser.press("Services")
        await browser.press("Add a service")
        await browser.press(
            "Keep, and show more rows",
            name="booking",
            operations__0__name="file",
            operations__1__name="status",
            operations__1__idempotent="yes",
        )
        await browser.press(
            "Keep in my draft",
            endpoints__0__name="w1",
            endpoints__0__address="10.9.0.2:8000",
            endpoints__0__failure_domain="fd1",
        )
        await browser.press("Organisations")
        await browser.press("Add an organisation")
        await browser.press(
            "Keep in my draft", name="local-65", weight="2,5", models=["contracts"]
        )
        assert (await rig.newest()).version == 0
        await browser.press("Review and accept")
        page = await browser.press("Accept", note="first  document")
        assert "Version 1 is accepted" in page.text
        loaded = await rig.newest()
        assert (loaded.head.author, loaded.head.note) == ("ana", "first document")
        organisation = loaded.document.organisations[0]
        assert (organisation.weight, organisation.models) == (2.5, ("contracts",))
        operations = loaded.document.services[0].operations
        assert [operation.idempotent for operation in operations] == [False, True]
        assert rig.node.hints[0]["version"] == 1

    async def test_findings_are_shown_beside_their_fields(self, rig, ana):
        await open_organisation(ana)
        page = await ana.press("Keep in my draft", weight="much", priority="11")
        assert page.status == 422
        assert page.html.count('aria-invalid="true"') == 2
        assert 'value="much"' in page.html
        page = await ana.press("Review and accept")
        assert "organisations / local-65 / weight" in page.text
        assert "organisations / local-65 / priority" in page.text
        assert "Accept" not in [
            b[2].strip() for form in page.forms for b in form.buttons
        ]
        assert (await rig.newest()).version == 1
        await ana.press("Edit local-65")
        assert 'value="much"' in ana.page.html

    async def test_removing_a_referenced_entry(self, rig, ana):
        await ana.press("Models")
        await ana.press("item/models/contracts")
        await ana.press("Remove this model in my draft")
        page = await ana.press("Review and accept")
        assert "engines / e1 / model" in page.text
        await ana.press("Edit e1")
        assert ana.page.headings[0] == "h1"

    async def test_new_key_is_shown_once_and_stored_as_digest(self, rig, ana):
        await open_organisation(ana)
        page = await ana.press("Keep, and make a new key")
        key = re.search(r"<code>(ct-[^<]+)</code>", page.html)[1]
        page = await ana.press("Review and accept")
        assert key not in page.html
        await ana.press("Accept")
        digests = (await rig.newest()).document.organisations[0].key_digests
        assert digests == (hashlib.sha256(key.encode()).hexdigest(),)
        assert all(key.encode() not in data for data in rig.objects.objects.values())

    async def test_history_and_revert(self, rig, ana):
        await open_organisation(ana)
        await ana.press("Keep in my draft", priority="9")
        await ana.press("Review and accept")
        await ana.press("Accept", note="louder")
        await ana.press("History")
        assert "louder" in ana.page.text
        await ana.press("history/1")
        await ana.press("Draft a return to version 1")
        assert "priority" in ana.page.text
        await ana.press("Accept")
        loaded = await rig.newest()
        assert loaded.version == 3
        assert loaded.document == initial_document()

    async def test_raw_json_download_and_upload(self, rig, ana):
        text = (
            await ana.client.request(
                rig.address, "GET", "/document.json", headers={"cookie": ana.cookie}
            )
        ).ok_value.body.decode()
        await ana.press("Raw JSON")
        page = await ana.press("Check, and make it my draft", text="{")
        assert page.status == 422
        assert "line 1, column 2" in page.text
        changed = text.replace('"priority": 5', '"priority": 7', 1)
        await ana.press("Check, and make it my draft", text=changed)
        await ana.press("Accept")
        assert (await rig.newest()).document.organisations[0].priority == 7

    async def test_file_upload(self, rig, ana):
        await ana.press("Raw JSON")
        form = ana.page.forms[-1]
        assert form.enctype == "multipart/form-data"
        token = dict(form.fields)["token"]
        parts = {"token": token, "draft": "", "do": "raw", "text": '{"models": []}'}
        body = "".join(
            f'--b\r\nContent-Disposition: form-data; name="{name}"\r\n\r\n{value}\r\n'
            for name, value in parts.items()
        )
        outcome = await ana.client.request(
            rig.address,
            "POST",
            "/draft",
            body=(body + "--b--\r\n").encode(),
            headers={
                "content-type": "multipart/form-data; boundary=b",
                "cookie": ana.cookie,
            },
        )
        assert b"What your draft changes: 4" in outcome.ok_value.body

    async def test_large_document_is_accepted(self, rig, ana):
        """Raw JSON for 6,400 organisations becomes a draft and is accepted.

        With the draft uncompressed, pages would be many megabytes, slow in a browser.
        """
        names = ",".join(f'{{"name": "o{number}"}}' for number in range(6_400))
        await ana.press("Raw JSON")
        text = f'{{"organisations": [{names}]}}'
        page = await ana.press("Check, and make it my draft", text=text)
        assert len(page.html) < 500_000
        await ana.press("Accept")
        assert len((await rig.newest()).document.organisations) == 6_400
        page = await ana.press("Raw JSON")
        assert "too large" in page.text
        page = await ana.press("Organisations")
        assert "100 of 6400 shown" in page.text

    async def test_status_shows_versions_and_live_state(self, rig, ana):
        page = await ana.press("Status")
        assert "version 1 at 1" in page.text
        assert "queued" in page.text
        assert "connect_refused" in page.text
        rig.node.status = {"version": "<script>", "x": [None, {"<b>": "<i>"}]}
        page = await ana.press("Status")
        assert "script" not in page.tags
        assert "b" not in page.tags


class TestConcurrentOperators:
    async def test_conflict_keeps_the_draft_and_shows_the_difference(self, rig, ana):
        """Two operators change one organisation; the second acceptance is refused.

        Without the difference the second operator would overwrite the first one's
        changes or have to type everything again.
        """
        bia = await rig.login("bia")
        for browser, priority, weight in ((ana, "9", "1"), (bia, "3", "4")):
            await open_organisation(browser)
            await browser.press("Keep in my draft", priority=priority, weight=weight)
            await browser.press("Review and accept")
        await ana.press("Accept")
        page = await bia.press("Accept")
        assert page.status == 409
        assert "Changed by both: 1" in page.text
        assert "organisations / local-65 / priority" in page.text
        await bia.press("Go on to review my draft on version 2")
        await bia.press("Accept")
        loaded = await rig.newest()
        organisation = loaded.document.organisations[0]
        assert (organisation.priority, organisation.weight) == (3, 4.0)
        assert loaded.head.author == "bia"

    async def test_changes_of_different_fields_are_merged(self, rig, ana):
        """One operator changes the priority and another one the weight."""
        bia = await rig.login("bia")
        await open_organisation(bia)
        await bia.press("Keep in my draft", weight="4")
        await open_organisation(ana)
        await ana.press("Keep in my draft", priority="9")
        await ana.press("Review and accept")
        await ana.press("Accept")
        await bia.press("Review and accept")
        assert "Version 2 by ana was accepted meanwhile" in bia.page.text
        await bia.press("Move my draft to version 2")
        await bia.press("Go on to review my draft on version 2")
        await bia.press("Accept")
        organisation = (await rig.newest()).document.organisations[0]
        assert (organisation.priority, organisation.weight) == (9, 4.0)

    async def test_both_operators_add_the_same_name(self, rig, ana):
        bia = await rig.login("bia")
        for browser in (ana, bia):
            await browser.press("Organisations")
            await browser.press("Add an organisation")
            await browser.press("Keep in my draft", name="local-99")
            await browser.press("Review and accept")
        await ana.press("Accept")
        await bia.press("Accept")
        page = await bia.press("Go on to review my draft on version 2")
        assert "it must be unique" in page.text


class TestFailures:
    @pytest.mark.parametrize("step", ["edit", "review", "accept"])
    async def test_console_killed_and_another_takes_over(self, rig, ana, step):
        """A console is killed while an operator edits, and another is started.

        The operator's page must work with the new console without retyping.
        """
        await open_organisation(ana)
        if step != "edit":
            await ana.press("Keep in my draft", priority="9")
            await ana.press("Review and accept")
        if step == "accept":
            form, button = ana.page.button("Accept")
            await ana.press("Accept")
            ana.page.forms = [form]
            assert button in form.buttons
        await rig.servers[-1].close()
        await rig.start_console()
        ana.address = rig.address
        if step == "edit":
            await ana.press("Keep in my draft", priority="9")
            await ana.press("Review and accept")
        page = await ana.press("Accept")
        assert "Version 2 is accepted" in page.text
        loaded = await rig.newest()
        assert (loaded.version, loaded.document.organisations[0].priority) == (2, 9)

    async def test_lost_replies_leave_acceptance_in_doubt(self, rig, ana):
        """The platform accepts the version, but all of its replies are lost."""
        await open_organisation(ana)
        await ana.press("Keep in my draft", priority="9")
        await ana.press("Review and accept")
        rig.table.n_replies_to_lose = 10**6
        page = await ana.press("Accept")
        if "Ask again" in page.text:
            rig.table.n_replies_to_lose = 0
            page = await ana.press("Ask again")
        assert "Version 2 is accepted" in page.text
        assert (await rig.newest()).version == 2

    async def test_platform_outage_keeps_the_input(self, rig, ana):
        """The platform fails between two pages; the page keeps what was typed."""
        await open_organisation(ana)
        rig.table.is_down = True
        page = await ana.press("Keep in my draft", priority="9")
        assert page.status == 503
        assert "nothing was done" in page.text
        rig.table.is_down = False
        await ana.press("Try again")
        await ana.press("Review and accept")
        rig.table.is_down = True
        await ana.press("Accept", note="why")
        rig.table.is_down = False
        page = await ana.press("Try again")
        assert "Version 2 is accepted" in page.text
        assert (await rig.newest()).head.note == "why"

    async def test_session_expires_while_editing(self, rig, ana):
        await open_organisation(ana)
        rig.clock.wall_offset += 9 * 3600
        page = await ana.press("Keep in my draft", priority="9")
        assert "Your session ended" in page.text
        await ana.press("Log in", name="ana", password="secret ana")
        await ana.press("Go on with what I typed")
        page = await ana.press("Review and accept")
        assert "priority" in page.text


class TestProtection:
    async def test_pages_need_a_login(self, rig, ana):
        anonymous = rig.browser()
        for path in ("/", "/list/organisations", "/history", "/status"):
            assert "Log in" in (await anonymous.get(path)).text
        page = await anonymous.post("/draft", [("do", "accept")])
        assert page.status == 403

    async def test_wrong_passwords_are_rate_limited(self, rig):
        browser = rig.browser()
        await browser.get("/login")
        for _ in range(5):
            page = await browser.press("Log in", name="ana", password="wrong")
            assert page.status == 403
        page = await browser.press("Log in", name="ana", password="secret ana")
        assert page.status == 429
        await browser.get("/login")
        page = await browser.press("Log in", name="nobody", password="wrong")
        assert page.status == 403

    async def test_forged_posts_are_refused(self, rig, ana):
        """Another site makes the operator's browser post a change to the console.

        The browser adds the cookie by itself, so only the form token can be checked.
        """
        draft = '{"base_version":1,"edits":[{"kind":"models","key":"contracts"}]}'
        accept = [("do", "accept"), ("operation_id", "0" * 32), ("draft", draft)]
        for token in ([], [("token", "")], [("token", "0" * 64)], [("token", "é")]):
            page = await ana.post("/draft", token + accept)
            assert page.status == 403
        bia = await rig.login("bia")
        bia_token = dict(bia.page.forms[0].fields)["token"]
        assert (await ana.post("/draft", [("token", bia_token), *accept])).status == 403
        await ana.get("/")
        ana_token = dict(ana.page.forms[0].fields)["token"]
        page = await ana.post(
            "/draft",
            [("token", ana_token), *accept],
            **{"sec-fetch-site": "cross-site"},
        )
        assert page.status == 403
        assert (await rig.newest()).version == 1

    @pytest.mark.parametrize("cookie", ["", "x", "00", "7c7c7c", "zz" * 40, "ff" * 20])
    async def test_bad_cookies(self, rig, ana, cookie):
        ana.cookie = f"celerytrail_session={cookie}"
        assert "Log in" in (await ana.get("/")).text

    async def test_altered_cookie(self, rig, ana):
        name, _, value = ana.cookie.partition("=")
        text = bytes.fromhex(value).decode().replace("ana|", "bia|", 1)
        ana.cookie = f"{name}={text.encode().hex()}"
        assert "Logged in" not in (await ana.get("/")).text

    async def test_removed_account_loses_its_session(self, rig, ana):
        """A console restarted without an account refuses that account's session."""
        cookie = ana.cookie
        rig.accounts = ACCOUNTS.partition(",")[2]
        await rig.start_console()
        browser = rig.browser()
        browser.cookie = cookie
        assert "Logged in" not in (await browser.get("/")).text

    async def test_draft_with_findings_can_not_be_accepted(self, rig, ana):
        """A client posts an acceptance of a draft that the review would refuse."""
        token = dict(ana.page.forms[0].fields)["token"]
        draft = '{"base_version":1,"edits":[{"kind":"models","key":"contracts"}]}'
        fields = [("token", token), ("draft", draft), ("operation_id", "0" * 32)]
        page = await ana.post("/draft", [*fields, ("do", "accept")])
        assert page.status == 422
        assert "engines / e1 / model" in page.text
        assert (await rig.newest()).version == 1

    async def test_cookie_attributes(self, rig):
        browser = await rig.login()
        header = (
            await browser.client.request(
                rig.address,
                "POST",
                "/logout",
                body=b"token=" + dict(browser.page.forms[1].fields)["token"].encode(),
                headers={"cookie": browser.cookie},
            )
        ).ok_value.headers["set-cookie"]
        assert "HttpOnly" in header
        assert "SameSite=Strict" in header

    async def test_script_in_a_name_is_escaped(self, rig, ana):
        markup = '"><script>alert(1)</script>'
        await ana.press("Organisations")
        await ana.press("Add an organisation")
        await ana.press(
            "Keep in my draft", name=markup, key_digests=markup, priority=markup
        )
        for label in (None, "Organisations", "Review", "Raw JSON", "History", "Status"):
            if label:
                await ana.press(label)
            assert "script" not in ana.page.tags
            assert ana.page.problems == []
            assert ana.page.headers["content-security-policy"].startswith("default-src")

    @pytest.mark.parametrize(
        "draft",
        ["x", "[]", "null", '{"base_version":1,"edits":[{"kind":"x","key":"a"}]}']
        + ['{"base_version":"1"}', "[" * 10_000, "z:", "z:!", "z:AAAA"]
        + ["z:" + base64.b64encode(zlib.compress(b" " * 9_000_000)).decode()]
        + ['{"base_version":1,"edits":[{"kind":"models","key":"a","value":3}]}'],
    )
    async def test_bad_drafts(self, rig, ana, draft):
        token = dict(ana.page.forms[0].fields)["token"]
        fields = [("token", token), ("draft", draft), ("go", "review")]
        assert (await ana.post("/draft", fields)).status == 400

    @pytest.mark.parametrize(
        "value",
        ["{}", '{"name":[]}', '{"name":{"a":1},"weight":[[]]}', '{"key_digests":{}}']
        + ['{"name":"a","key_digests":[1,null],"models":[{}],"priority":null}'],
    )
    async def test_drafts_with_wrong_types_show_findings(self, rig, ana, value):
        """A client edits the hidden draft field; the pages must only show findings."""
        draft = (
            '{"base_version":1,"edits":['
            f'{{"kind":"organisations","key":"+1","value":{value}}},'
            f'{{"kind":"services","key":"+1","value":{{"operations":[3,{value}]}}}}]}}'
        )
        token = dict(ana.page.forms[0].fields)["token"]
        for go in ("review", "list/organisations", "item/organisations/+1", "raw"):
            fields = [("token", token), ("draft", draft), ("go", go)]
            assert (await ana.post("/draft", fields)).status in (200, 422)
        fields[-1] = ("go", "item/services/+1")
        assert (await ana.post("/draft", fields)).status == 200

    async def test_body_that_is_no_form(self, rig, ana):
        for body in (b"\xff\xfe", b"a" * 100, b"&&&="):
            outcome = await ana.client.request(
                rig.address,
                "POST",
                "/draft",
                body=body,
                headers={"cookie": ana.cookie},
            )
            assert outcome.ok_value.status == 403


class TestHtml:
    async def test_every_page_is_well_formed_and_labelled(self, rig, ana):
        pages = [ana.page]
        for label in ("Overview", "Models", "Organisations", "Engines", "Services"):
            pages.append(await ana.press(label))
            if label != "Overview":
                pages.append(await ana.press(f"new/{label.lower()}"))
                pages.append(await ana.press("Keep in my draft", name="a b"))
        for label in ("Review", "Raw JSON", "Status", "History", "history/1"):
            pages.append(await ana.press(label))
        anonymous = rig.browser()
        pages.append(await anonymous.get("/login"))
        for page in pages:
            assert page.problems == []
            assert page.headings[0] == "h1"
            assert page.tags.count("main") == 1
            assert page.tags.count("table") == page.n_captions
            assert "script" not in page.tags
            assert 'href="#main"' in page.html
