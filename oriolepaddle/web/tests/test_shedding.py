from oriolepaddle.web.shedding import (
    ConnectionPhase,
    ConnectionState,
    choose_to_shed,
)

NOW_S = 100.0
IDLE, RECEIVING = ConnectionPhase.IDLE, ConnectionPhase.RECEIVING
SERVING, STALLED = ConnectionPhase.SERVING, ConnectionPhase.STALLED


def choose(*rows, count=9):
    states = [
        ConnectionState(number, client, phase, NOW_S - waited_s)
        for number, (client, phase, waited_s) in enumerate(rows)
    ]
    return [state.key for state in choose_to_shed(states, NOW_S, count)]


class TestShedding:
    def test_idle_ones_come_first_then_those_that_send_nothing(self):
        rows = [("a", STALLED, 9), ("a", RECEIVING, 5), ("a", IDLE, 1), ("a", IDLE, 2)]
        assert choose(*rows) == [3, 2, 1, 0]
        assert choose(*rows, count=2) == [3, 2]

    # Guards against ordinary callers that are closed in place of a crowd.
    def test_address_with_most_connections_loses_first(self):
        rows = [("few", RECEIVING, 9), ("many", RECEIVING, 1), ("many", RECEIVING, 2)]
        assert choose(*rows) == [2, 1, 0]

    def test_clients_that_send_or_read_are_never_chosen(self):
        rows = [("a", SERVING, 90), ("a", RECEIVING, 0.1), ("a", STALLED, 0.9)]
        assert choose(*rows) == []
