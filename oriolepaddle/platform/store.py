"""A client of the platform's store; a `CatalogSource`."""

import base64
import binascii
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

from oriolepaddle.catalog import (
    CatalogChange,
    CatalogReading,
    HistoryGoneError,
)
from oriolepaddle.clock import Clock
from oriolepaddle.errors import PlatformUnavailableError
from oriolepaddle.logs import log_event
from oriolepaddle.platform.decoding import DECODE_ERRORS
from oriolepaddle.platform.document import decode_document
from oriolepaddle.platform.registration import decode_endpoint
from oriolepaddle.publication.client import PlatformClient, parse_json

__all__ = ["PlatformStore"]

READ_TIMEOUT = timedelta(seconds=1.5)
"""Above the slowest responses of a store that is slow but available."""
ALL_KEYS_PREFIX = ""
"""The prefix of all keys: one watch covers the configuration and the endpoints."""
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
ENDPOINT_PREFIX = "servers/"
MAX_UNREADABLE = 256
"""Entries that are logged as unreadable."""
MAX_LOGGED_CHARACTERS = 300
ERA_FIELD = "store-era"
MAX_ERA_DIGITS = 18
HISTORY_GONE_STATUS = 410
OK_STATUS = 200
_LOST_DOCUMENT = CatalogChange(CONFIGURATION_KEY, is_document_lost=True)


class PlatformStore:
    """The store as a source of documents and endpoints.

    Args:
        address: `IP:port` of the store.
        clock: The source of time, for the times of readings.
    """

    def __init__(self, address: str, clock: Clock) -> None:
        self._client = PlatformClient(address, READ_TIMEOUT)
        self._clock = clock
        self._unreadable_keys: set[str] = set()
        self._has_logged_era = False

    def read(self) -> CatalogReading:
        """Return all items; see `CatalogSource.read`."""
        changes: list[CatalogChange] = []
        revision: int | None = None
        era: int | None = None
        after = ""
        while True:
            query = {"pathPrefix": ALL_KEYS_PREFIX}
            if after:
                query["after"] = after
            page, page_era = self._get("/kv-range", query)
            if revision is None:
                era = page_era
            elif page_era != era:
                raise PlatformUnavailableError(
                    "the store was restored between two pages"
                )
            items = page.get("items") or []
            changes += self._decode(items)
            # Pages are read one after the other. The watch starts at the first
            # page's revision, so that it returns changes made meanwhile.
            revision = page["currentRev"] if revision is None else revision
            if not page.get("truncated") or not items:
                return CatalogReading(
                    tuple(changes), int(revision), is_whole=True, era=era
                )
            after = items[-1]["key"]

    def watch(self, revision: int, timeout: timedelta) -> CatalogReading:
        """Wait for changes; see `CatalogSource.watch`."""
        query = {
            "pathPrefix": ALL_KEYS_PREFIX,
            "after": revision,
            "waitMs": int(timeout.total_seconds() * 1000),
        }
        document, era = self._get("/kv-watch", query, timeout)
        changes = tuple(self._decode(document.get("events") or []))
        return CatalogReading(changes, int(document["currentRev"]), era=era)

    def _get(
        self, path: str, query: dict[str, Any], wait: timedelta = timedelta(0)
    ) -> tuple[dict[str, Any], int | None]:
        response = self._client.call(path, query, wait)
        status = response.status
        if status == HISTORY_GONE_STATUS:
            raise HistoryGoneError(f"{path}: the store no longer has the changes")
        if status != OK_STATUS:
            raise PlatformUnavailableError(f"{path} responded with status {status}")
        document = parse_json(path, response.body)
        if not isinstance(document, dict) or "currentRev" not in document:
            raise PlatformUnavailableError(f"{path} responded without a revision")
        return document, self._read_era(response.headers)

    def _read_era(self, headers: dict[str, str]) -> int | None:
        text = headers.get(ERA_FIELD)
        if text is None:
            return None
        if not (text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS):
            if not self._has_logged_era:
                self._has_logged_era = True
                log_event("store_era_unreadable", era=text[:MAX_LOGGED_CHARACTERS])
            return None
        return int(text)

    def _decode(self, items: list[dict[str, Any]]) -> Iterator[CatalogChange]:
        for item in items:
            try:
                change = self._decode_item(item["key"], item)
            except (PlatformUnavailableError, *DECODE_ERRORS) as error:
                # The other entries hold.
                self._log_unreadable_once(item, error)
                change = _LOST_DOCUMENT if _is_configuration(item) else None
            if change is not None:
                yield change

    def _decode_item(self, key: str, item: dict[str, Any]) -> CatalogChange | None:
        # The store marks deleted keys as tombstones.
        if item.get("tombstone"):
            if key == CONFIGURATION_KEY:
                return _LOST_DOCUMENT
            return CatalogChange(key, is_removed=True)
        key.encode()
        if key.startswith(EVACUATION_PREFIX):
            return CatalogChange(key, evacuated=key.removeprefix(EVACUATION_PREFIX))
        if key == CONFIGURATION_KEY:
            document = decode_document(_decode_value(item))
            return CatalogChange(CONFIGURATION_KEY, document=document)
        if key.startswith(ENDPOINT_PREFIX):
            endpoint_id = key.removeprefix(ENDPOINT_PREFIX)
            endpoint = decode_endpoint(
                endpoint_id, _decode_value(item), self._clock.monotonic_s()
            )
            return CatalogChange(key, endpoint=endpoint)
        return None

    def _log_unreadable_once(self, item: object, error: Exception) -> None:
        key = ascii(item.get("key") if isinstance(item, dict) else item)
        key = key[:MAX_LOGGED_CHARACTERS]
        if key in self._unreadable_keys or len(self._unreadable_keys) == MAX_UNREADABLE:
            return
        self._unreadable_keys.add(key)
        reason = repr(error)[:MAX_LOGGED_CHARACTERS]
        log_event("store_entry_unreadable", key=key, reason=reason)


def _is_configuration(item: object) -> bool:
    return isinstance(item, dict) and item.get("key") == CONFIGURATION_KEY


def _decode_value(item: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(item["value"], validate=True)
    except (KeyError, TypeError, binascii.Error, ValueError) as error:
        raise PlatformUnavailableError(
            f"the value is missing or not Base64: {error!r}"
        ) from error
