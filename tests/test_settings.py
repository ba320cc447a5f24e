"""Settings read from flags and the environment."""

from __future__ import annotations

from typer.testing import CliRunner

from celerytrail import settings
from celerytrail.cmdline import app

KEY = "k1:" + "ab" * 16
VALID_FLAGS = {
    "vm": "vm-1",
    "failure_domain": "a",
    "platform": "127.0.0.1:7000,127.0.0.1:7001",
    "ticket_keys": KEY,
    "peer_keys": KEY,
}


class TestRead:
    def test_flags_override_environment_and_defaults(self):
        environment = {"CELERYTRAIL_REGION": "south", "CELERYTRAIL_VM": "other"}
        cfg = settings.read(settings.NodeSettings, VALID_FLAGS, environment).ok_value
        assert cfg.vm == "vm-1"
        assert cfg.region == "south"
        assert cfg.answer_seconds == 30.0
        assert [address.port for address in cfg.platform] == [7000, 7001]

    def test_all_findings_are_returned_with_their_places(self):
        """A deployment has several invalid options. If they were reported one at a
        time, the operator would need a restart for each.
        """
        flags = {
            **VALID_FLAGS,
            "vm": "a b",
            "peer_listen": "nowhere",
            "stall_seconds": "-1",
        }
        environment = {"CELERYTRAIL_QUEUE_SECONDS": "soon", "CELERYTRAIL_VN": "x"}
        findings = settings.read(settings.NodeSettings, flags, environment).err_value
        places = {finding.place for finding in findings}
        assert places == {
            "--vm",
            "--peer-listen",
            "--stall-seconds",
            "CELERYTRAIL_QUEUE_SECONDS",
            "CELERYTRAIL_VN",
        }

    def test_secrets_are_never_shown(self):
        """Findings on an invalid key and settings printed for a bug report must not
        contain the key.
        """
        cfg = settings.read(settings.NodeSettings, VALID_FLAGS, {}).ok_value
        assert "ab" * 16 not in str(settings.describe(cfg))
        assert "abab" not in repr(cfg)
        invalid = {**VALID_FLAGS, "peer_keys": "k1:abababxyz"}
        findings = settings.read(settings.NodeSettings, invalid, {}).err_value
        assert "abab" not in str(findings[0])


class TestCommandLine:
    def test_exit_status_for_findings_is_two(self):
        outcome = CliRunner().invoke(app, ["node", "--vm", "a b"])
        assert outcome.exit_code == 2
        assert "--vm" in outcome.output
        assert "--platform" in outcome.output

    def test_help_shows_options_and_their_variables(self):
        output = CliRunner().invoke(app, ["node", "--help"]).output
        assert "--answer-seconds" in output
        assert "CELERYTRAIL_ANSWER_SECONDS" in output
