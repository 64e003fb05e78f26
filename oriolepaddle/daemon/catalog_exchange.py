"""Handing the catalog to instances that do not read the store."""

import queue
import threading
from collections.abc import Callable
from datetime import timedelta

import cattrs
from cattrs.errors import BaseValidationError
from werkzeug.wrappers import Request

from oriolepaddle.catalog import Catalog, CatalogSnapshot, ConfigDocument
from oriolepaddle.clock import Clock
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.logs import log_event
from oriolepaddle.publication.client import PlatformClient, parse_json
from oriolepaddle.web import AnswerWriter, Application

__all__ = ["CatalogExchange"]

DOCUMENT_PATH = "/peers/document"
SNAPSHOT_PATH = "/peers/catalog"
FETCH_TIMEOUT = timedelta(seconds=1)
MAX_WAITING = 4
NO_CONTENT = 204
OK = 200


class CatalogExchange:
    """Fetches what peers know better and serves what is known here.

    Args:
        clock: The time.
        catalog: What is known.
        decode_document: Reads a document as it was published.
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
        self._asked: queue.Queue[str] = queue.Queue(MAX_WAITING)
        self._stopping = threading.Event()

    def start(self) -> None:
        """Begin to fetch what is asked for."""
        threading.Thread(target=self._run, name="catalog-fetch", daemon=True).start()

    def stop(self) -> None:
        """Fetch nothing more."""
        self._stopping.set()
        self.request_fetch("")

    def request_fetch(self, peer_address: str) -> None:
        """Fetch the catalog of an instance that knows more."""
        try:
            self._asked.put_nowait(peer_address)
        except queue.Full:
            # The same is asked for again with the next announcement.
            return

    def wrap(self, application: Application) -> Application:
        """Return an application that serves the catalog beside another."""
        return _CatalogApplication(self._catalog, application)

    def _run(self) -> None:
        while not self._stopping.is_set():
            address = self._asked.get()
            # Whoever was asked for meanwhile knew of the same news; an instance that
            # knows more still says so in its next announcement.
            while not self._asked.empty():
                address = self._asked.get()
            if not address:
                continue
            try:
                self._fetch(address)
            except PlatformUnavailableError as error:
                log_event("catalog_not_fetched", peer=address, reason=error.message)

    def _fetch(self, address: str) -> None:
        client = PlatformClient(address, FETCH_TIMEOUT)
        held = self._catalog.version
        status, body = client.fetch(DOCUMENT_PATH, {"above": held})
        if status == OK:
            self._catalog.accept_document(self._decode_document(body))
        is_adopted = False
        if self._catalog.needs_peer_snapshot():
            asked_at_s = self._clock.monotonic_s()
            status, body = client.fetch(SNAPSHOT_PATH, {})
            if status == OK:
                is_adopted = self._catalog.adopt(_read_snapshot(body), asked_at_s)
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


def _read_snapshot(body: bytes) -> CatalogSnapshot:
    try:
        return cattrs.structure(parse_json(SNAPSHOT_PATH, body), CatalogSnapshot)
    except (BaseValidationError, ValueError, TypeError, KeyError) as error:
        raise PlatformUnavailableError(
            f"a peer's catalog is not understood: {error}"
        ) from error
