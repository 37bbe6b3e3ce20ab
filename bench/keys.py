"""Tests at-most-once execution of idempotency keys under random failures.

Simulates the nodes of one service on a virtual clock, with outdated instance
lists, a lossy network and a backend server that only counts executions. The
simulation guarantees the assumptions of the design and nothing more: the list
that a node uses is outdated by at most `VIEW_LAG_S`, an instance that shuts down
runs nothing after its grace time, and a call ends within `MAX_RUN_S`.
"""

import argparse
import json
from collections import Counter, defaultdict
from itertools import pairwise
from random import Random

from bench.idempotency import DOCUMENT
from mangowell_core.messages import FenceQuery
from mangowell_core.model import Instance, InstanceState, Snapshot
from mangowell_core.policy import RequestPolicy
from mangowell_core.policy.idempotency import MAX_RUN_S
from mangowell_core.policy.ownership import RETENTION_S, START_HOLD_S, VIEW_LAG_S
from mangowell_core.policy.types import (
    AskFences,
    Choice,
    Outcome,
    Refusal,
    ReplayKey,
    RunKey,
    StoredAnswer,
)
from mangowell_core.settings import NodeSettings, SourceSettings

NAMES = ("a", "b", "c", "d", "e")
KEYS = ("k1", "k2")
STEPS_S = (0.1, 1.0, 3.0, 30.0, 300.0, 599.0, 601.0, 2500.0, 4400.0, 7500.0)
# Quiet time, in seconds, after which a process may run plain keys at once.
LONG_QUIET_S = 100_000.0
ACTIONS = {}  # action name -> argument name -> possible values


class AtMostOnceError(AssertionError):
    """A key ran twice, or a caller was told a wrong result."""


def action(**values):
    """Register a method as an action, with the possible values of its arguments."""

    def register(method):
        ACTIONS[method.__name__] = {k: tuple(v) for k, v in values.items()}
        return method

    return register


def make_instance(name, state):
    return Instance(name, "s", "d1", "127.0.0.1", 1, 2, 3, 4, 5, state)


def make_policy(name, incarnation, quiet_s):
    source = SourceSettings("http://127.0.0.1")
    settings = NodeSettings(
        name, "s", "d1", "bench", "127.0.0.1", 1, 2, 3, 4, 5, source, invariants="full"
    )
    return RequestPolicy.from_settings(settings, Random(1), incarnation, quiet_s)


