import random
from concurrent.futures import ThreadPoolExecutor

from oriolepaddle.admission import Admission
from oriolepaddle.clock import SystemClock
from oriolepaddle.config import ConfigState, Entry
from oriolepaddle.config.model import Endpoint, ObjectKind, Route, RouteKind
from oriolepaddle.routing import (
    LoadReport,
    Router,
    RoutingRequest,
    ShortestTimePolicy,
)

ROUTE = Route(id="consiglio", kind=RouteKind.MODEL)
ENDPOINT = Endpoint("e1", "lombardia-lodi", "127.0.0.1:1", (ROUTE.id,), slots=4)
TIMEOUT_S = 30


class TestAdmissionWithRouter:
    def test_threads_neither_deadlock_nor_leak_slots(self):
        clock, config = SystemClock(), ConfigState()
        config.merge([Entry(ObjectKind.ENDPOINT, ENDPOINT.id, 1, ENDPOINT)])
        router = Router(
            clock=clock,
            config=config,
            data_centre=ENDPOINT.data_centre,
            policy=ShortestTimePolicy(random.Random(1)),
            count_instances=lambda: 1,
            delay_s=lambda data_centre: 0.08,
            waiting_s=lambda route_id: admission.estimated_wait_s,
        )
        admission = Admission(clock, lambda: router.concurrency_limit(ROUTE.id))

        def serve(number):
            deadline_s = clock.monotonic_s() + TIMEOUT_S
            request = RoutingRequest(
                str(number), ROUTE, None, 10, 10, (), deadline_s=deadline_s
            )
            router.choose(request)
            with admission.enter("norddal", 1.0, 10, 10, deadline_s):
                endpoint = router.choose(request, is_admitted=True).endpoint
                handle = router.start(request, endpoint)
                handle.record_first_token()
                handle.finish(10, failed=False)

        def report(number):
            router.apply_load_report(LoadReport(ENDPOINT.id, running=0, queued=0))
            admission.capacity_changed()
            return router.load_summaries()

        with ThreadPoolExecutor(8) as pool:
            calls = [
                pool.submit(report if number % 5 == 0 else serve, number)
                for number in range(500)
            ]
            for call in calls:
                call.result(TIMEOUT_S)
        assert admission.running == admission.waiting == 0
        assert router.concurrency_limit(ROUTE.id) == 5
