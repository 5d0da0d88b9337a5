"""
The prefix cache of an engine stand-in, in blocks of tokens.

A block is identified by a hash of its tokens and of all preceding blocks, so sessions
with a common prefix share blocks. The capacity is bounded: the least recently used
block that no kept session pins is evicted first.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

BLOCK_TOKENS = 16


def block_hashes(words: list[str]) -> list[int]:
    """Returns the hashes of the full blocks of a prompt, in order."""
    hashes: list[int] = []
    parent_hash = 0
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        text = " ".join(words[start : start + BLOCK_TOKENS])
        parent_hash = xxhash.xxh64_intdigest(text.encode(), seed=parent_hash)
        hashes.append(parent_hash)
    return hashes


@dataclass(slots=True)
class CacheLedger:
    """
    Token counts over the caches of all engines of a run.

    `known` holds the hashes of all blocks that were ever cached. `recomputed` counts
    tokens that were computed although an engine had cached them before; `unused` counts
    tokens that were cached and never hit.
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
    """
    The cached blocks of one engine.

    `changed_sessions` maps sessions whose kept size changed to their kept tokens.
    """

    def __init__(self, capacity_tokens: int, ledger: CacheLedger) -> None:
        self.capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self.ledger = ledger
        self.changed_sessions: dict[str, int] = {}
        self._blocks: OrderedDict[int, _Block] = OrderedDict()
        self._kept_sessions: OrderedDict[str, list[int]] = OrderedDict()

    def match(self, hashes: list[int]) -> int:
        """Returns the number of cached prompt tokens and marks their blocks as used."""
        matched = 0
        for block_hash in hashes:
            block = self._blocks.get(block_hash)
            if block is None:
                break
            block.hits += 1
            matched += 1
        self._mark_used(hashes[:matched])
        self.ledger.reused += matched * BLOCK_TOKENS
        return matched * BLOCK_TOKENS

    def record_prefill(self, hashes: list[int], cached_tokens: int, tokens: int) -> int:
        """Records the prefill of a prompt; returns the number of recomputed tokens."""
        missing = hashes[cached_tokens // BLOCK_TOKENS :]
        recomputed_tokens = (
            sum(1 for block_hash in missing if block_hash in self.ledger.known)
            * BLOCK_TOKENS
        )
        self.ledger.computed += tokens - cached_tokens
        self.ledger.recomputed += recomputed_tokens
        return recomputed_tokens

    def insert(self, session: str, hashes: list[int], keep: bool) -> None:
        """Caches the blocks of a finished call; `keep` pins them for the session."""
        if keep:
            self._unpin(session)
        for position, block_hash in enumerate(hashes):
            block = self._blocks.get(block_hash)
            if block is None:
                if not self._make_room():
                    hashes = hashes[:position]
                    break
                block = self._blocks[block_hash] = _Block()
                self.ledger.known.add(block_hash)
            block.sessions.add(session)
            block.pins += keep
        self._mark_used(hashes)
        if keep and hashes:
            self._kept_sessions[session] = hashes
            self.changed_sessions[session] = len(hashes) * BLOCK_TOKENS

    def _mark_used(self, hashes: list[int]) -> None:
        # Later blocks are useless without the earlier ones, so they are evicted first.
        for block_hash in reversed(hashes):
            self._blocks.move_to_end(block_hash)

    def _make_room(self) -> bool:
        while len(self._blocks) >= self.capacity_blocks:
            evicted = next((n for n, b in self._blocks.items() if not b.pins), None)
            if evicted is not None:
                self._evict(evicted)
            elif self._kept_sessions:
                # All blocks are pinned: unpin the session that was kept first.
                session = next(iter(self._kept_sessions))
                self._unpin(session)
                self.changed_sessions[session] = 0
            else:
                return False
        return True

    def _evict(self, block_hash: int) -> None:
        block = self._blocks.pop(block_hash)
        if not block.hits:
            self.ledger.unused += BLOCK_TOKENS

    def _unpin(self, session: str) -> list[int]:
        hashes = self._kept_sessions.pop(session, [])
        for block_hash in hashes:
            block = self._blocks.get(block_hash)
            if block is not None:
                block.pins -= 1
        return hashes

    def release(self, session: str) -> None:
        """Ends a session and frees the blocks that no other session used."""
        hashes = self._unpin(session)
        if hashes:
            self.changed_sessions[session] = 0
        for block_hash in hashes:
            block = self._blocks.get(block_hash)
            if block is not None and block.sessions <= {session}:
                self._evict(block_hash)

    def clear(self) -> None:
        """Frees all blocks, as a restart or a change of model does."""
        for session in list(self._kept_sessions):
            self._unpin(session)
            self.changed_sessions[session] = 0
        for block_hash in list(self._blocks):
            self._evict(block_hash)

    def held(self) -> dict[str, int]:
        """Returns the kept sessions with their token counts."""
        return {
            session: len(hashes) * BLOCK_TOKENS
            for session, hashes in self._kept_sessions.items()
        }

    def export(self, session: str) -> list[int]:
        """Returns the hashes of a kept session, for `insert` on another engine."""
        return list(self._kept_sessions.get(session, []))

    @property
    def tokens(self) -> int:
        """The number of cached tokens."""
        return len(self._blocks) * BLOCK_TOKENS

    def count_unused_blocks(self) -> None:
        """Adds cached blocks without a hit to the ledger, at the end of a run."""
        unused = sum(1 for block in self._blocks.values() if not block.hits)
        self.ledger.unused += unused * BLOCK_TOKENS
