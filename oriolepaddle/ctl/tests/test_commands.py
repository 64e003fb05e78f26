import json

import pytest
from typer.testing import CliRunner

from oriolepaddle.clock import SystemClock
from oriolepaddle.ctl.commands import app
from oriolepaddle.ctl.exit_code import ExitCode
from oriolepaddle.operators import OperatorApplication
from oriolepaddle.operators.tests.test_application import TOKEN, FakeAdministration
from oriolepaddle.web import HttpServer

runner = CliRunner()


@pytest.fixture
def address():
    application = OperatorApplication(FakeAdministration(), TOKEN)
    server = HttpServer("127.0.0.1", 0, application, SystemClock())
    server.start()
    yield f"127.0.0.1:{server.port}"
    server.close()


@pytest.fixture
def run(address):
    def run(*words, token=TOKEN):
        return runner.invoke(app, [*words, "--address", address, "--token", token])

    return run


class TestTicketCheck:
    def test_valid_ticket(self, tmp_path):
        file = tmp_path / "ticket.json"
        objects = [{"kind": "key", "id": "k1", "value": None}]
        file.write_text(json.dumps({"number": 4, "objects": objects}))
        result = runner.invoke(app, ["ticket", "check", str(file), "--json"])
        assert result.exit_code == ExitCode.OK
        assert json.loads(result.output)["number"] == 4

    def test_invalid_ticket_has_its_exit_code(self, tmp_path):
        file = tmp_path / "ticket.json"
        file.write_text("{}")
        result = runner.invoke(app, ["ticket", "check", str(file)])
        assert result.exit_code == ExitCode.INVALID_TICKET

    def test_missing_file_fails(self, tmp_path):
        result = runner.invoke(app, ["ticket", "check", str(tmp_path / "none")])
        assert result.exit_code == ExitCode.FAILED


class TestInstanceCommands:
    def test_status_as_json_and_as_table(self, run):
        assert json.loads(run("status", "--json").output)["instance"] == "n1"
        assert "nordur-a" in run("status").output

    def test_instances_are_listed(self, run):
        assert "n2" in run("instances").output

    def test_drain(self, run):
        assert run("drain").exit_code == ExitCode.OK

    def test_wrong_token_is_rejected(self, run):
        result = run("status", token="wrong")
        assert result.exit_code == ExitCode.FAILED
        assert "permission_denied" in result.output

    def test_closed_instance_is_unreachable(self):
        words = ["status", "--address", "127.0.0.1:1", "--token", TOKEN]
        assert runner.invoke(app, words).exit_code == ExitCode.UNREACHABLE

    def test_watch_shows_each_instance(self, address):
        words = ["watch", address, "127.0.0.1:1", "--token", TOKEN, "--count", "1"]
        result = runner.invoke(app, words, env={"COLUMNS": "200"})
        assert "n1" in result.output
        assert "127.0.0.1:1" in result.output
