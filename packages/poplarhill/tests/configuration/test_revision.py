"""Tests that a revised configuration equals one built from the whole document."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from poplarhill import SettingsError
from poplarhill.configuration import (
    Configuration,
    apply_patch,
    replace_document,
    revise,
)

WORKERS = st.sampled_from(["w1", "w2", "w3"])
WORKER = st.fixed_dictionaries(
    {"host": st.just("10.0.0.1"), "port": st.integers(1, 3)},
    optional={"slots": st.integers(0, 2), "typo": st.just(1)},
)
PATCHED_WORKER = st.none() | WORKER | st.just({"slots": 3}) | st.just({"host": None})
SERVICE = st.fixed_dictionaries(
    {}, optional={"workers": st.dictionaries(WORKERS, PATCHED_WORKER), "x": st.just(1)}
)
EXCEPTION = st.fixed_dictionaries(
    {},
    optional={
        "worker": WORKERS,
        "reason": st.sampled_from(["repair", " "]),
        "set": st.sampled_from([{}, {"draining": True}, {"draining": 1}]),
    },
)
PATCHES = st.fixed_dictionaries(
    {},
    optional={
        "defaults": st.none() | st.just({"worker_cap": 3}) | st.just({"typo": 1}),
        "services": st.dictionaries(
            st.sampled_from(["a", "b"]), st.none() | SERVICE | st.just(1)
        ),
        "customers": st.dictionaries(
            st.just("c"), st.none() | st.just({"weight": 0}) | st.just({"weight": 2})
        ),
        "exceptions": st.dictionaries(
            st.sampled_from(["e1", "e2"]), st.none() | EXCEPTION
        ),
        "typo": st.just(1),
    },
)


def outcome(make, *arguments) -> Configuration | None:
    try:
        return make(*arguments)
    except SettingsError:
        return None


GOOD_WORKER = st.fixed_dictionaries(
    {"host": st.just("10.0.0.1"), "port": st.integers(1, 3)}
)
GOOD_SERVICES = st.dictionaries(
    st.sampled_from(["a", "b"]),
    st.none()
    | st.fixed_dictionaries(
        {"workers": st.dictionaries(WORKERS, st.none() | GOOD_WORKER)}
    ),
    min_size=1,
)
GOOD_EXCEPTION = st.fixed_dictionaries(
    {
        "worker": WORKERS,
        "reason": st.just("repair"),
        "set": st.sampled_from([{"draining": True}, {"slots": 2}]),
    }
)
GOOD_EXCEPTIONS = st.dictionaries(
    st.sampled_from(["e1", "e2"]), st.none() | GOOD_EXCEPTION, min_size=1
)
# Most of these patches are accepted, so that long histories are generated.
STEPS = st.one_of(
    st.fixed_dictionaries({"services": GOOD_SERVICES}),
    st.fixed_dictionaries({"exceptions": GOOD_EXCEPTIONS}),
    st.fixed_dictionaries(
        {}, optional={"services": st.none(), "exceptions": st.none()}
    ),
    PATCHES,
)


@settings(derandomize=True, deadline=None, max_examples=500)
@given(st.lists(STEPS, min_size=1, max_size=20))
def test_revising_equals_checking_the_whole_document(patches) -> None:
    document: dict = {}
    current = Configuration.from_document(0, document)
    for patch in patches:
        patched = apply_patch(document, patch)
        whole = outcome(Configuration.from_document, current.version + 1, patched)
        assert outcome(revise, current, document, patched, patch) == whole
        if whole is not None:
            document, current = patched, whole


@settings(derandomize=True, deadline=None, max_examples=500)
@given(st.lists(STEPS, min_size=1, max_size=20), st.integers(0, 19))
def test_replacing_equals_checking_the_whole_document(steps, count) -> None:
    document: dict = {}
    current = Configuration.from_document(0, document)
    other = document
    for number, patch in enumerate(steps):
        other = apply_patch(other, patch)
        if number < count and (made := outcome(Configuration.from_document, 1, other)):
            document, current = other, made
    whole = outcome(Configuration.from_document, 7, other)
    assert outcome(replace_document, current, document, 7, other) == whole


def test_a_document_with_a_null_is_refused() -> None:
    current = Configuration.from_document(0, {})
    with pytest.raises(SettingsError):
        replace_document(current, {}, 1, {"customers": None})


@pytest.mark.parametrize("patch", [[], "text", 1, {"services": []}])
def test_a_patch_that_is_not_an_object_is_refused(patch) -> None:
    with pytest.raises(SettingsError):
        revise(Configuration.from_document(0, {}), {}, apply_patch({}, patch), patch)


EVACUATED = {"evacuations": {"dc1": {"note": "a fire"}}}
MOVED = {"services": {"a": {"workers": {"w1": {"data_centre": "dc2"}}}}}


# The evacuation of a data centre changes workers that its patch does not name.
@pytest.mark.parametrize(
    ("patches", "draining"),
    [
        ([EVACUATED], {"w1"}),
        ([EVACUATED, {"evacuations": {"dc1": None}}], set()),
        ([EVACUATED, {"evacuations": None}], set()),
        ([EVACUATED, MOVED], set()),
        ([MOVED, EVACUATED], set()),
        ([EVACUATED, {"services": {"a": None}}], set()),
        ([{"evacuations": {"dc1": {"note": " "}}}], None),
    ],
)
def test_an_evacuation_drains_the_workers_of_its_data_centre(patches, draining) -> None:
    workers = {
        name: {"host": "10.0.0.1", "port": 1, "data_centre": data_centre}
        for name, data_centre in (("w1", "dc1"), ("w2", "dc2"))
    }
    document = {"services": {"a": {"workers": workers}}}
    configuration = Configuration.from_document(0, document)
    for patch in patches:
        new = apply_patch(document, patch)
        whole = outcome(Configuration.from_document, configuration.version + 1, new)
        revised = outcome(revise, configuration, document, new, patch)
        assert revised == whole
        document, configuration = new, revised
    if draining is None:
        assert configuration is None
        return
    specs = configuration.workers.values()
    assert {spec.name for spec in specs if spec.draining} == draining
