"""The console, used through its forms as an operator does."""

from __future__ import annotations

import base64
import hashlib
import re
import zlib

import pytest
from consolerig import (
    ACCOUNTS,
    Office,
    open_organisation,
    start_document,
)

pytestmark = pytest.mark.looptime


@pytest.fixture
async def office():
    office = Office()
    await office.start()
    yield office
    for server in office.servers:
        await server.close()


@pytest.fixture
async def ana(office):
    await office.accept(start_document())
    return await office.login()


class TestWholePath:
    async def test_document_from_nothing_through_the_forms(self, office):
        browser = await office.login()
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
        assert (await office.newest()).version == 0
        await browser.press("Review and accept")
        page = await browser.press("Accept", note="first  document")
        assert "Version 1 is accepted" in page.text
        loaded = await office.newest()
        assert (loaded.head.author, loaded.head.note) == ("ana", "first document")
        organisation = loaded.document.organisations[0]
        assert (organisation.weight, organisation.models) == (2.5, ("contracts",))
        operations = loaded.document.services[0].operations
        assert [one.idempotent for one in operations] == [False, True]
        assert office.node.hints[0]["version"] == 1

    async def test_findings_stand_beside_their_fields(self, office, ana):
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
        assert (await office.newest()).version == 1
        await ana.press("Edit local-65")
        assert 'value="much"' in ana.page.html

    async def test_removing_what_others_refer_to(self, office, ana):
        await ana.press("Models")
        await ana.press("item/models/contracts")
        await ana.press("Remove this model in my draft")
        page = await ana.press("Review and accept")
        assert "engines / e1 / model" in page.text
        await ana.press("Edit e1")
        assert ana.page.headings[0] == "h1"

    async def test_new_key_is_shown_once_and_kept_as_digest(self, office, ana):
        await open_organisation(ana)
        page = await ana.press("Keep, and make a new key")
        key = re.search(r"<code>(ct-[^<]+)</code>", page.html)[1]
        page = await ana.press("Review and accept")
        assert key not in page.html
        await ana.press("Accept")
        digests = (await office.newest()).document.organisations[0].key_digests
        assert digests == (hashlib.sha256(key.encode()).hexdigest(),)
        assert all(key.encode() not in data for data in office.objects.objects.values())

    async def test_history_and_revert(self, office, ana):
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
        loaded = await office.newest()
        assert loaded.version == 3
        assert loaded.document == start_document()

    async def test_raw_json_up_and_down(self, office, ana):
        text = (
            await ana.client.request(
                office.address, "GET", "/document.json", headers={"cookie": ana.cookie}
            )
        ).ok_value.body.decode()
        await ana.press("Raw JSON")
        page = await ana.press("Check, and make it my draft", text="{")
        assert page.status == 422
        assert "line 1, column 2" in page.text
        changed = text.replace('"priority": 5', '"priority": 7', 1)
        await ana.press("Check, and make it my draft", text=changed)
        await ana.press("Accept")
        assert (await office.newest()).document.organisations[0].priority == 7

    async def test_file_upload(self, office, ana):
        await ana.press("Raw JSON")
        form = ana.page.forms[-1]
        assert form.enctype == "multipart/form-data"
        token = dict(form.fields)["token"]
        parts = {"token": token, "draft": "", "do": "raw", "text": '{"models": []}'}
        body = "".join(
            f'--b\r\nContent-Disposition: form-data; name="{name}"\r\n\r\n{value}\r\n'
            for name, value in parts.items()
        )
        made = await ana.client.request(
            office.address,
            "POST",
            "/draft",
            body=(body + "--b--\r\n").encode(),
            headers={
                "content-type": "multipart/form-data; boundary=b",
                "cookie": ana.cookie,
            },
        )
        assert b"What your draft changes: 4" in made.ok_value.body

    async def test_large_documents_go_through(self, office, ana):
        """A whole document for 6,400 organisations is handed in.

        Its draft would make pages of many megabytes, which a browser takes long for.
        """
        names = ",".join(f'{{"name": "o{number}"}}' for number in range(6_400))
        await ana.press("Raw JSON")
        text = f'{{"organisations": [{names}]}}'
        page = await ana.press("Check, and make it my draft", text=text)
        assert len(page.html) < 500_000
        await ana.press("Accept")
        assert len((await office.newest()).document.organisations) == 6_400
        page = await ana.press("Raw JSON")
        assert "too large" in page.text
        page = await ana.press("Organisations")
        assert "100 of 6400 shown" in page.text

    async def test_status_shows_versions_and_live_state(self, office, ana):
        page = await ana.press("Status")
        assert "version 1 at 1" in page.text
        assert "queued" in page.text
        assert "connect_refused" in page.text
        office.node.status = {"version": "<script>", "x": [None, {"<b>": "<i>"}]}
        page = await ana.press("Status")
        assert "script" not in page.tags
        assert "b" not in page.tags