class KeyWorld:
    """Simulates processes, instance lists, messages and executions of one service.

    Parameters
    ----------
    has_short_quiet_time : bool
        Whether the first processes have a quiet time of only `START_HOLD_S`, so
        that the period in which they refuse plain keys has just ended.
    """

    def __init__(self, has_short_quiet_time):
        self.now = 0.0
        self.nodes = {}
        self.incarnations = Counter()
        self.list_indexes = {}  # node -> index of its current list
        self.states = dict.fromkeys(NAMES[:4], InstanceState.LIVE)
        self.lists = [(0.0, dict(self.states))]  # (time of publication, states)
        self.queries = []
        self.replies = []
        self.request_numbers = {}  # (node, key) -> latest round of fence queries
        self.runs = []  # (node, key, index of the execution)
        self.executions = defaultdict(list)  # key -> start times
        self.pinned_keys = []  # (owner, key)
        for name in NAMES[:4]:
            self.start_node(
                name, START_HOLD_S if has_short_quiet_time else LONG_QUIET_S
            )

    def start_node(self, name, quiet_s, lag=0):
        """Start a process whose list is at most `lag` revisions old.

        `VIEW_LAG_S` limits the age of the list. No earlier process of the service ran
        a plain key in the `quiet_s` seconds before the start.
        """
        self.incarnations[name] += 1
        number = self.incarnations[name]
        self.nodes[name] = make_policy(name, number, quiet_s)
        self.list_indexes[name] = -1
        index = len(self.lists) - 1
        while lag and index and self.now - self.lists[index][0] < VIEW_LAG_S:
            index, lag = index - 1, lag - 1
        self.apply_list(name, index)

    def publish_list(self):
        """Publish the current instance states as the newest list."""
        self.lists.append((self.now, dict(self.states)))

    def apply_list(self, name, index):
        """Apply the list at `index` to a node."""
        self.list_indexes[name] = index
        states = self.lists[index][1].items()
        instances = tuple(make_instance(name, state) for name, state in states)
        snapshot = Snapshot(DOCUMENT, index + 1, {"s": instances})
        self.nodes[name].apply(snapshot, self.now)

    def apply_newest_list(self, name):
        """Apply the newest list to a node that has an older one."""
        if self.list_indexes[name] < len(self.lists) - 1:
            self.apply_list(name, len(self.lists) - 1)

    @action(step_s=STEPS_S)
    def advance(self, step_s):
        """Advance the clock.

        A node whose list would become outdated by more than `VIEW_LAG_S` gets the
        newest one first.
        """
        for name in self.nodes:
            index = self.list_indexes[name] + 1
            if index < len(self.lists) and (
                self.now + step_s - self.lists[index][0] > VIEW_LAG_S
            ):
                self.apply_newest_list(name)
        self.now += step_s

    @action(name=NAMES)
    def refresh(self, name):
        """Apply the next list to a node."""
        if name in self.nodes and self.list_indexes[name] < len(self.lists) - 1:
            self.apply_list(name, self.list_indexes[name] + 1)

    @action()
    def refresh_all(self):
        """Apply the newest list to all nodes."""
        for name in self.nodes:
            self.apply_newest_list(name)

    @action(name=NAMES, is_listed=(True, False))
    def crash(self, name, is_listed):
        """Kill the process.

        With `is_listed` the list keeps the instance, as the platform may notice the
        crash later, or never.
        """
        self.nodes.pop(name, None)
        if not is_listed and self.states.pop(name, None):
            self.publish_list()

    @action(name=NAMES)
    def drop_from_list(self, name):
        """Remove an instance from the list, whether it runs or not."""
        if self.states.pop(name, None):
            self.publish_list()

    @action(name=NAMES, lag=range(4))
    def run_process(self, name, lag):
        """List an instance as live and, if it is down, start it with an old list."""
        if self.states.get(name) is not InstanceState.LIVE:
            self.states[name] = InstanceState.LIVE
            self.publish_list()
        if name not in self.nodes:
            self.start_node(name, 0.0, lag)

    @action(name=NAMES)
    def leave(self, name):
        """Start an orderly shutdown, and announce it to the peers and in the list."""
        if name not in self.nodes or name not in self.states:
            return
        self.nodes[name].start_drain(self.now)
        self.states[name] = InstanceState.LEAVING
        self.publish_list()
        for other in self.nodes:
            self.nodes[other].handle_peer_leaving(name, self.now)

    @action(name=NAMES)
    def stop(self, name):
        """End a process that has drained: it runs nothing and accepts nothing new."""
        node = self.nodes.get(name)
        is_idle = not any(run[0] is node for run in self.runs)
        if node is not None and is_idle and not node.accepts_new(self.now):
            self.crash(name, False)

    @action(ingress=NAMES, key=KEYS)
    def call(self, ingress, key):
        """Send a key to a node, which routes it by its own list."""
        if ingress not in self.nodes:
            return
        node = self.nodes[ingress]
        plan = node.match_route("r", "POST", "/pay", "t", None, key, self.now)
        choice = node.select_instance(plan, (), self.now)
        if isinstance(choice, Choice):
            self.start_run(choice.instance.name, key)

    @action(key=KEYS)
    def call_everywhere(self, key):
        """Start the same key at every node, as if routed by differing lists."""
        for name in list(self.nodes):
            self.start_run(name, key)

    @action(name=NAMES, key=KEYS)
    def call_and_end(self, name, key):
        """Start a key at one node and complete it over a network without losses."""
        self.start_run(name, key)
        self.deliver_all()
        while self.runs:
            self.end_run(0, "answer")

    @action(key=KEYS)
    def call_all_and_end(self, key):
        """Start and complete a key at each node in turn, without message losses."""
        for name in list(self.nodes):
            self.call_and_end(name, key)

    @action(name=NAMES, step_s=STEPS_S)
    def replace(self, name, step_s):
        """Kill a process and start another one with its name after `step_s`."""
        self.crash(name, True)
        self.advance(step_s)
        self.run_process(name, 0)

    @action(name=NAMES)
    def hand_over(self, name):
        """Shut an instance down in order and apply the new list to all nodes."""
        self.leave(name)
        self.advance(3.0)
        self.refresh_all()
        self.stop(name)
        self.refresh_all()

    @action(name=NAMES, step_s=STEPS_S)
    def hide(self, name, step_s):
        """Drop a running instance from the lists of all others, then wait `step_s`."""
        self.drop_from_list(name)
        for other in self.nodes.keys() - {name}:
            self.apply_newest_list(other)
        self.advance(step_s)

    @action(name=NAMES)
    def mint(self, name):
        """Issue a pinned key, which names its owner."""
        if name in self.nodes:
            self.pinned_keys.append((name, self.nodes[name].issue_pinned_key(self.now)))

    @action(index=range(6), name=NAMES)
    def call_minted(self, index, name):
        """Send a pinned key to its owner and to the node `name`."""
        if self.pinned_keys:
            owner, key = self.pinned_keys[index % len(self.pinned_keys)]
            self.start_run(owner, key)
            self.start_run(name, key)

    def start_run(self, name, key):
        """Ask the policy of a node, if it is up, what to do with a key, and do so."""
        if name in self.nodes:
            node = self.nodes[name]
            self.apply_decision(name, node, key, node.key_begin("s", key, self.now))

    def apply_decision(self, name, node, key, decision):
        """Run, withdraw, query or replay a key as the policy decided.

        Raises
        ------
        AtMostOnceError
            If the policy replays a key that never ran, or reports a key as not run
            although it ran.
        """
        match decision:
            case RunKey() if node.accepts_new(self.now):
                self.executions[key].append(self.now)
                self.runs.append((node, key, len(self.executions[key]) - 1))
            case RunKey():
                node.key_withdraw("s", key, self.now)
            case AskFences():
                number = self.request_numbers.get((node, key), 0) + 1
                self.request_numbers[node, key] = number
                for item in decision.instances:
                    query = FenceQuery("s", key, number)
                    self.queries.append((name, node, item.name, query))
            case ReplayKey():
                if not self.executions[key]:
                    raise AtMostOnceError(f"{key} was replayed but never ran")
            case Refusal():
                if decision.outcome is Outcome.NOT_RUN and self.executions[key]:
                    raise AtMostOnceError(f"{key} ran but was reported as not run")

    @action(index=range(21), lose=(True, False), duplicate=(True, False))
    def deliver_query(self, index, lose, duplicate):
        """Deliver or lose one fence query; if duplicated, it stays in transit."""
        if self.queries:
            query = self.queries[index % len(self.queries)]
            if not duplicate:
                self.queries.remove(query)
            if not lose:
                self.answer_query(*query)

    @action(index=range(21), duplicate=(True, False))
    def deliver_reply(self, index, duplicate):
        """Deliver one reply; if duplicated, it stays in transit."""
        if self.replies:
            reply = self.replies[index % len(self.replies)]
            if not duplicate:
                self.replies.remove(reply)
            self.handle_reply(*reply)

    @action()
    def deliver_all(self):
        """Deliver all queries and replies, as a network without losses does."""
        queries, self.queries = self.queries, []
        for query in queries:
            self.answer_query(*query)
        replies, self.replies = self.replies, []
        for reply in replies:
            self.handle_reply(*reply)

    def answer_query(self, asker, node, target, query):
        """Deliver a fence query to its target and send the reply."""
        if target in self.nodes:
            reply = self.nodes[target].handle_fence_query(query, self.now, asker)
            self.replies.append((asker, node, target, reply))

    def handle_reply(self, asker, node, target, reply):
        """Deliver a reply if the process that asked still runs and awaits it."""
        key = reply.idempotency_key
        is_current = self.request_numbers.get((node, key)) == reply.request
        if self.nodes.get(asker) is node and is_current:
            decision = node.handle_fence_reply(
                "s", key, target, reply.promised, self.now
            )
            if decision is not None:
                self.apply_decision(asker, node, key, decision)

    @action(index=range(6), end=("answer", "lose", "withdraw"))
    def end_run(self, index, end):
        """End a run: store its answer, lose the answer, or withdraw the run."""
        if not self.runs:
            return
        node, key, number = self.runs.pop(index % len(self.runs))
        if self.now - self.executions[key][number] >= MAX_RUN_S:
            end = "lose"  # a call ends within `MAX_RUN_S`
        if end == "withdraw":
            node.key_withdraw("s", key, self.now)
            self.executions[key][number] = float("-inf")
        else:
            stored_answer = StoredAnswer(200, (), b"") if end == "answer" else None
            node.key_finish("s", key, stored_answer, self.now)

    def check(self):
        """Raise `AtMostOnceError` if a key ran twice.

        A plain key may run again after `RETENTION_S`; a pinned one never.
        """
        for key, times in self.executions.items():
            done = sorted(t for t in times if t >= 0.0)
            limit_s = float("inf") if key.startswith("mw1.") else RETENTION_S
            if any(b < a + limit_s for a, b in pairwise(done)):
                raise AtMostOnceError(f"{key} ran at {done}")


