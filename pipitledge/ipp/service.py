"""What an IPP front answers: the semantics of RFC 8011, section 4, over the table of jobs. No socket.

`Service.answer` takes a request's message and gives either the answer, or a `Submission` where a job was taken: the
front then lets its document stream and answers when the job's execution has ended. The gateway is one printer to its
clients; which real printer a job goes to is the module's to choose.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from pipitledge.ipp.codec import Attribute, AttributeGroup, Group, Message, Tag, Value, attribute
from pipitledge.ipp.jobs import MAY_HAVE_PRINTED, Jobs, PrintRecord
from pipitledge.ipp.model import JobState, Op, PrinterState, Status

VERSIONS = {(1, 1), (2, 0)}
FORMATS = ("application/octet-stream", "application/pdf", "application/vnd.cups-raw", "text/plain")
COMPRESSIONS = ("none",)
OPERATION_NOT_SUPPORTED, VERSION_NOT_SUPPORTED, CHARSET_NOT_SUPPORTED = 0x0501, 0x0503, 0x040D
COMPRESSION_NOT_SUPPORTED, ATTRIBUTES_OR_VALUES = 0x040F, 0x0001


@dataclass(frozen=True, slots=True)
class Submission:
    """A job was taken; its document follows the message."""

    record: PrintRecord
    request: Message
    format: str


class Refused(Exception):
    """A request that can't be carried out: the status, and what its client is told."""

    def __init__(self, status: int, text: str, unsupported: Attribute | None = None) -> None:
        """Name the status, the text, and the attribute to blame where there is one."""
        super().__init__(text)
        self.status, self.text, self.unsupported = status, text, unsupported


