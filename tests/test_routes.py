"""Routing by method and path template."""

from __future__ import annotations

import pytest

from celerytrail.http.messages import Request
from celerytrail.http.routes import Router


class FakeResponder:
    """Records the answer."""

    async def send_json(self, status, value, headers=None):
        self.status, self.value, self.headers = status, value, headers


async def answer(method, path):
    router = Router()

    async def echo(req, res, params):
        await res.send_json(200, params)

    router.add("GET", "/v1/models", echo)
    router.add("GET", "/v1/services/{service}/calls/{key+}", echo)
    res = FakeResponder()
    await router.handle(Request(method=method, path=path), res)
    return res


class TestRouter:
    @pytest.mark.parametrize(
        ("path", "params"),
        [
            ("/v1/models", {}),
            ("/v1/services/a%20b/calls/k/1", {"service": "a b", "key": "k/1"}),
        ],
    )
    async def test_route_and_parameters_are_found(self, path, params):
        assert (await answer("GET", path)).value == params

    async def test_wrong_method_is_405_and_wrong_path_is_404(self):
        assert (await answer("POST", "/v1/models")).status == 405
        assert (await answer("POST", "/v1/models")).headers == {"allow": "GET"}
        assert (await answer("GET", "/v1/nothing")).status == 404
        assert (await answer("GET", "/v1/services/a/calls")).status == 404
