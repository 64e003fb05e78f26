import attrs
import pytest
from typer.testing import CliRunner

from oriolepaddle.daemon.command import EXIT_SETTINGS, app
from oriolepaddle.settings import Settings, find_problems
from oriolepaddle.settings.seeds import parse_seeds

VALID = Settings(
    instance="n1",
    data_centre="nordur-a",
    platform_address="127.0.0.1:9000",
    peer_secret="a secret of 16 or more",
    operator_token="a token of 16 or more",
)


class TestFindProblems:
    def test_valid_settings_have_none(self):
        assert find_problems(VALID) == []

    def test_all_problems_are_reported_at_once(self):
        problems = find_problems(Settings(drain_limit_s=-1))
        assert len(problems) == 6
        assert any("--drain-limit-s must be at least 0" in line for line in problems)
        assert any("--instance is missing" in line for line in problems)

    @pytest.mark.parametrize(
        ("changes", "flag"),
        [
            ({"caller_address": "localhost:80"}, "--caller-address"),
            ({"caller_address": "127.0.0.1:99999"}, "--caller-address"),
            ({"peer_secret": "short"}, "--peer-secret"),
            ({"max_connections": 0}, "--max-connections"),
            ({"stall_timeout_s": float("nan")}, "--stall-timeout-s"),
            ({"log_level": "LOUD"}, "--log-level"),
            ({"seeds": "n2"}, "--seeds"),
            ({"caller_tls_key": "none.pem"}, "--caller-tls-certificate"),
        ],
    )
    def test_problem_names_its_setting(self, changes, flag):
        problems = find_problems(attrs.evolve(VALID, **changes))
        assert any(flag in line for line in problems)


class TestParseSeeds:
    def test_list_of_seeds_is_parsed_to_instances(self):
        seeds = parse_seeds("n2@nordur-a=127.0.0.1:1, s1@sudur-a=127.0.0.1:2")
        assert [seed.id for seed in seeds] == ["n2", "s1"]
        assert seeds[1].peer_address == "127.0.0.1:2"


class TestCheckCommand:
    def test_environment_is_read(self):
        environment = {
            f"ORIOLEPADDLE_{name.upper()}": str(value)
            for name, value in attrs.asdict(VALID).items()
            if value != ""
        }
        assert CliRunner().invoke(app, ["check"], env=environment).exit_code == 0

    def test_invalid_settings_exit_with_the_settings_code(self):
        result = CliRunner().invoke(app, ["check", "--max-connections", "0"])
        assert result.exit_code == EXIT_SETTINGS
        assert "--max-connections" in result.output