class Service:
    """One printer as clients see it."""

    def __init__(self, uri: str, jobs: Jobs, now_s: Callable[[], int], accepting: Callable[[], bool]) -> None:
        """Be at this printer-uri; `accepting` tells whether any printer behind takes jobs."""
        self.uri, self.jobs, self.now_s, self.accepting = uri, jobs, now_s, accepting
        self.started_s = now_s()
        self.on_cancel: Callable[[int], None] = lambda number: None  # told once a job was cancelled

    # ---- requests

    def answer(self, request: Message) -> Message | Submission:
        """Carry out a request, or take its job."""
        try:
            self._check(request)
            return self._OPERATIONS[request.code](self, request)
        except Refused as fault:
            return self.refusal(request, fault)

    def _check(self, request: Message) -> None:
        """What holds for every request (RFC 8011, 4.1.1 to 4.1.8)."""
        if request.version not in VERSIONS:
            raise Refused(VERSION_NOT_SUPPORTED, "versions 1.1 and 2.0 are spoken here")
        if request.request_id < 1:
            raise Refused(Status.BAD_REQUEST, "request-id is not positive")
        if request.code not in self._OPERATIONS:
            raise Refused(OPERATION_NOT_SUPPORTED, f"operation 0x{request.code:04x} is not supported")
        tags = [group.tag for group in request.groups]
        if not tags or tags[0] != Group.OPERATION or tags.count(Group.OPERATION) != 1 or tags.count(Group.JOB) > 1:
            raise Refused(Status.BAD_REQUEST, "the operation attributes come first, and each group once")
        first = request.groups[0].attributes
        if [one.name for one in first[:2]] != ["attributes-charset", "attributes-natural-language"]:
            raise Refused(Status.BAD_REQUEST, "attributes-charset and attributes-natural-language come first")
        for name, tag, one in zip(("charset", "language"), (Tag.CHARSET, Tag.LANGUAGE), first[:2], strict=True):
            if len(one.values) != 1 or one.values[0].tag != tag:
                raise Refused(Status.BAD_REQUEST, f"the {name} is not one value of its type")
        if first[0].values[0].data.lower() not in ("utf-8", "us-ascii"):
            raise Refused(CHARSET_NOT_SUPPORTED, "utf-8 and us-ascii are read here", first[0])
        names = [one.name for group in request.groups for one in group.attributes]
        for group in request.groups:
            own = [one.name for one in group.attributes]
            if len(set(own)) != len(own):
                raise Refused(Status.BAD_REQUEST, "an attribute comes twice in a group")
        if "printer-uri" not in names and "job-uri" not in names:
            raise Refused(Status.BAD_REQUEST, "the target is missing: printer-uri or job-uri")

    def _document(self, request: Message) -> str:
        """The document's format; what can't be printed is refused before a job is taken."""
        operation = request.group(Group.OPERATION)
        for name, known, status in (
            ("document-format", FORMATS, Status.FORMAT_NOT_SUPPORTED),
            ("compression", COMPRESSIONS, COMPRESSION_NOT_SUPPORTED),
        ):
            said = operation.get(name)
            if said is not None and said.values[0].data not in known:
                raise Refused(status, f"{name} {str(said.values[0].data)[:60]!r}: {', '.join(known)}", said)
        return str(request.first(Group.OPERATION, "document-format") or FORMATS[0])

    def _job(self, request: Message) -> PrintRecord:
        """The job that a request is about: by job-uri, or by printer-uri and job-id."""
        number = request.first(Group.OPERATION, "job-id")
        if (uri := request.first(Group.OPERATION, "job-uri")) is not None:
            base, _, last = str(uri).rpartition("/")
            number = int(last) if base == self.uri + "/jobs" and last.isascii() and last.isdigit() else None
        if not isinstance(number, int) or number not in self.jobs.records:
            raise Refused(Status.NOT_FOUND, "no such job")
        return self.jobs.records[number]

    def _text(self, request: Message, name: str, default: str) -> str:
        said = request.first(Group.OPERATION, name)
        return str(getattr(said, "text", said))[:255] if said is not None else default

    def _submit(self, request: Message, held: bool = False) -> PrintRecord:
        if not self.accepting():
            raise Refused(Status.NOT_ACCEPTING, "no printer takes jobs just now")
        return self.jobs.take(
            self._text(request, "job-name", "untitled"), self._text(request, "requesting-user-name", "anonymous"), held
        )

    def print_job(self, request: Message) -> Message | Submission:
        """Print-Job (4.2.1)."""
        form = self._document(request)
        return Submission(self._submit(request), request, form)

    def validate_job(self, request: Message) -> Message:
        """Validate-Job (4.2.3): as Print-Job, and no job is made."""
        self._document(request)
        return self.reply(request, Status.OK)

    def create_job(self, request: Message) -> Message:
        """Create-Job (4.2.4)."""
        return self.reply(request, Status.OK, [self._job_group(self._submit(request, held=True))])

    def send_document(self, request: Message) -> Message | Submission:
        """Send-Document (4.3.1): one document a job."""
        record, last = self._job(request), request.first(Group.OPERATION, "last-document")
        if last is not True:
            raise Refused(0x0509 if last is False else Status.BAD_REQUEST, "a job has one document here: last-document")
        form = self._document(request)
        if record.state is not JobState.HELD:
            raise Refused(Status.NOT_POSSIBLE, f"job {record.id} has had its document or is over")
        return Submission(self.jobs.move(record.id, JobState.PENDING), request, form)

    def cancel_job(self, request: Message) -> Message:
        """Cancel-Job (4.3.3): what no printer has; the rest is past calling back."""
        record = self._job(request)
        if record.state not in (JobState.PENDING, JobState.HELD):
            what = "is over" if record.is_over else "is at a printer"
            raise Refused(Status.NOT_POSSIBLE, f"job {record.id} {what}")
        self.jobs.move(record.id, JobState.CANCELED, "job-canceled-by-user")
        self.on_cancel(record.id)
        return self.reply(request, Status.OK)

    def get_job(self, request: Message) -> Message:
        """Get-Job-Attributes (4.3.4)."""
        return self._wanted(request, [self._job_group(self._job(request))], "job-template")

    def get_jobs(self, request: Message) -> Message:
        """Get-Jobs (4.2.6): those that are not over, or those that are; the oldest first, the last over first."""
        which = request.first(Group.OPERATION, "which-jobs") or "not-completed"
        if which not in ("completed", "not-completed"):
            raise Refused(
                0x040B, "which-jobs: completed or not-completed", request.group(Group.OPERATION).get("which-jobs")
            )
        over = which == "completed"
        found = [record for record in self.jobs.records.values() if record.is_over == over]
        found.sort(key=lambda record: (-record.ended_s, -record.id) if over else (0, record.id))
        limit = request.first(Group.OPERATION, "limit")
        mine = request.first(Group.OPERATION, "my-jobs") is True
        user = self._text(request, "requesting-user-name", "anonymous")
        found = [record for record in found if not mine or record.user == user]
        groups = [self._job_group(record) for record in found[: limit if isinstance(limit, int) and limit > 0 else 500]]
        return self._wanted(request, groups, "job-template", default=("job-uri", "job-id"))

    def get_printer(self, request: Message) -> Message:
        """Get-Printer-Attributes (4.2.5)."""
        queued = sum(not record.is_over for record in self.jobs.records.values())
        accepting = self.accepting()
        state = PrinterState.STOPPED if not accepting else PrinterState.PROCESSING if queued else PrinterState.IDLE
        group = AttributeGroup(
            Group.PRINTER,
            [
                attribute("printer-uri-supported", Tag.URI, self.uri),
                attribute("uri-security-supported", Tag.KEYWORD, "none"),
                attribute("uri-authentication-supported", Tag.KEYWORD, "requesting-user-name"),
                attribute("printer-name", Tag.NAME, "pipitledge"),
                attribute("printer-state", Tag.ENUM, state),
                attribute("printer-state-reasons", Tag.KEYWORD, "none"),
                attribute("ipp-versions-supported", Tag.KEYWORD, "1.1", "2.0"),
                attribute("operations-supported", Tag.ENUM, *sorted(self._OPERATIONS)),
                attribute("multiple-document-jobs-supported", Tag.BOOLEAN, False),
                attribute("charset-configured", Tag.CHARSET, "utf-8"),
                attribute("charset-supported", Tag.CHARSET, "utf-8", "us-ascii"),
                attribute("natural-language-configured", Tag.LANGUAGE, "en"),
                attribute("generated-natural-language-supported", Tag.LANGUAGE, "en"),
                attribute("document-format-default", Tag.MIME, FORMATS[0]),
                attribute("document-format-supported", Tag.MIME, *FORMATS),
                attribute("printer-is-accepting-jobs", Tag.BOOLEAN, accepting),
                attribute("queued-job-count", Tag.INTEGER, queued),
                attribute("pdl-override-supported", Tag.KEYWORD, "not-attempted"),
                attribute("printer-up-time", Tag.INTEGER, self._up_time()),
                attribute("compression-supported", Tag.KEYWORD, *COMPRESSIONS),
            ],
        )
        return self._wanted(request, [group], "printer-description")

    _OPERATIONS: dict[int, Callable[[Service, Message], Message | Submission]] = {
        Op.PRINT_JOB: print_job,
        Op.VALIDATE_JOB: validate_job,
        Op.CREATE_JOB: create_job,
        Op.SEND_DOCUMENT: send_document,
        Op.CANCEL_JOB: cancel_job,
        Op.GET_JOB_ATTRIBUTES: get_job,
        Op.GET_JOBS: get_jobs,
        Op.GET_PRINTER_ATTRIBUTES: get_printer,
    }

    # ---- answers

    def _up_time(self) -> int:
        return max(1, self.now_s() - self.started_s + 1)

    def reply(
        self, request: Message, status: int, groups: list[AttributeGroup] | None = None, text: str = ""
    ) -> Message:
        """An answer: charset and language first (RFC 8011, 4.1.4), then the message where there is one."""
        operation = AttributeGroup(
            Group.OPERATION,
            [
                attribute("attributes-charset", Tag.CHARSET, "utf-8"),
                attribute("attributes-natural-language", Tag.LANGUAGE, "en"),
            ],
        )
        if text:
            operation.attributes.append(attribute("status-message", Tag.TEXT, text[:255]))
        version = request.version if request.version in VERSIONS else (2, 0)
        return Message(version, status, request.request_id, [operation, *(groups or [])])

    def refusal(self, request: Message, fault: Refused) -> Message:
        """The answer to what can't be carried out; what is to blame goes into the unsupported group."""
        groups = [AttributeGroup(Group.UNSUPPORTED, [fault.unsupported])] if fault.unsupported is not None else []
        return self.reply(request, fault.status, groups, fault.text)

    def finished(self, submission: Submission) -> Message:
        """The answer to Print-Job or Send-Document once its job has ended, with the job as it is."""
        record = self.jobs.records[submission.record.id]
        status, text = int(Status.OK), ""
        if record.state is not JobState.COMPLETED:
            status = Status.INTERNAL_ERROR if record.reason == MAY_HAVE_PRINTED else Status.BUSY
            text = record.message
        return self.reply(submission.request, status, [self._job_group(record)], text)

    def _job_group(self, record: PrintRecord) -> AttributeGroup:
        attributes = [
            attribute("job-uri", Tag.URI, f"{self.uri}/jobs/{record.id}"),
            attribute("job-id", Tag.INTEGER, record.id),
            attribute("job-state", Tag.ENUM, record.state),
            attribute("job-state-reasons", Tag.KEYWORD, record.reason),
            attribute("job-name", Tag.NAME, record.name),
            attribute("job-printer-uri", Tag.URI, self.uri),
            attribute("job-originating-user-name", Tag.NAME, record.user),
            attribute("time-at-creation", Tag.INTEGER, self._since_start(record.taken_s)),
            attribute("job-printer-up-time", Tag.INTEGER, self._up_time()),
        ]
        if record.message:
            attributes.append(attribute("job-state-message", Tag.TEXT, record.message[:255]))
        for name, at in (
            ("time-at-processing", record.taken_s if record.sent else 0),
            ("time-at-completed", record.ended_s),
        ):
            attributes.append(
                attribute(name, Tag.INTEGER, self._since_start(at))
                if at
                else Attribute(name, [Value(Tag.NO_VALUE, None)])
            )
        return AttributeGroup(Group.JOB, attributes)

    def _since_start(self, at_s: int) -> int:
        """Times are in printer-up-time's seconds: those before this start are not positive (RFC 8011, 5.3.14)."""
        return at_s - self.started_s + 1

    def _wanted(
        self, request: Message, groups: list[AttributeGroup], group_name: str, default: tuple[str, ...] = ()
    ) -> Message:
        """Leave what requested-attributes names; names that nothing has come back as unsupported (4.1.7)."""
        said = request.group(Group.OPERATION).get("requested-attributes")
        names = [str(value.data) for value in said.values] if said is not None else list(default)
        everything = {"all", group_name, "job-description", "printer-description"} & set(names)
        if not names or everything:
            return self.reply(request, Status.OK, groups)
        known = {one.name for group in groups for one in group.attributes}
        kept = [AttributeGroup(group.tag, [one for one in group.attributes if one.name in names]) for group in groups]
        unknown = [name for name in names if name not in known and name != "job-template"] if groups else []
        if not unknown:
            return self.reply(request, Status.OK, kept)
        missing = AttributeGroup(Group.UNSUPPORTED, [attribute("requested-attributes", Tag.KEYWORD, *unknown)])
        return self.reply(request, ATTRIBUTES_OR_VALUES, [missing, *kept])
