"""Tests of the pace in a fleet that starts as a whole, in virtual time."""

from random import Random

from load_play import Play
from relay_builders import make_announcement

from catkinhollow.relay.placement.service_peers import DirectoryPeers


class View:
    """Show the peers of one daemon of a play as its directory does."""

    def __init__(self, play, index):
        peers, self._by_service = play.peers[index]
        self.own = peers[index]

    def for_service(self, service):
        return self._by_service[service]


def play_start(seed, *, paced):
    """Play the first seconds of a fleet whose targets start within 3 s."""
    random = Random(seed)
    play = Play(seed, factors=(1.0,), slow=False, load=0.9, seconds=4.0)
    for index, gate in enumerate(play.gates):
        gate._target = None
        if paced:
            service = play.records[index].service
            gate.peers = DirectoryPeers(View(play, index), service)
        started_ms = 100_000 + int(random.uniform(0, 3000))
        gate.announce(make_announcement(slots=4, started_ms=started_ms), 0.0)
    return play.run()


def served_in_first_second(play):
    calls = [call for call in play.calls if call.arrived_s < 1.0]
    return sum(call.end_s < 9.0 for call in calls) / len(calls)


def test_fleet_that_starts_as_a_whole_serves_from_the_first_second():
    """Guards against targets that are all slowed because all are new."""
    for seed in (1, 2):
        paced, free = play_start(seed, paced=True), play_start(seed, paced=False)
        assert not any(gate.pace.changes for gate in paced.gates)
        assert served_in_first_second(paced) == served_in_first_second(free)
        assert served_in_first_second(paced) >= 0.95