def run_uniform(seed, steps=60):
    """Run uniformly drawn actions and return the number of executions.

    Raises
    ------
    AtMostOnceError
        If a key ran twice or was reported wrongly.
    """
    rng = Random(seed)
    world = KeyWorld(rng.random() < 0.5)
    action_names = list(ACTIONS)
    for _ in range(steps):
        name = rng.choice(action_names)
        arguments = {key: rng.choice(values) for key, values in ACTIONS[name].items()}
        getattr(world, name)(**arguments)
        world.check()
    return sum(len(times) for times in world.executions.values())


def run(quick=False, seeds=None, steps=60):
    """Run `run_uniform` with many seeds.

    Returns
    -------
    dict
        ``seeds``: their number; ``steps``: actions of each; ``executions``: total;
        ``failed``: the seeds that violated an invariant.
    """
    seeds = seeds or (500 if quick else 20_000)
    executions, failed = 0, []
    for seed in range(seeds):
        try:
            executions += run_uniform(seed, steps)
        except AssertionError:  # also raised by the invariant checks of the policy
            failed.append(seed)
    return {
        "seeds": seeds,
        "steps": steps,
        "executions": executions,
        "failed": failed,
    }


def print_table(result):
    """Print the figures of `run`."""
    print(
        f"{result['seeds']} seeds of {result['steps']} steps, "
        f"{result['executions']} executions, "
        f"{len(result['failed'])} seeds in which a key ran twice"
    )
    print("failed seeds:", result["failed"][:20])


def main():
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seeds", type=int)
    parser.add_argument("--steps", type=int, default=60)
    options = parser.parse_args()
    result = run(options.quick, options.seeds, options.steps)
    print(json.dumps(result)) if options.json else print_table(result)


if __name__ == "__main__":
    main()
