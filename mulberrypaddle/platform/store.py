"""HTTP client of the platform's metadata store."""

from __future__ import annotations

import json
import logging
import urllib.parse
from typing import TYPE_CHECKING, Any

import pycurl
import tornado.httpclient
from returns.result import Failure, Result, Success

from mulberrypaddle.backends.curl import (
    limit_answer_size,
    make_client,
    proves_unsent,
)
from mulberrypaddle.core.errors import ErrorKind, Problem, Ran
from mulberrypaddle.core.value_checks import (
    MAX_OBJECT_LEVELS,
    is_nested_deeper,
    parse_unsigned,
    require_int,
    require_name,
    shorten,
)
from mulberrypaddle.platform import lenient_json
from mulberrypaddle.serving.decision_log import log_state_change
from mulberrypaddle.serving.report_limiter import ReportLimiter
from mulberrypaddle.serving.socket_options import enable_keepalive_probes
from mulberrypaddle.serving.store import (
    Changes,
    Collection,
    HistoryGoneError,
    Listing,
    ObjectStore,
    StoredItem,
)
from mulberrypaddle.serving.store_era import (
    FIRST_ERA,
    MAX_ERA,
    era_of,
    make_revision,
    store_revision_of,
)

if TYPE_CHECKING:
    from tornado.httpclient import HTTPResponse

_LOGGER = logging.getLogger("mulberrypaddle.store")

# Exceptions raised when an answer does not have the expected form.
_PARSE_ERRORS = (AttributeError, KeyError, TypeError, ValueError)

# Levels of an answer of which the values are read one by one if the answer
# can't be decoded as a whole: those of one object, of the objects of a listing
# and of the objects in the events of a watch.
_OBJECT_LEVELS = 1
_LISTING_LEVELS = 3
_WATCH_LEVELS = 4

# Object kind of each collection in the store. Kinds with the prefix
# "mulberrypaddle-" are this system's own; the platform defines the others.
_KIND_BY_COLLECTION = {
    Collection.CONFIGURATION: "config",
    Collection.EVACUATIONS: "evacuations",
    Collection.RUNNERS: "servers",
    Collection.ROUTERS: "mulberrypaddle-routers",
    Collection.DUTIES: "mulberrypaddle-duties",
    Collection.USAGE: "mulberrypaddle-usage",
    Collection.CRASHES: "mulberrypaddle-crashes",
}

# Timeout of all calls but watches: the store answers in 4 ms, or in some
# hundred when it is slow.
CALL_TIMEOUT_SECONDS = 1.5

# Added to the wait of a watch to get its timeout; covers three slow answers.
WATCH_SLACK_SECONDS = 0.8

# Maximum size of an answer; a page of a listing has about a megabyte.
MAX_ANSWER_BYTES = 8_388_608

# Header with the era of the store in all its answers. It rises by one each time
# the store is restored from a copy.
_ERA_HEADER = "Store-Era"

# Maximum number of pages in a listing; a longer one fails.
MAX_LISTING_PAGES = 200

_REPORTED_OBJECTS = ReportLimiter()


