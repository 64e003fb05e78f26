import json

import pytest
import trustme

from oriolepaddle.ctl.client import OperatorClient
from oriolepaddle.daemon.tests.fleet import (
    SECRET,
    Daemon,
    Fleet,
    await_true,
    make_chat,
)
from oriolepaddle.standins import RelayMode


@pytest.fixture
def fleet():
    fleet = Fleet()
    yield fleet
    fleet.close()


class TestStartWithoutPlatform:
    def test_is_not_ready_and_can_be_stopped(self, fleet):
        fleet.launch("n1", "nordur-a")
        fleet.platform_links["n1"].set_mode(RelayMode.CUT)
        daemon = fleet.daemons["n1"]
        await_true(lambda: any("not answer" in line for line in daemon.lines))
        assert daemon.caller_port is None
        assert daemon.stop() == 0

    def test_catches_up_from_peers(self, fleet):
        fleet.start(n1="nordur-a", s1="sudur-a", n2="nordur-a")
        fleet.daemons["n2"].stop()
        peers = ",".join(
            f"{name}@{fleet.daemons[name].data_centre}={fleet.peer_links[name].address}"
            for name in ("n1", "s1")
        )
        fleet.launch("n2", "nordur-a", seeds=peers)
        fleet.platform_links["n2"].set_mode(RelayMode.CUT)
        fleet.await_listening("n2")
        status = fleet.daemons["n2"].call_operator_api("GET", "/v1/status")
        assert status["highest_ticket"] == fleet.number


class TestTls:
    def test_operators_and_callers_use_it(self, fleet, tmp_path, monkeypatch):
        authority = trustme.CA()
        certificate = authority.issue_cert("127.0.0.1")
        authority.cert_pem.write_to_path(tmp_path / "ca.pem")
        certificate.private_key_pem.write_to_path(tmp_path / "key.pem")
        certificate.cert_chain_pems[0].write_to_path(tmp_path / "cert.pem")
        files = {
            f"{side}_tls_{part}": tmp_path / name
            for side in ("caller", "operator")
            for part, name in (("certificate", "cert.pem"), ("key", "key.pem"))
        }
        daemon = Daemon("n1", "nordur-a", fleet.platform.address, **files)
        fleet.daemons["n1"] = daemon
        daemon.await_ready()
        monkeypatch.setenv("ORIOLECTL_CA_FILE", str(tmp_path / "ca.pem"))
        client = OperatorClient(f"https://127.0.0.1:{daemon.operator_port}", SECRET)
        assert client.call("GET", "/v1/status")["instance"] == "n1"
        callers = OperatorClient(f"https://127.0.0.1:{daemon.caller_port}", "none")
        body = json.dumps(make_chat()).encode()
        with pytest.raises(Exception, match="key_unknown"):
            callers.call("POST", "/v1/chat/completions", body)
