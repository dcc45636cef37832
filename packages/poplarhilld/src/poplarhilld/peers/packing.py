"""Check of packed Cap'n Proto data before it is decoded.

pycapnp aborts the process when packed data ends before its last segment does, because
an exception is thrown while another one unwinds.
"""

_WORD_BYTES = 8
_SIZE_BYTES = 4
_MAX_SEGMENTS = 512  # the limit of the Cap'n Proto library
_BIT_COUNTS = tuple(tag.bit_count() for tag in range(256))
_ALL_BYTES_SET = 0xFF


def is_complete(data: bytes) -> bool:
    """Return whether packed data holds all segments that its table announces."""
    try:
        first = _unpack(data, _WORD_BYTES)
        segments = int.from_bytes(first[:_SIZE_BYTES], "little") + 1
        if segments > _MAX_SEGMENTS:
            return False
        table_end = _SIZE_BYTES * (segments + 1)
        table = first if table_end <= len(first) else _unpack(data, table_end)
        words = _count_words(data)
    except IndexError:
        return False
    sizes = (
        int.from_bytes(table[at : at + _SIZE_BYTES], "little")
        for at in range(_SIZE_BYTES, table_end, _SIZE_BYTES)
    )
    table_words = -(-table_end // _WORD_BYTES)
    return words >= table_words + sum(sizes)


def _count_words(data: bytes) -> int:
    """Return the count of words that packed data unpacks to.

    Raises:
        IndexError: The data ends within a word or a run of words.
    """
    words = at = 0
    end = len(data)
    while at < end:
        tag = data[at]
        at += 1 + _BIT_COUNTS[tag]
        words += 1
        if tag == 0:
            words += data[at]
            at += 1
        elif tag == _ALL_BYTES_SET:
            run = data[at]
            words += run
            at += 1 + _WORD_BYTES * run
    if at != end:
        raise IndexError("packed data ends within a word")
    return words


def _unpack(data: bytes, least: int) -> bytes:
    """Return at least the first bytes of packed data, unpacked.

    Raises:
        IndexError: The data ends earlier.
    """
    unpacked = bytearray()
    at = 0
    while len(unpacked) < least:
        tag = data[at]
        at += 1
        unpacked += _unpack_word(tag, data, at)
        at += _BIT_COUNTS[tag]
        if tag == 0:
            unpacked += bytes(_WORD_BYTES * data[at])
            at += 1
        elif tag == _ALL_BYTES_SET:
            run_end = at + 1 + _WORD_BYTES * data[at]
            unpacked += data[at + 1 : run_end]
            at = run_end
    return bytes(unpacked)


def _unpack_word(tag: int, data: bytes, at: int) -> bytes:
    word = bytearray(_WORD_BYTES)
    for bit in range(_WORD_BYTES):
        if tag >> bit & 1:
            word[bit] = data[at]
            at += 1
    return bytes(word)