class TestRacingOperators:
    async def test_typing_is_kept_and_the_difference_shown(self, office, ana):
        """Two operators change the same organisation; the second one's accept fails.

        Without the difference the second would overwrite the first or type all again.
        """
        bia = await office.login("bia")
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
        loaded = await office.newest()
        organisation = loaded.document.organisations[0]
        assert (organisation.priority, organisation.weight) == (3, 4.0)
        assert loaded.head.author == "bia"

    async def test_changes_of_other_fields_survive(self, office, ana):
        """The first operator changed the priority, the second one the weight."""
        bia = await office.login("bia")
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
        organisation = (await office.newest()).document.organisations[0]
        assert (organisation.priority, organisation.weight) == (9, 4.0)

    async def test_both_add_the_same_name(self, office, ana):
        bia = await office.login("bia")
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
    async def test_console_killed_and_another_goes_on(self, office, ana, step):
        """The console dies while an operator is at work; another is started.

        The operator's page must work with the new one, with nothing typed again.
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
        await office.servers[-1].close()
        await office.start_console()
        ana.address = office.address
        if step == "edit":
            await ana.press("Keep in my draft", priority="9")
            await ana.press("Review and accept")
        page = await ana.press("Accept")
        assert "Version 2 is accepted" in page.text
        loaded = await office.newest()
        assert (loaded.version, loaded.document.organisations[0].priority) == (2, 9)

    async def test_reply_lost_for_long_is_told_as_in_doubt(self, office, ana):
        """Every reply of the platform is lost, though the version was taken."""
        await open_organisation(ana)
        await ana.press("Keep in my draft", priority="9")
        await ana.press("Review and accept")
        office.table.n_replies_to_lose = 10**6
        page = await ana.press("Accept")
        if "Ask again" in page.text:
            office.table.n_replies_to_lose = 0
            page = await ana.press("Ask again")
        assert "Version 2 is accepted" in page.text
        assert (await office.newest()).version == 2

    async def test_outage_keeps_the_typing(self, office, ana):
        """The platform goes down between two pages; the typing is in the page."""
        await open_organisation(ana)
        office.table.is_down = True
        page = await ana.press("Keep in my draft", priority="9")
        assert page.status == 503
        assert "nothing was done" in page.text
        office.table.is_down = False
        await ana.press("Try again")
        await ana.press("Review and accept")
        office.table.is_down = True
        await ana.press("Accept", note="why")
        office.table.is_down = False
        page = await ana.press("Try again")
        assert "Version 2 is accepted" in page.text
        assert (await office.newest()).head.note == "why"

    async def test_session_ends_while_typing(self, office, ana):
        await open_organisation(ana)
        office.clock.wall_offset += 9 * 3600
        page = await ana.press("Keep in my draft", priority="9")
        assert "Your session ended" in page.text
        await ana.press("Log in", name="ana", password="secret ana")
        await ana.press("Go on with what I typed")
        page = await ana.press("Review and accept")
        assert "priority" in page.text


class TestProtection:
    async def test_pages_need_a_login(self, office, ana):
        stranger = office.browser()
        for path in ("/", "/list/organisations", "/history", "/status"):
            assert "Log in" in (await stranger.get(path)).text
        page = await stranger.post("/draft", [("do", "accept")])
        assert page.status == 403

    async def test_wrong_password_and_the_brake(self, office):
        browser = office.browser()
        await browser.get("/login")
        for _ in range(5):
            page = await browser.press("Log in", name="ana", password="wrong")
            assert page.status == 403
        page = await browser.press("Log in", name="ana", password="secret ana")
        assert page.status == 429
        await browser.get("/login")
        page = await browser.press("Log in", name="nobody", password="wrong")
        assert page.status == 403

    async def test_forged_posts_are_refused(self, office, ana):
        """Another site has the operator's browser post a change to the console.

        The browser adds the cookie by itself, so only the form's token tells.
        """
        draft = '{"base_version":1,"edits":[{"kind":"models","key":"contracts"}]}'
        accept = [("do", "accept"), ("operation_id", "0" * 32), ("draft", draft)]
        for token in ([], [("token", "")], [("token", "0" * 64)], [("token", "é")]):
            page = await ana.post("/draft", token + accept)
            assert page.status == 403
        bia = await office.login("bia")
        bias = dict(bia.page.forms[0].fields)["token"]
        assert (await ana.post("/draft", [("token", bias), *accept])).status == 403
        await ana.get("/")
        mine = dict(ana.page.forms[0].fields)["token"]
        page = await ana.post(
            "/draft", [("token", mine), *accept], **{"sec-fetch-site": "cross-site"}
        )
        assert page.status == 403
        assert (await office.newest()).version == 1

    @pytest.mark.parametrize("cookie", ["", "x", "00", "7c7c7c", "zz" * 40, "ff" * 20])
    async def test_bad_cookies(self, office, ana, cookie):
        ana.cookie = f"celerytrail_session={cookie}"
        assert "Log in" in (await ana.get("/")).text

    async def test_altered_cookie(self, office, ana):
        name, _, value = ana.cookie.partition("=")
        text = bytes.fromhex(value).decode().replace("ana|", "bia|", 1)
        ana.cookie = f"{name}={text.encode().hex()}"
        assert "Logged in" not in (await ana.get("/")).text

    async def test_removed_account_loses_its_session(self, office, ana):
        """An operator leaves; the consoles are started again without the account."""
        cookie = ana.cookie
        office.accounts = ACCOUNTS.partition(",")[2]
        await office.start_console()
        browser = office.browser()
        browser.cookie = cookie
        assert "Logged in" not in (await browser.get("/")).text

    async def test_draft_with_findings_can_not_be_accepted(self, office, ana):
        """Somebody posts an acceptance without the review having allowed it."""
        token = dict(ana.page.forms[0].fields)["token"]
        draft = '{"base_version":1,"edits":[{"kind":"models","key":"contracts"}]}'
        fields = [("token", token), ("draft", draft), ("operation_id", "0" * 32)]
        page = await ana.post("/draft", [*fields, ("do", "accept")])
        assert page.status == 422
        assert "engines / e1 / model" in page.text
        assert (await office.newest()).version == 1

    async def test_cookie_attributes(self, office):
        browser = await office.login()
        header = (
            await browser.client.request(
                office.address,
                "POST",
                "/logout",
                body=b"token=" + dict(browser.page.forms[1].fields)["token"].encode(),
                headers={"cookie": browser.cookie},
            )
        ).ok_value.headers["set-cookie"]
        assert "HttpOnly" in header
        assert "SameSite=Strict" in header

    async def test_script_in_a_name_is_escaped(self, office, ana):
        evil = '"><script>alert(1)</script>'
        await ana.press("Organisations")
        await ana.press("Add an organisation")
        await ana.press("Keep in my draft", name=evil, key_digests=evil, priority=evil)
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
    async def test_bad_drafts(self, office, ana, draft):
        token = dict(ana.page.forms[0].fields)["token"]
        fields = [("token", token), ("draft", draft), ("go", "review")]
        assert (await ana.post("/draft", fields)).status == 400

    @pytest.mark.parametrize(
        "value",
        ["{}", '{"name":[]}', '{"name":{"a":1},"weight":[[]]}', '{"key_digests":{}}']
        + ['{"name":"a","key_digests":[1,null],"models":[{}],"priority":null}'],
    )
    async def test_drafts_with_misfits_show_findings(self, office, ana, value):
        """Somebody edits the hidden field; the pages still only show findings."""
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

    async def test_body_that_is_no_form(self, office, ana):
        for body in (b"\xff\xfe", b"a" * 100, b"&&&="):
            made = await ana.client.request(
                office.address,
                "POST",
                "/draft",
                body=body,
                headers={"cookie": ana.cookie},
            )
            assert made.ok_value.status == 403


class TestHtml:
    async def test_every_page_is_well_formed_and_labelled(self, office, ana):
        pages = [ana.page]
        for label in ("Overview", "Models", "Organisations", "Engines", "Services"):
            pages.append(await ana.press(label))
            if label != "Overview":
                pages.append(await ana.press(f"new/{label.lower()}"))
                pages.append(await ana.press("Keep in my draft", name="a b"))
        for label in ("Review", "Raw JSON", "Status", "History", "history/1"):
            pages.append(await ana.press(label))
        stranger = office.browser()
        pages.append(await stranger.get("/login"))
        for page in pages:
            assert page.problems == []
            assert page.headings[0] == "h1"
            assert page.tags.count("main") == 1
            assert page.tags.count("table") == page.captions
            assert "script" not in page.tags
            assert 'href="#main"' in page.html
