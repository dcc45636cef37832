"""Each fault gives one message at its line, and no fault gives a traceback."""

import pytest

WORKERS = b'"w1": {"host": "10.0.0.1", "port": 80}'
EXCEPTION = b',\n"exceptions": {"x": {"worker": "w1", "reason": "r",'
BOOKING = b'{\n"services": {"booking": {"workers": {' + WORKERS + b"}}}"

# The text; line, severity and path of the finding, and a part of its message.
FAULTS = {
    "empty": (b"", "1 error / | write at least { }"),
    "blank": (b" \n \n", "3 error / | it is empty"),
    "cut off": (BOOKING, "2 error / | ends too early"),
    "comma after the last": (b'{\n"customers": {},\n}', "3 error / | the comma"),
    "comma missing": (b'{"a": 1\n"b": 2}', "2 error / | a comma is missing"),
    "single quotes": (b"{'customers': {}}", "1 error / | use double quotes"),
    "comment": (b'{\n// all\n"customers": {}}', "2 error / | JSON has none"),
    "python's words": (b'{\n"a": True}', "2 error / | expecting value"),
    "text after the end": (b"{}\n{}", "2 error / | extra data"),
    "list": (b"[]", "1 error / | a list; put the document in an object"),
    "number": (b"7", "1 error / | the number 7"),
    "not a number": (b'{\n"a": NaN}', "2 error / | a finite number"),
    "text before a number": (b'{"a": " NaN",\n"b": [NaN]}', "2 error / | NaN is not"),
    "infinite": (b'{"a": 1,\n"b": 1e999}', "2 error / | 1e999 is not"),
    "long number": (b'{"a": ' + b"9" * 5000 + b"}", "1 error / | a finite number"),
    "half a character": (
        b'{"evacuations": {"a": {"note":\n"\\ud800"}}}',
        "2 error /evacuations/a/note | half of a character",
    ),
    "UTF-16": ('{"a": 1}'.encode("utf-16"), "1 error / | not UTF-8"),
    "Latin-1": (b'{\n"a": "caf\xe9"}', "2 error / | not UTF-8"),
    "byte order mark": (b"\xef\xbb\xbf{}", "1 error / | byte order mark"),
    "huge": (b" " * (16 << 20) + b"{}", "None error / | larger than 16 MB"),
    "deep": (b"[" * 100_000, "None error / | nested too deeply"),
    "key twice": (
        b'{"customers": {"ada": {},\n"ada": {}}}',
        "2 error /customers/ada | here twice",
    ),
    "section twice": (BOOKING + b',\n"services": {}}', "3 error /services | twice"),
    "misspelt section": (
        b'{\n"custmers": {}}',
        "2 error /custmers | did you mean 'customers'?",
    ),
    "unknown key": (b'{\n"xyz": 1}', "2 error /xyz | remove it or use one of"),
    "section is a list": (b'{\n"services": []}', "2 error /services | an object"),
    "section is null": (b'{"defaults": null}', "1 error /defaults | this is null"),
    "number in quotes": (
        b'{"defaults": {\n"worker_cap": "2"}}',
        "2 error /defaults/worker_cap | a whole number without quotes",
    ),
    "boolean in quotes": (
        b'{"defaults": {"lending": "yes"}}',
        "1 error /defaults/lending | true or false without quotes",
    ),
    "unknown policy": (
        b'{"defaults": {"policy": "share"}}',
        "1 error /defaults/policy | did you mean 'shares'?",
    ),
    "zero": (
        b'{"customers": {"ada": {"weight": 0}}}',
        "1 error /customers/ada/weight | more than 0",
    ),
    "port missing": (
        b'{"services": {"a": {"workers": {\n"w": {"host": "10.0.0.1"}}}}}',
        "2 error /services/a/workers/w | the key 'port' is missing",
    ),
    "port too large": (
        BOOKING.replace(b"80", b"70000") + b"}",
        "2 error /services/booking/workers/w1/port | at most 65535",
    ),
    "host name": (
        b'{"services": {"a": {"workers": {"w": {"host": "w1", "port": 80}}}}}',
        "1 error /services/a/workers/w/host | write an IPv4 address",
    ),
    "space in a name": (
        b'{"customers": {\n"ada l": {}}}',
        "2 error /customers/ada l | this name is not valid",
    ),
    "exception without a reason": (
        BOOKING + b',\n"exceptions": {"x": {"worker": "w1", "set": {"slots": 4}}}}',
        "3 error /exceptions/x | 'reason' is missing",
    ),
    "exception with a blank reason": (
        BOOKING + EXCEPTION.replace(b'"r"', b'" "') + b'"set": {"slots": 4}}}}',
        "3 error /exceptions/x/reason | state the reason",
    ),
    "exception of no worker": (
        BOOKING + EXCEPTION.replace(b"w1", b"w9") + b'"set": {"slots": 4}}}}',
        "3 error /exceptions/x/worker | no service has a worker 'w9'",
    ),
    "worker in two services": (
        b'{"services": {"a": {"workers": {'
        + WORKERS
        + b'}},\n"b": {"workers": {'
        + WORKERS.replace(b"80", b"81")
        + b"}}}}",
        "2 error /services/b/workers/w1 | rename one",
    ),
    "service without workers": (
        b'{"services": {\n"a": {"workers": {}}}}',
        "2 warning /services/a | has no workers",
    ),
    "service that drains": (
        b'{"services": {"a": {"workers": {"w":'
        b'{"host": "10.0.0.1", "port": 1, "draining": true}}}}}',
        "1 warning /services/a | every worker of the service 'a' drains",
    ),
    "address twice": (
        BOOKING.replace(WORKERS, WORKERS + b",\n" + WORKERS.replace(b"w1", b"w2"))
        + b"}",
        "3 warning /services/booking/workers/w2 | its slots count twice",
    ),
    "octet above 255": (
        BOOKING.replace(b"10.0.0.1", b"10.0.0.256") + b"}",
        "2 warning /services/booking/workers/w1/host | exceeds 255",
    ),
    "unknown data centre": (
        BOOKING + b',\n"evacuations": {"dc9": {"note": "a fire"}}}',
        "3 warning /evacuations/dc9 | no worker is in a data centre 'dc9'",
    ),
    "exception that sets nothing": (
        BOOKING + EXCEPTION + b'"set": {}}}}',
        "3 warning /exceptions/x/set | sets nothing",
    ),
    "exception that changes nothing": (
        BOOKING + EXCEPTION + b'"set": {"port": 80}}}}',
        "3 warning /exceptions/x/set/port | has this value of 'port' already",
    ),
    "exception that another one shadows": (
        BOOKING
        + EXCEPTION
        + b'"set": {"slots": 4}},'
        + b'\n"y": {"worker": "w1", "reason": "r", "set": {"slots": 5}}}}',
        "3 warning /exceptions/x/set/slots | 'y' sets 'slots' of 'w1' later and wins",
    ),
    "quota below a job": (
        b'{"customers": {"ada": {"quota_tasks": 159}}}',
        "1 warning /customers/ada/quota_tasks | at least 160",
    ),
    "queue below a job": (
        b'{"defaults": {"queue_tasks": 159}}',
        "1 warning /defaults/queue_tasks | at least 160",
    ),
    "wait beyond the keys": (
        b'{"defaults": {"queue_wait_s": 601}}',
        "1 warning /defaults/queue_wait_s | at most key_window_s",
    ),
    "wait of 400 digits": (
        b'{"defaults": {"queue_wait_s": 1' + b"0" * 400 + b"}}",
        "1 warning /defaults/queue_wait_s | no caller waits longer",
    ),
    "wait beyond every caller": (
        b'{"defaults": {"queue_wait_s": 3601}}',
        "1 warning /defaults/queue_wait_s | no caller waits longer",
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_each_fault_gives_one_message_at_its_line(check_text, name: str) -> None:
    text, expected = FAULTS[name]
    where, message = expected.split(" | ")
    [finding] = check_text(text)
    assert f"{finding.line} {finding.severity.value} {finding.pointer}" == where
    assert message in finding.message


def test_every_error_of_a_file_is_reported_in_the_order_of_lines(check_text) -> None:
    findings = check_text(
        b'{"customers": {"a": {"weight": 0},\n"a": {"weight": "1", "x": 1}},\n"y": 1}'
    )
    assert [finding.line for finding in findings] == [2, 2, 2, 3]
