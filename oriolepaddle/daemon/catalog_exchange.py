"""Exchange of the catalog with instances that do not read the store."""

import queue
import threading
from collections.abc import Callable
from datetime import timedelta

import cattrs
from cattrs.errors import BaseValidationError
from werkzeug.wrappers import Request

from oriolepaddle.catalog import (
    Catalog,
    CatalogSnapshot,
    ConfigDocument,
    check_endpoint,
)
from oriolepaddle.clock import Clock
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.logs import log_event, log_unforeseen
from oriolepaddle.publication.client import PlatformClient, parse_json
from oriolepaddle.web import AnswerWriter, Application

__all__ = ["CatalogExchange"]

DOCUMENT_PATH = "/peers/document"
SNAPSHOT_PATH = "/peers/catalog"
FETCH_TIMEOUT = timedelta(seconds=1)
MAX_PENDING_FETCHES = 4
NO_CONTENT = 204
OK = 200


class CatalogExchange:
    """Fetches newer catalogs from peers and serves the own catalog to them.

    Args:
        clock: The clock.
        catalog: The catalog of this instance.
        decode_document: Decodes a published document.
    """

    def __init__(
        self,
        clock: Clock,
        catalog: Catalog,
        decode_document: Callable[[bytes], ConfigDocument],
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._decode_document = decode_document
        self._pending_addresses: queue.Queue[str] = queue.Queue(MAX_PENDING_FETCHES)
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread that fetches the requested catalogs."""
        threading.Thread(target=self._run, name="catalog-fetch", daemon=True).start()

    def stop(self) -> None:
        """Stop fetching."""
        self._stopping.set()
        self.request_fetch("")

    def request_fetch(self, peer_address: str) -> None:
        """Request a fetch of the catalog of a peer that has a newer one."""
        try:
            self._pending_addresses.put_nowait(peer_address)
        except queue.Full:
            # The peer's next announcement requests the same fetch again.
            return

    def wrap(self, application: Application) -> Application:
        """Return an application that serves the catalog and wraps another."""
        return _CatalogApplication(self._catalog, application)

    def _run(self) -> None:
        while not self._stopping.is_set():
            address = self._pending_addresses.get()
            # Only the last requested peer is queried: the others announced the same
            # change, and one with a newer catalog announces it again.
            while not self._pending_addresses.empty():
                address = self._pending_addresses.get()
            if not address:
                continue
            try:
                self._fetch(address)
            except PlatformUnavailableError as error:
                log_event("catalog_not_fetched", peer=address, reason=error.message)
            except Exception as error:  # noqa: BLE001 - later fetches must be made
                log_unforeseen("catalog-fetch", error)

    def _fetch(self, address: str) -> None:
        client = PlatformClient(address, FETCH_TIMEOUT)
        own_version = self._catalog.version
        status, body = client.fetch(DOCUMENT_PATH, {"above": own_version})
        if status == OK:
            self._catalog.accept_document(self._decode_document(body))
        is_adopted = False
        if self._catalog.needs_peer_snapshot():
            requested_at_s = self._clock.monotonic_s()
            status, body = client.fetch(SNAPSHOT_PATH, {})
            if status == OK:
                is_adopted = self._catalog.adopt(_decode_snapshot(body), requested_at_s)
        log_event(
            "catalog_fetched",
            peer=address,
            version=self._catalog.version,
            endpoints_adopted=is_adopted,
            endpoints_age_s=round(self._catalog.endpoints_age_s(), 3),
        )


class _CatalogApplication:
    def __init__(self, catalog: Catalog, application: Application) -> None:
        self._catalog = catalog
        self._application = application

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one request; see `Application.handle`."""
        if request.path == SNAPSHOT_PATH:
            self._answer_snapshot(writer)
        elif request.path == DOCUMENT_PATH:
            self._answer_document(request, writer)
        else:
            self._application.handle(request, writer)

    def _answer_snapshot(self, writer: AnswerWriter) -> None:
        snapshot = self._catalog.snapshot()
        if snapshot.age_s == float("inf"):
            writer.answer(NO_CONTENT, b"", "application/json")
            return
        writer.answer_json(OK, cattrs.unstructure(snapshot))

    def _answer_document(self, request: Request, writer: AnswerWriter) -> None:
        document = self._catalog.document
        above = request.args.get("above", 0, type=int)
        if document is None or document.version <= above:
            writer.answer(NO_CONTENT, b"", "application/json")
            return
        writer.answer(OK, document.source, "application/json")


def _decode_snapshot(body: bytes) -> CatalogSnapshot:
    try:
        fields = parse_json(SNAPSHOT_PATH, body)
        snapshot = cattrs.structure(fields, CatalogSnapshot)
        for endpoint in snapshot.endpoints:
            check_endpoint(endpoint, now_s=0.0)
        return snapshot
    except (BaseValidationError, ValueError, TypeError, KeyError) as error:
        raise PlatformUnavailableError(
            f"a peer's catalog could not be decoded: {error}"
        ) from error
