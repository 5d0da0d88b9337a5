"""
The prefix cache of an engine stand-in, in blocks of tokens.

A block is named by a hash of its tokens and of all blocks before it, so sessions
with the same beginning share blocks. Memory is bounded; the least recently used
block that no kept session pins goes first.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

BLOCK_TOKENS = 16


def block_names(words: list[str]) -> list[int]:
    """Returns the names of the full blocks of a prompt, first to last."""
    names: list[int] = []
    parent = 0
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        text = " ".join(words[start : start + BLOCK_TOKENS])
        parent = xxhash.xxh64_intdigest(text.encode(), seed=parent)
        names.append(parent)
    return names


@dataclass(slots=True)
class CacheLedger:
    """
    What the caches of all engines of a run did, in tokens.

    `recomputed` was computed although some engine had held it before; `unused` was
    held and left the cache without a hit.
    """

    known: set[int] = field(default_factory=set)
    computed: int = 0
    recomputed: int = 0
    reused: int = 0
    unused: int = 0


@dataclass(slots=True)
class _Block:
    pins: int = 0
    hits: int = 0
    sessions: set[str] = field(default_factory=set)


class PrefixCache:
    """Blocks of one engine; `changed` collects sessions whose held size changed."""

    def __init__(self, capacity_tokens: int, ledger: CacheLedger) -> None:
        self.capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self.ledger = ledger
        self.changed: dict[str, int] = {}
        self._blocks: OrderedDict[int, _Block] = OrderedDict()
        self._kept: OrderedDict[str, list[int]] = OrderedDict()

    def match(self, names: list[int]) -> int:
        """Returns how many tokens of a prompt are cached, and marks them used."""
        found = 0
        for name in names:
            block = self._blocks.get(name)
            if block is None:
                break
            block.hits += 1
            found += 1
        self._touch(names[:found])
        self.ledger.reused += found * BLOCK_TOKENS
        return found * BLOCK_TOKENS

    def computed(self, names: list[int], cached_tokens: int, tokens: int) -> int:
        """Records the prefill of a prompt; returns the tokens computed again."""
        missing = names[cached_tokens // BLOCK_TOKENS :]
        again = sum(1 for name in missing if name in self.ledger.known) * BLOCK_TOKENS
        self.ledger.computed += tokens - cached_tokens
        self.ledger.recomputed += again
        return again

    def insert(self, session: str, names: list[int], keep: bool) -> None:
        """Holds the blocks of a finished call; `keep` pins them for the session."""
        if keep:
            self._unpin(session)
        for number, name in enumerate(names):
            block = self._blocks.get(name)
            if block is None:
                if not self._make_room():
                    names = names[:number]
                    break
                block = self._blocks[name] = _Block()
                self.ledger.known.add(name)
            block.sessions.add(session)
            block.pins += keep
        self._touch(names)
        if keep and names:
            self._kept[session] = names
            self.changed[session] = len(names) * BLOCK_TOKENS

    def _touch(self, names: list[int]) -> None:
        # Later blocks are useless without the earlier ones, so they go first.
        for name in reversed(names):
            self._blocks.move_to_end(name)

    def _make_room(self) -> bool:
        while len(self._blocks) >= self.capacity_blocks:
            victim = next((n for n, b in self._blocks.items() if not b.pins), None)
            if victim is not None:
                self._drop(victim)
            elif self._kept:
                # All memory is pinned: the session that was kept longest loses it.
                session = next(iter(self._kept))
                self._unpin(session)
                self.changed[session] = 0
            else:
                return False
        return True

    def _drop(self, name: int) -> None:
        block = self._blocks.pop(name)
        if not block.hits:
            self.ledger.unused += BLOCK_TOKENS

    def _unpin(self, session: str) -> list[int]:
        names = self._kept.pop(session, [])
        for name in names:
            block = self._blocks.get(name)
            if block is not None:
                block.pins -= 1
        return names

    def release(self, session: str) -> None:
        """Ends a session; blocks that no other session used are freed."""
        names = self._unpin(session)
        if names:
            self.changed[session] = 0
        for name in names:
            block = self._blocks.get(name)
            if block is not None and block.sessions <= {session}:
                self._drop(name)

    def clear(self) -> None:
        """Frees everything, as a restart or a change of model does."""
        for session in list(self._kept):
            self._unpin(session)
            self.changed[session] = 0
        for name in list(self._blocks):
            self._drop(name)

    def held(self) -> dict[str, int]:
        """Returns the kept sessions with their tokens."""
        return {name: len(kept) * BLOCK_TOKENS for name, kept in self._kept.items()}

    def export(self, session: str) -> list[int]:
        """Returns the blocks of a kept session, for `insert` at another engine."""
        return list(self._kept.get(session, []))

    @property
    def tokens(self) -> int:
        """The tokens in memory."""
        return len(self._blocks) * BLOCK_TOKENS

    def count_unused_blocks(self) -> None:
        """Counts what is still held and was never used, at the end of a run."""
        unused = sum(1 for block in self._blocks.values() if not block.hits)
        self.ledger.unused += unused * BLOCK_TOKENS
