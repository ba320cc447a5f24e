"""The timeline merged from several processes' logs."""

from __future__ import annotations

import io
import json

import eliot
from eliot import start_action

from celerytrail import timeline
from celerytrail.log import continue_task, task_headers
from celerytrail.timelinepage import as_page


def write_log(path, process, events):
    lines = [
        json.dumps(
            {
                "timestamp": at,
                "task_uuid": task,
                "task_level": [number],
                "message_type": name,
                "process": process,
                **fields,
            }
        )
        for number, (at, task, name, fields) in enumerate(events, start=1)
    ]
    path.write_text("\n".join(lines) + "\n")


class TestMerge:
    def test_events_of_all_processes_are_sorted_by_time(self, tmp_path):
        write_log(tmp_path / "a", "node-a", [(3.0, "t", "later", {})])
        write_log(tmp_path / "b", "node-b", [(1.0, "t", "first", {"n": 4})])
        merged = timeline.read_files([tmp_path / "a", tmp_path / "b"])
        assert [event.name for event in merged.events] == ["first", "later"]
        assert "node-b" in next(timeline.as_text(merged))

    def test_a_request_is_followed_through_all_processes(self, tmp_path):
        write_log(
            tmp_path / "a",
            "node-a",
            [(1.0, "t1", "asked", {"request_id": "r1"}), (2.0, "t2", "other", {})],
        )
        write_log(tmp_path / "b", "engine", [(1.5, "t1", "generated", {})])
        write_log(tmp_path / "c", "node-c", [(4.0, "t3", "again", {"from": "r1"})])
        merged = timeline.read_files([tmp_path / name for name in "abc"])
        names = [event.name for event in merged.of_request("r1").events]
        assert names == ["asked", "generated", "again"]

    def test_a_truncated_line_is_a_finding_and_the_rest_is_read(self, tmp_path):
        """A process was killed while it wrote its log, so its last line is truncated.
        All other lines must still be shown.
        """
        log = tmp_path / "a"
        write_log(log, "node-a", [(1.0, "t", "whole", {})])
        log.write_text(log.read_text() + '{"timestamp": 2.0, "task_')
        merged = timeline.read_files([log])
        assert [event.name for event in merged.events] == ["whole"]
        assert [str(finding) for finding in merged.findings] == ["a:2: no log line"]


class TestPage:
    def test_logged_text_is_escaped(self, tmp_path):
        """A caller sends markup in a name that is logged. The page must show it as
        text.
        """
        event = (1.0, "t", "asked", {"model": "<script>alert(1)</script>"})
        write_log(tmp_path / "a", "node-a", [event])
        page = as_page(timeline.read_files([tmp_path / "a"]))
        assert "<script>" not in page
        assert "&lt;script&gt;" in page


class TestAcrossProcesses:
    def test_the_next_process_continues_the_action(self):
        output = io.StringIO()
        destination = eliot.FileDestination(file=output)
        eliot.add_destinations(destination)
        try:
            with start_action(action_type="request") as action:
                headers = task_headers(action)
            with continue_task(headers["x-eliot-task"], "generate"):
                pass
            with continue_task("mangled", "generate"):
                pass
        finally:
            eliot.remove_destination(destination)
        lines = [json.loads(line) for line in output.getvalue().splitlines()]
        # eliot buffers other tests' lines and writes them to a new destination first.
        tasks = [
            line["task_uuid"]
            for line in lines
            if line.get("action_type") in ("request", "generate")
        ]
        assert len(set(tasks[:4])) == 1
        assert tasks[4] != tasks[0]
