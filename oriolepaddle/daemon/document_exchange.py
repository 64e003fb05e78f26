"""Handing the configuration to instances that cannot read the store."""

import queue
import threading
from datetime import timedelta

from werkzeug.wrappers import Request

from oriolepaddle.catalog import Catalog, CatalogReading
from oriolepaddle.clock import Clock
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.logs import log_event
from oriolepaddle.platform import PlatformStore
from oriolepaddle.publication.client import PlatformClient
from oriolepaddle.web import AnswerWriter, Application

__all__ = ["DocumentExchange"]

DOCUMENT_PATH = "/peers/document"
FETCH_TIMEOUT = timedelta(seconds=1)
MAX_WAITING = 16


class DocumentExchange:
    """Fetches newer documents from peers and serves the own one to them.

    Args:
        clock: The time.
        catalog: Holds the document.
        store: Decodes documents.
    """

    def __init__(self, clock: Clock, catalog: Catalog, store: PlatformStore) -> None:
        self._clock = clock
        self._catalog = catalog
        self._store = store
        self._asked: queue.Queue[str] = queue.Queue(MAX_WAITING)
        self._stopping = threading.Event()

    def start(self) -> None:
        """Begin to fetch what is asked for."""
        threading.Thread(target=self._run, name="documents", daemon=True).start()

    def stop(self) -> None:
        """Fetch nothing more."""
        self._stopping.set()
        self.ask("")

    def ask(self, peer_address: str) -> None:
        """Fetch the document of an instance that has a newer one."""
        try:
            self._asked.put_nowait(peer_address)
        except queue.Full:
            log_event("document_fetch_skipped", peer=peer_address)

    def wrap(self, application: Application) -> Application:
        """Return an application that serves the document beside another."""
        return _DocumentApplication(self._catalog, application)

    def _run(self) -> None:
        while not self._stopping.is_set():
            address = self._asked.get()
            if not address:
                continue
            try:
                self._fetch(address)
            except PlatformUnavailableError as error:
                log_event("document_not_fetched", peer=address, reason=error.message)

    def _fetch(self, address: str) -> None:
        held = self._catalog.version
        client = PlatformClient(address, FETCH_TIMEOUT)
        status, body = client.fetch(DOCUMENT_PATH, {"above": held})
        if status != 200:
            return
        change = self._store.decode_document_change(body)
        reading = CatalogReading((change,), self._catalog.revision)
        # A peer's document proves nothing of what is in force now.
        self._catalog.apply(reading, float("-inf"))
        log_event("document_fetched", peer=address, version=self._catalog.version)


class _DocumentApplication:
    def __init__(self, catalog: Catalog, application: Application) -> None:
        self._catalog = catalog
        self._application = application

    def handle(self, request: Request, writer: AnswerWriter) -> None:
        """Answer one request; see `Application.handle`."""
        if request.path != DOCUMENT_PATH:
            self._application.handle(request, writer)
            return
        document = self._catalog.document
        if document is None or document.version <= int(request.args.get("above", 0)):
            writer.answer(204, b"", "application/json")
            return
        writer.answer(200, document.source, "application/json")
