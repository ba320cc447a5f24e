"""The callers' API: streamed and non-streamed generations, resume and cancel."""

from __future__ import annotations

import pytest
from callers_rig import Caller, Rig


@pytest.fixture
async def rig():
    rig = Rig()
    yield rig
    await rig.close()


class TestCompletions:
    async def test_streamed_answer_is_complete_and_in_order(self, rig):
        await rig.add_engine()
        _, _, node = await rig.add_node()
        stream = await rig.caller.complete(node, "a [length=30]")
        answer = await rig.caller.read(stream)
        assert answer.text == rig.expected("a [length=30]", answer, 30)
        assert answer.is_done
        assert answer.finish_reason == "stop"
        assert answer.n_tokens == 30

    async def test_non_streamed_answer_with_usage(self, rig):
        await rig.add_engine()
        _, _, node = await rig.add_node()
        body = {"model": "draft", "prompt": "b [length=9]", "max_tokens": 5}
        answer = await rig.caller.request(node, "POST", "/v1/completions", body)
        value = answer.json()
        assert value["choices"][0]["finish_reason"] == "length"
        assert value["usage"]["completion_tokens"] == 5

    async def test_chat_has_its_own_shape(self, rig):
        await rig.add_engine()
        _, _, node = await rig.add_node()
        messages = [{"role": "user", "content": "hello [length=3]"}]
        body = {
            "model": "draft",
            "messages": messages,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        stream = await rig.caller.open(node, "POST", "/v1/chat/completions", body)
        answer = await rig.caller.read(stream)
        assert answer.events[0]["choices"][0]["delta"]["role"] == "assistant"
        prompt = "user: hello [length=3]\nassistant:"
        assert answer.text == rig.expected(prompt, answer, 3)
        assert answer.events[-1]["usage"]["completion_tokens"] == 3

    async def test_models_are_listed(self, rig):
        await rig.add_engine()
        _, _, node = await rig.add_node()
        answer = await rig.caller.request(node, "GET", "/v1/models")
        assert [m["id"] for m in answer.json()["data"]] == ["draft"]

    async def test_all_findings_are_reported_together(self, rig):
        """A request has several invalid fields. The error lists each with its place."""
        await rig.add_engine()
        _, _, node = await rig.add_node()
        body = {"model": 7, "n": 2, "max_tokens": "x", "wild": 1}
        answer = await rig.caller.request(node, "POST", "/v1/completions", body)
        places = [f["place"] for f in answer.json()["error"]["findings"]]
        assert answer.status == 400
        assert places == ["model", "n", "max_tokens", "wild", "prompt"]

    async def test_wrong_key_is_refused(self, rig):
        await rig.add_engine()
        _, _, node = await rig.add_node()
        answer = await Caller("nobody").request(node, "GET", "/v1/models")
        assert answer.status == 401
        assert answer.json()["error"]["type"] == "unknown_key"


class TestResume:
    async def test_resume_at_another_node_after_the_first_is_killed(self, rig):
        """A node fails while a draft is streaming. The caller resumes at another node
        by the last event's id, and no token is missing or repeated.
        """
        await rig.add_engine()
        server, _, first = await rig.add_node()
        _, _, second = await rig.add_node()
        stream = await rig.caller.complete(first, "c [length=200]")
        answer = await rig.caller.read(stream, n_tokens=40)
        await server.close()
        await rig.caller.resume(second, answer)
        assert answer.text == rig.expected("c [length=200]", answer, 200)
        assert answer.is_done

    async def test_cancel_ends_the_generation_at_the_engine(self, rig):
        engine = await rig.add_engine()
        _, _, node = await rig.add_node()
        stream = await rig.caller.complete(node, "d [length=5000]")
        answer = await rig.caller.read(stream, n_tokens=3)
        path = f"/v1/generations/{answer.ticket}"
        assert (await rig.caller.request(node, "DELETE", path)).status == 204
        answer = await rig.caller.read(stream, answer=answer)
        assert answer.error["type"] == "cancelled"
        assert not answer.is_done
        assert all(g.end for g in engine.batch.generations.values())
