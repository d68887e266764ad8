"""Subcommand ``fleet``: summary of the metrics of nodes."""

import json

import pytest

from fescueknot.cli import main
from fescueknot.relay.metrics import NodeMetrics
from tests.cli.fake_ops import fake_ops_server


def _run(*args):
    return main.main(('fescueknot', 'fleet', *args))


def _metrics(version=7, age_s=1):
    metrics = NodeMetrics()
    metrics.describe(service='entries', failure_domain='sierra-a')
    for name, value in (
        ('rules_version', version),
        ('routes_evidence_age_s', age_s),
        ('slots', 6),
        ('slots_in_use', 2),
        ('waiting', 0),
    ):
        metrics.gauge(name, lambda value=value: value)
    metrics.note('store.call', {'reason': 'start'})
    metrics.note('call.ended', {'service': 'maps', 'status': 200, 'ms': 4})
    return metrics.text()


@pytest.fixture
def files(tmp_path):
    """Return metrics files of two nodes, the second with older routes."""
    paths = [tmp_path / 'node-a.txt', tmp_path / 'node-b.txt']
    for path, version in zip(paths, (7, 6), strict=True):
        path.write_text(_metrics(version))
    return list(map(str, paths))


class TestFleet:
    """Text and JSON output, sources of metrics, missing metrics."""

    def test_text_names_nodes_behind_and_adds_up_metrics(self, files, capsys):
        assert _run(*files) == 0
        output = capsys.readouterr().out
        assert 'routes 7: 1 node\n' in output
        assert f'routes 6: 1 node: {files[1]}\n' in output
        assert 'store calls: start=2' in output
        assert 'entries  sierra-a        2      12     4       0' in output
        assert 'maps     2       0        0       5       5' in output
        assert 'limit_per_s' not in output

    def test_text_tells_what_nodes_with_older_routes_know(self, files, capsys):
        with open(files[1], 'a') as metrics_file:
            metrics_file.write('fescueknot_rules_version_heard 7\n')
            metrics_file.write('fescueknot_follows_store 1\n')
        assert _run(*files) == 0
        lines = capsys.readouterr().out.splitlines()
        header = next(line for line in lines if 'heard_of' in line)
        row = lines[lines.index(header) + 1].split()
        assert row == [files[1], '6', '7', '1', 'yes']

    def test_text_names_nodes_that_know_an_older_era(self, files, capsys):
        for path, era in zip(files, (2, 1), strict=True):
            with open(path, 'a') as metrics_file:
                metrics_file.write(f'fescueknot_store_era {era}\n')
        assert _run(*files) == 0
        output = capsys.readouterr().out
        assert 'era of the store 2: 1 node\n' in output
        assert f'era of the store 1: 1 node: {files[1]}\n' in output

    def test_text_lists_targets_that_announce_a_limit(self, tmp_path, capsys):
        path = tmp_path / 'node-a.txt'
        limit = 'fescueknot_target_rate_limit_per_s 11.2\n'
        path.write_text(_metrics() + limit)
        assert _run(str(path)) == 0
        lines = capsys.readouterr().out.splitlines()
        header = next(line for line in lines if 'limit_per_s' in line)
        row = lines[lines.index(header) + 1].split()
        assert row[1:4] == ['entries', 'sierra-a', '11.2']

    def test_json_has_versions_and_services(self, files, capsys):
        assert _run('--json', *files) == 0
        document = json.loads(capsys.readouterr().out)
        assert document['versions'] == {'7': [files[0]], '6': [files[1]]}
        assert document['services'][0]['served'] == 2

    def test_json_has_null_for_infinite_numbers(self, tmp_path, capsys):
        path = tmp_path / 'node-a.txt'
        path.write_text(_metrics(age_s=float('inf')))
        assert _run('--json', str(path)) == 0
        document = json.loads(
            capsys.readouterr().out, parse_constant=pytest.fail
        )
        assert document['belief_ages_s'] == {str(path): None}

    def test_metrics_are_fetched_from_metrics_port(self, capsys):
        responses = {'/metrics': (200, _metrics().encode())}
        with fake_ops_server(responses) as (address, requests):
            assert _run(address) == 0
        assert requests == ['GET /metrics']
        assert 'routes 7: 1 node\n' in capsys.readouterr().out

    def test_nodes_without_metrics_are_named_and_the_rest_shown(
        self, files, tmp_path, capsys
    ):
        invalid_file = tmp_path / 'other.txt'
        invalid_file.write_text('hello')
        assert _run(files[0], str(invalid_file), str(tmp_path / 'none')) == 1
        output = capsys.readouterr().out
        assert 'routes 7: 1 node\n' in output
        assert f'no figures: {invalid_file}: ' in output
        assert f'no figures: {tmp_path}/none: ' in output
