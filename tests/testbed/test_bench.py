"""Tests of the computations of the benchmarks."""

import pytest
from attrs import evolve

from catkinhollow.codec import decode_json, encode_json
from catkinhollow.commands.application import run
from catkinhollow.generated.bench import BenchResult, Experiment, Machine, Point
from catkinhollow.generated.bench import RestPlan as Rest
from catkinhollow.mesh.links import LinkCounters
from catkinhollow.testbed.compare import Unmatched, compare
from catkinhollow.testbed.convergence_bench import Change, Delays, cost_figures
from catkinhollow.testbed.daemon_logs import read_events, ready_ms
from catkinhollow.testbed.downstream import chain_path, parse_then
from catkinhollow.testbed.experiments import list_experiments, load_experiment
from catkinhollow.testbed.fits import fit_all
from catkinhollow.testbed.fleet_load import (
    DaemonSample,
    FleetSample,
    PeerTraffic,
    load_between,
)
from catkinhollow.testbed.hop_bench import PairTimes
from catkinhollow.testbed.measures import parse_metrics
from catkinhollow.testbed.report import write_report

REST = "description: x\nrest: {sizes: [3]}\n"


def make_result(*values, figure="cpu_ms", series="rest", complete=True):
    machine = Machine(cores=1, memory_bytes=1, kernel="k", python="3", load_average=[1])
    return BenchResult(
        experiment="e",
        commit="c",
        started="s",
        machine=machine,
        complete=complete,
        settings=Experiment(description="d", rest=Rest(sizes=[2])),
        points=[
            Point(series=series, size=size, repeat=repeat, figures={figure: value})
            for repeat, (size, value) in enumerate(values)
        ],
    )


@pytest.mark.parametrize("name", list_experiments())
def test_experiments_are_valid(name):
    """Guards against experiment files that cannot be run."""
    experiment = load_experiment(name).ok.experiment
    assert not name.endswith("-quick") or experiment.limit_s <= 60


@pytest.mark.parametrize(
    ("text", "line", "path"),
    [
        (REST + "sede: 2\n", 3, "sede"),
        ("description: x\nrest:\n  sizes: [3]\n  window: 1\n", 4, "rest.window"),
        ("description: x\nrest: {sizes: [251]}\n", 2, "rest.sizes[0]"),
        ("description: x\n", 1, ""),
        (REST + "storm: {sizes: [3]}\n", 3, "storm"),
    ],
)
def test_invalid_experiments_are_rejected(tmp_path, text, line, path):
    """Guards against a mistyped key that silently leaves the default."""
    (tmp_path / "x.yaml").write_text(text)
    [problem] = load_experiment("x", tmp_path).error
    assert (problem.line, problem.path) == (line, path)
    assert load_experiment("../x", tmp_path).is_error()


def test_fits_extrapolate_each_scale_to_the_design_size():
    """Guards against a fit over the wrong scale."""
    linear, _ = fit_all([(10, 21.0), (30, 61.0), (60, 121.0)])
    assert (round(linear.slope, 6), round(linear.intercept, 6)) == (2, 1)
    assert round(linear.at_design_size) == 2801
    _, logarithmic = fit_all([(8, 3.0), (16, 4.0), (64, 6.0)])
    assert round(logarithmic.at_design_size, 3) == 10.451
    assert logarithmic.r_squared > 0.999 > linear.r_squared - 1
    assert [fit.r_squared for fit in fit_all([(1, 5), (2, 5), (3, 5)])] == [1, 1]
    assert fit_all([(10, 1.0), (10, 2.0), (30, 2.0)]) == []


def test_compare_divides_new_medians_by_old_ones():
    """Guards against an inverted ratio and a figure that is left out."""
    old = make_result((10, 1.0), (10, 2.0), (10, 9.0), (30, 0.0))
    new = make_result((10, 3.0), (30, 1.0), (60, 1.0))
    small, zero, unmatched = compare([old], [new])
    assert (small.old, small.new, small.ratio) == (2.0, 3.0, 1.5)
    assert zero.ratio is None
    assert isinstance(unmatched, Unmatched)
    assert list(compare([old], [evolve(new, experiment="other")])) == []


def test_report_shows_repeats_fits_and_an_early_end(tmp_path):
    """Guards against a report that omits the range or an incomplete run."""
    points = ((10, 1.0), (10, 2.0), (30, 3.0), (60, 6.0))
    result = make_result(*points, figure="peer_median_bytes_per_s", complete=False)
    (tmp_path / "e.json").write_bytes(encode_json(result))
    assert run(["", "bench", "report", str(tmp_path)]) == 0
    text = (tmp_path / "e.md").read_text()
    assert "| peer_median_bytes_per_s | 1.5 (1 to 2) | 3 | 6 |" in text
    assert "| peer_median_bytes_per_s | N | " in text
    assert "the run did not complete" in text
    assert "peer_median_bytes_per_s" in (tmp_path / "e.svg").read_text()
    complete = evolve(result, complete=True, points=result.points[:1])
    write_report(complete, tmp_path)
    text = (tmp_path / "e.md").read_text()
    assert "did not complete" not in text and "Linear fits" not in text