class PlatformStore(ObjectStore):
    """Object store that is reached over HTTP at one address.

    Answers of an era before the latest one that was seen count as failures:
    what they say was undone by a restore.
    """

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}/objects/"
        self._client = make_client()
        # Latest era that an answer, or a revision from another router, had.
        self._era = FIRST_ERA
        # Whether an answer was received.
        self._is_era_known = False

    async def list(
        self, collection: Collection, *, may_be_stale: bool = False
    ) -> Result[Listing, Problem]:
        """Returns a complete collection, which is fetched page by page."""
        items: list[StoredItem] = []
        revision = 0
        era = 0
        after = ""
        for _ in range(MAX_LISTING_PAGES):
            query = {"after": after} if after else {}
            if may_be_stale:
                query["serializable"] = "1"
            result = await self._request(
                "GET", _path(collection, query=query), levels=_LISTING_LEVELS
            )
            if not isinstance(result, Success):
                return Failure(result.failure())
            page = result.unwrap()
            era = era or self._era
            if self._era != era:
                return Failure(_restored_problem("listing", era, self._era))
            try:
                items.extend(_parse_readable_items(page["items"], era))
                # Later pages may be newer. A watch from the first page's
                # revision reports all changes made in between.
                revision = revision or _parse_revision(
                    page["storeRevision"], era
                )
                has_more = bool(page.get("hasMore", False))
            except _PARSE_ERRORS as error:
                return Failure(_unreadable_problem("listing", error))
            if not has_more:
                return Success(Listing(items, revision=revision))
            if not items or items[-1].name == after:
                return Failure(
                    Problem(
                        ErrorKind.STORE_UNAVAILABLE,
                        f"no readable object after {after!r}",
                    )
                )
            after = items[-1].name
        return Failure(
            Problem(
                ErrorKind.STORE_UNAVAILABLE,
                f"over {MAX_LISTING_PAGES} pages of {collection.value}",
            )
        )

    async def watch(
        self, collection: Collection, *, revision: int, wait_seconds: float
    ) -> Result[Changes, Problem]:
        """Returns the changes after a revision, waiting for the first one.

        If nothing changes within `wait_seconds`, the changes are empty.

        Raises:
            HistoryGoneError: If the store no longer keeps the changes, or was
                restored since the revision.
        """
        return await self._read_changes(
            collection,
            revision,
            wait_seconds=wait_seconds,
            timeout_seconds=wait_seconds + WATCH_SLACK_SECONDS,
        )

    async def changes_since(
        self,
        collection: Collection,
        *,
        revision: int,
        timeout_seconds: float,
        new_connection: bool,
    ) -> Result[Changes, Problem]:
        """Returns the changes after a revision at once.

        Raises:
            HistoryGoneError: If the store no longer keeps the changes, or was
                restored since the revision.
        """
        return await self._read_changes(
            collection,
            revision,
            wait_seconds=0.0,
            timeout_seconds=timeout_seconds,
            new_connection=new_connection,
        )

    async def _read_changes(
        self,
        collection: Collection,
        revision: int,
        *,
        wait_seconds: float,
        timeout_seconds: float,
        new_connection: bool = False,
    ) -> Result[Changes, Problem]:
        """Returns the changes after a revision, waiting for the first one.

        Args:
            collection: Collection to read.
            revision: Revision of the last list or watch.
            wait_seconds: Longest time to wait for a change.
            timeout_seconds: Time within which the answer must be complete.
            new_connection: Whether to use a new connection.

        Raises:
            HistoryGoneError: If the store no longer keeps the changes, or was
                restored since the revision.
        """
        era = era_of(revision)
        self._record_later_era(era)
        if self._era > era:
            raise HistoryGoneError(
                f"{collection.value}: revision of era {era}, now {self._era}"
            )
        query = {
            "watch": str(store_revision_of(revision)),
            "waitMs": str(int(wait_seconds * 1000)),
        }
        result = await self._request(
            "GET",
            _path(collection, query=query),
            timeout_seconds=timeout_seconds,
            levels=_WATCH_LEVELS,
            new_connection=new_connection,
        )
        if not isinstance(result, Success):
            return Failure(result.failure())
        if self._era != era:
            # The revision may have been given out again, to another change.
            raise HistoryGoneError(
                f"{collection.value}: revision of era {era}, now {self._era}"
            )
        try:
            return Success(_parse_changes(result.unwrap(), era))
        except _PARSE_ERRORS as error:
            return Failure(_unreadable_problem("watch", error))

    async def read(
        self, collection: Collection, name: str
    ) -> Result[StoredItem | None, Problem]:
        """Returns one object, or None if it does not exist."""
        result = await self._request("GET", _path(collection, name))
        if isinstance(result, Success):
            return _parse_item_result(result.unwrap(), self._era)
        problem = result.failure()
        if problem.kind is ErrorKind.NOT_FOUND:
            return Success(None)
        return Failure(problem)

    async def create(
        self, collection: Collection, name: str, value: dict[str, Any]
    ) -> Result[StoredItem, Problem]:
        """Creates an object; fails with CONFLICT if it exists."""
        body = {"metadata": {"name": name}, "spec": value}
        result = await self._request("POST", _path(collection), body=body)
        if not isinstance(result, Success):
            return Failure(result.failure())
        return _parse_item_result(result.unwrap(), self._era)

    async def replace(
        self,
        collection: Collection,
        name: str,
        value: dict[str, Any],
        *,
        revision: int | None,
    ) -> Result[StoredItem, Problem]:
        """Replaces an object.

        If `revision` is given and the object has another revision, the call
        fails with CONFLICT. That holds also if the store was restored since the
        revision: it may have given the revision to another write. The problem
        then tells whether that write was replaced.
        """
        path = _path(collection, name)
        metadata: dict[str, Any] = {"name": name}
        if revision is not None:
            self._record_later_era(era_of(revision))
            if era_of(revision) < self._era:
                return Failure(_outdated_problem(path, revision, self._era))
            metadata["revision"] = store_revision_of(revision)
        result = await self._request(
            "PUT", path, body={"metadata": metadata, "spec": value}
        )
        if not isinstance(result, Success):
            return Failure(result.failure())
        if revision is not None and era_of(revision) != self._era:
            return Failure(
                _outdated_problem(path, revision, self._era, ran=Ran.RAN)
            )
        return _parse_item_result(result.unwrap(), self._era)

    def value_of(self, item: StoredItem) -> Any:
        """Returns the "spec" of an object; None if the object is no mapping."""
        if isinstance(item.content, dict):
            return item.content.get("spec")
        return None

    async def _request(
        self,
        method: str,
        path: str,
        *,
        body: dict[str, Any] | None = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        levels: int = _OBJECT_LEVELS,
        new_connection: bool = False,
    ) -> Result[Any, Problem]:
        """Sends one HTTP request and returns the JSON of the answer.

        Until the caller awaits something else, `_era` is that of the answer.

        Args:
            method: HTTP method.
            path: Path below the base, with the query.
            body: JSON of the request; None if it has none.
            timeout_seconds: Time within which the answer must be complete.
            levels: Levels of the answer of which the values are read one by
                one if the answer can't be decoded as a whole.
            new_connection: Whether to use a new connection, as writes do.
        """
        is_fresh = new_connection or body is not None
        request = tornado.httpclient.HTTPRequest(
            self._base + path,
            method=method,
            body=None if body is None else json.dumps(body),
            headers={"Content-Type": "application/json"} if body else None,
            connect_timeout=CALL_TIMEOUT_SECONDS,
            request_timeout=timeout_seconds,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=(
                _configure_fresh if is_fresh else _configure_kept
            ),
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (tornado.httpclient.HTTPError, OSError) as error:
            ran = Ran.NOT_RUN if proves_unsent(error) else Ran.UNKNOWN
            return Failure(
                Problem(
                    ErrorKind.STORE_UNAVAILABLE,
                    f"{method} {path}: {error}",
                    ran=ran,
                )
            )
        problem = self._record_era(path, response)
        if problem is not None:
            return Failure(problem)
        return _parse_response(method, path, response, levels=levels)

    def _record_era(self, path: str, response: HTTPResponse) -> Problem | None:
        """Records the era of an answer; an answer without one changes nothing.

        Returns:
            Why the answer can't be used; None if it can.
        """
        text = response.headers.get(_ERA_HEADER)
        era = self._era if text is None else parse_unsigned(text)
        if era is None or era > MAX_ERA:
            return Problem(
                ErrorKind.STORE_UNAVAILABLE,
                f"{path}: unreadable era {shorten(text)}",
                ran=Ran.UNKNOWN,
            )
        era = max(era, FIRST_ERA)
        if era < self._era:
            return _restored_problem(path, era, self._era)
        self._record_later_era(era)
        self._is_era_known = True
        return None

    def _record_later_era(self, era: int) -> None:
        """Records an era if it is later than the latest one, and in range."""
        if self._era < era <= MAX_ERA:
            log_state_change("store_era", era=era, before=self._era)
            self._era = era
            if self._is_era_known:
                self.on_restored()


def _configure_kept(curl: pycurl.Curl) -> None:
    """Sets the curl options of a call that may use a kept connection."""
    curl.setopt(pycurl.SOCKOPTFUNCTION, enable_keepalive_probes)
    limit_answer_size(MAX_ANSWER_BYTES)(curl)


def _configure_fresh(curl: pycurl.Curl) -> None:
    """Sets the curl options of a call on a new connection.

    Writes need one: curl would resend a write if a kept connection turned out
    closed.
    """
    _configure_kept(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def _path(
    collection: Collection,
    name: str = "",
    *,
    query: dict[str, str] | None = None,
) -> str:
    """Returns the URL path, below the base, of a collection or an object."""
    path = _KIND_BY_COLLECTION[collection]
    if name:
        path += "/" + urllib.parse.quote(name, safe="")
    if query:
        path += "?" + urllib.parse.urlencode(query)
    return path


def _parse_response(
    method: str, path: str, response: HTTPResponse, *, levels: int
) -> Result[Any, Problem]:
    """Returns the JSON of an answer, or the problem for its status.

    Values that can't be read are None, if they are below `levels`.

    Raises:
        HistoryGoneError: If the store no longer keeps the watched changes.
    """
    status = response.code
    if status == 410:
        raise HistoryGoneError(path)
    if status == 404:
        return Failure(Problem(ErrorKind.NOT_FOUND, path))
    if status == 409:
        return Failure(Problem(ErrorKind.CONFLICT, path))
    if status in (429, 503):
        return Failure(
            Problem(
                ErrorKind.STORE_UNAVAILABLE,
                f"{method} {path}: status {status}",
                ran=Ran.NOT_RUN,
            )
        )
    if not 200 <= status < 300:
        return Failure(
            Problem(
                ErrorKind.STORE_UNAVAILABLE,
                f"{method} {path}: status {status} {response.error or ''}",
                ran=Ran.UNKNOWN,
            )
        )
    try:
        return Success(
            lenient_json.decode(response.body or b"null", levels=levels)
        )
    except ValueError as error:
        return Failure(_unreadable_problem(path, error))


def _restored_problem(subject: str, era: int, latest_era: int) -> Problem:
    """Returns the problem of an answer of an era that a restore has ended."""
    return Problem(
        ErrorKind.STORE_UNAVAILABLE,
        f"{subject}: answer of era {era}, the store is in era {latest_era}",
        ran=Ran.UNKNOWN,
    )


def _outdated_problem(
    path: str, revision: int, era: int, *, ran: Ran = Ran.NOT_RUN
) -> Problem:
    """Returns the problem of a condition that an earlier era has set."""
    return Problem(
        ErrorKind.CONFLICT,
        f"{path}: revision of era {era_of(revision)}, the store is in era "
        f"{era}",
        ran=ran,
    )


def _unreadable_problem(subject: str, error: Exception) -> Problem:
    """Returns the problem of an answer that can't be parsed."""
    return Problem(
        ErrorKind.STORE_UNAVAILABLE,
        f"{subject}: unreadable: {type(error).__name__}: {error}",
        ran=Ran.UNKNOWN,
    )


def _parse_item_result(content: Any, era: int) -> Result[StoredItem, Problem]:
    """Returns the object, or a problem if its JSON has another form."""
    try:
        return Success(_parse_item(content, era))
    except _PARSE_ERRORS as error:
        return Failure(_unreadable_problem("object", error))


def _parse_revision(value: Any, era: int) -> int:
    """Returns the revision for one in an answer of an era.

    Raises:
        ValueError: If it is no integer or out of range.
    """
    return make_revision(require_int(value), era)


def _parse_item(content: Any, era: int) -> StoredItem:
    """Returns an object of an answer of an era.

    Its "spec" and "status" are None if they are nested too deeply.

    Raises:
        KeyError: If the metadata or a field of it is missing.
        TypeError: If the object is no mapping.
        ValueError: If a field of the metadata has another type or range.
    """
    metadata = content["metadata"]
    name = require_name(metadata["name"])
    revision = _parse_revision(metadata["revision"], era)
    if is_nested_deeper(content, MAX_OBJECT_LEVELS):
        content = {"metadata": {"name": name, "revision": revision}}
    return StoredItem(name, revision=revision, content=content)


def _parse_readable_items(contents: Any, era: int) -> list[StoredItem]:
    """Returns the objects of a page, without those it can't decode."""
    items: list[StoredItem] = []
    for content in contents:
        item = _parse_if_readable(content, era)
        if item is not None:
            items.append(item)
    return items


def _parse_if_readable(content: Any, era: int) -> StoredItem | None:
    """Returns an object of a page; None if its name can't be decoded.

    Other writers may store objects of any form; the rest of the page is still
    valid.
    """
    try:
        return _parse_item(content, era)
    except _PARSE_ERRORS as error:
        reason = f"{type(error).__name__}: {error}"
        if _REPORTED_OBJECTS.is_new(reason, 0):
            _LOGGER.warning("unreadable_object", extra={"reason": reason})
        return None


def _parse_changes(page: Any, era: int) -> Changes:
    """Reduces the events of a watch to the latest state of each object."""
    newest_by_name: dict[str, StoredItem | None] = {}
    for event in page["events"]:
        fields = event if isinstance(event, dict) else {}
        item = _parse_if_readable(fields.get("object"), era)
        if item is not None:
            newest_by_name[item.name] = None if fields.get("removed") else item
    changed = [item for item in newest_by_name.values() if item is not None]
    removed = [name for name, item in newest_by_name.items() if item is None]
    return Changes(
        changed,
        removed=removed,
        revision=_parse_revision(page["storeRevision"], era),
    )
