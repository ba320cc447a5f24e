"""Settings from flags and the environment."""

from __future__ import annotations

from typer.testing import CliRunner

from celerytrail import settings
from celerytrail.cmdline import app

KEY = "k1:" + "ab" * 16
GOOD = {
    "vm": "vm-1",
    "failure_domain": "a",
    "platform": "127.0.0.1:7000,127.0.0.1:7001",
    "ticket_keys": KEY,
    "peer_keys": KEY,
}


class TestRead:
    def test_flag_goes_before_environment_and_default(self):
        environment = {"CELERYTRAIL_REGION": "south", "CELERYTRAIL_VM": "other"}
        cfg = settings.read(settings.NodeSettings, GOOD, environment).ok_value
        assert cfg.vm == "vm-1"
        assert cfg.region == "south"
        assert cfg.answer_seconds == 30.0
        assert [address.port for address in cfg.platform] == [7000, 7001]

    def test_all_findings_come_together_with_their_place(self):
        """A deployment has several wrong options. Were they shown one at a time, the
        operator would need a restart for each.
        """
        flags = {**GOOD, "vm": "a b", "peer_listen": "nowhere", "stall_seconds": "-1"}
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

    def test_secrets_never_show(self):
        """A key with a mistake is reported, and settings are printed for a bug
        report. Neither may show the key itself.
        """
        cfg = settings.read(settings.NodeSettings, GOOD, {}).ok_value
        assert "ab" * 16 not in str(settings.describe(cfg))
        assert "abab" not in repr(cfg)
        bad = {**GOOD, "peer_keys": "k1:abababxyz"}
        findings = settings.read(settings.NodeSettings, bad, {}).err_value
        assert "abab" not in str(findings[0])


class TestCommandLine:
    def test_findings_exit_with_two(self):
        outcome = CliRunner().invoke(app, ["node", "--vm", "a b"])
        assert outcome.exit_code == 2
        assert "--vm" in outcome.output
        assert "--platform" in outcome.output

    def test_help_names_each_option_and_its_variable(self):
        output = CliRunner().invoke(app, ["node", "--help"]).output
        assert "--answer-seconds" in output
        assert "CELERYTRAIL_ANSWER_SECONDS" in output