def test_compare_command_needs_readable_results(tmp_path, capfd):
    """Guards against a comparison with no results or invalid ones."""
    (tmp_path / "e.json").write_text("{}")
    assert run(["", "bench", "compare", str(tmp_path), str(tmp_path)]) == 1
    assert run(["", "bench", "report", str(tmp_path / "none")]) == 1
    (tmp_path / "empty").mkdir()
    assert run(["", "bench", "report", str(tmp_path / "empty")]) == 1
    (tmp_path / "e.json").write_bytes(encode_json(make_result((10, 2.0))))
    capfd.readouterr()
    assert run(["", "bench", "compare", str(tmp_path), str(tmp_path)]) == 0
    assert "1.000" in capfd.readouterr().out


def test_delays_count_daemons_without_a_change_as_late(tmp_path):
    """Guards against figures that leave out late daemons."""
    log = tmp_path / "daemon.log"
    log.write_text(
        '{"time_ms":90,"event":"ready","revision":1}\n'
        '{"time_ms":100,"event":"configuration enforced","revision":4}\n'
        "Traceback\n"
        '{"time_ms":150,"event":"configuration enforced","revision":6}\n'
        '{"time_ms":160,"event":"ready","revision":6}\n'
    )
    events = read_events(log)
    assert ready_ms(events, 95) == 160
    delays = Delays()
    delays.add(Change(revision=5, accepted_ms=120), [events, events[:2]])
    delays.add(Change(revision=6, accepted_ms=170), [events])
    figures = delays.figures()
    assert (figures["late"], round(figures["delay_max_ms"])) == (1, 30)
    assert figures["last_daemon_median_ms"] == 15


def test_load_leaves_out_daemons_that_restarted():
    """Guards against a negative cost from counters that start at zero."""

    def sample(taken_s, *daemons, calls):
        return FleetSample(
            taken_s=taken_s,
            store_calls=calls,
            daemons={
                str(index): DaemonSample(
                    pid=pid, cpu_s=cpu_s, traffic=PeerTraffic(messages=cpu_s, bytes=0)
                )
                for index, (pid, cpu_s) in enumerate(daemons)
            },
        )

    rest = load_between(
        sample(0, (1, 0.0), (2, 0.0), calls=0), sample(5, (1, 0.5), (2, 0.5), calls=5)
    )
    load = load_between(
        sample(0, (1, 1.0), (2, 9.0), calls=9), sample(10, (1, 4.0), (3, 1), calls=39)
    )
    figures = cost_figures(load, rest, changes=4)
    assert len(load.daemons) == 1
    assert figures["cpu_per_daemon_change_ms"] == 500
    assert figures["store_calls_per_change"] == 5


def test_added_time_per_daemon_is_a_share_of_the_chain():
    """Guards against the added time of a chain reported for one daemon."""
    times = PairTimes()
    for _ in range(100):
        times.add(0.001, 0.004)
    figures = times.figures(3)
    assert round(figures["added_p50_ms"], 2) == 3
    assert round(figures["added_p99_per_daemon_ms"], 2) == 1


def test_chain_passes_the_remaining_steps_on():
    """Guards against a chain that repeats a step or leaves loopback."""
    steps = parse_then("127.0.0.1:1/a,127.0.0.1:2/b")
    assert chain_path("/a", steps[1:]) == ("/a", b"then=127.0.0.1:2/b")
    assert parse_then("") == () and chain_path("/a", ()) == ("/a", b"")
    for text in ("10.0.0.1:1/a", "127.0.0.1:1", "127.0.0.1:1/a,"):
        with pytest.raises(ValueError):
            parse_then(text)


def test_metrics_and_results_are_parsed():
    """Guards against misread labels with spaces, and lost fields."""
    text = '# HELP a b\na{direction="sent and more"} 3\nb 1.5\n'
    assert parse_metrics(text) == {'a{direction="sent and more"}': 3, "b": 1.5}
    result = make_result((10, 1.0))
    assert decode_json(encode_json(result), BenchResult).ok == result
    counters = LinkCounters()
    counters.count_sent(3)
    counters.count_received(5)
    assert (counters.bytes_sent, counters.messages_received) == (3, 1)
