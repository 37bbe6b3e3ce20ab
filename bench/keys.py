"""Runs random failures against the ledgers of idempotency keys.

Nodes of one service with lagging lists, a lossy network and a stand-in for
the backend server that counts executions, on a virtual clock. The environment
keeps to the stated assumptions and to nothing more: a view lags by at most
`VIEW_LAG_S`, an instance that leaves runs nothing after its grace time, and a
call ends within `MAX_RUN_S`.
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
LONG_AGO_S = 100_000.0
ACTIONS = {}  # name of each action to the values of its arguments


class RanTwiceError(AssertionError):
    """Executions that contradict what callers were told."""


def action(**values):
    """Register a method as an action with the values of its arguments."""

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
    """Processes, lists, messages in transit and executions.

    Parameters
    ----------
    young : bool
        Whether the processes have just ended the time without plain keys.
    """

    def __init__(self, young):
        self.now = 0.0
        self.nodes = {}
        self.incarnations = Counter()
        self.views = {}
        self.states = dict.fromkeys(NAMES[:4], InstanceState.LIVE)
        self.lists = [(0.0, dict(self.states))]
        self.queries = []
        self.replies = []
        self.rounds = {}
        self.runs = []
        self.executions = defaultdict(list)
        self.minted = []
        for name in NAMES[:4]:
            self.add_node(name, START_HOLD_S if young else LONG_AGO_S)

    def add_node(self, name, quiet_s, lag=0):
        """Start a process with a list that is `lag` revisions old."""
        self.incarnations[name] += 1
        number = self.incarnations[name]
        self.nodes[name] = make_policy(name, number, quiet_s)
        self.views[name] = -1
        index = len(self.lists) - 1
        while lag and index and self.now - self.lists[index][0] < VIEW_LAG_S:
            index, lag = index - 1, lag - 1
        self.show_list(name, index)

    def publish(self):
        """Make the present states the newest list."""
        self.lists.append((self.now, dict(self.states)))

    def show_list(self, name, index):
        """Give a node one list."""
        self.views[name] = index
        states = self.lists[index][1].items()
        members = tuple(make_instance(name, state) for name, state in states)
        snapshot = Snapshot(DOCUMENT, index + 1, {"s": members})
        self.nodes[name].apply(snapshot, self.now)

    def show_newest(self, name):
        """Give a node the newest list."""
        if self.views[name] < len(self.lists) - 1:
            self.show_list(name, len(self.lists) - 1)

    @action(step_s=STEPS_S)
    def advance(self, step_s):
        """Let time pass; no view gets older than `VIEW_LAG_S`."""
        for name in self.nodes:
            index = self.views[name] + 1
            if index < len(self.lists) and (
                self.now + step_s - self.lists[index][0] > VIEW_LAG_S
            ):
                self.show_newest(name)
        self.now += step_s

    @action(name=NAMES)
    def refresh(self, name):
        """Give a node the next list."""
        if name in self.nodes and self.views[name] < len(self.lists) - 1:
            self.show_list(name, self.views[name] + 1)

    @action()
    def refresh_all(self):
        """Give all nodes the newest list."""
        for name in self.nodes:
            self.show_newest(name)

    @action(name=NAMES, is_listed=(True, False))
    def crash(self, name, is_listed):
        """Kill the process; the platform may notice later, or never."""
        self.nodes.pop(name, None)
        if not is_listed and self.states.pop(name, None):
            self.publish()

    @action(name=NAMES)
    def drop_from_list(self, name):
        """Take an instance off the list, whether it runs or not."""
        if self.states.pop(name, None):
            self.publish()

    @action(name=NAMES, lag=range(4))
    def run_process(self, name, lag):
        """Start an instance with an old view, or list it again."""
        if self.states.get(name) is not InstanceState.LIVE:
            self.states[name] = InstanceState.LIVE
            self.publish()
        if name not in self.nodes:
            self.add_node(name, 0.0, lag)

    @action(name=NAMES)
    def leave(self, name):
        """Begin an orderly shutdown, told to peers and listed."""
        if name not in self.nodes or name not in self.states:
            return
        self.nodes[name].start_drain(self.now)
        self.states[name] = InstanceState.LEAVING
        self.publish()
        for other in self.nodes:
            self.nodes[other].peer_leaving(name, self.now)

    @action(name=NAMES)
    def stop(self, name):
        """End a process that has drained."""
        node = self.nodes.get(name)
        is_idle = not any(run[0] is node for run in self.runs)
        if node is not None and is_idle and not node.accepts_new(self.now):
            self.crash(name, False)

    @action(ingress=NAMES, key=KEYS)
    def call(self, ingress, key):
        """Send a key to a node, which routes it by its own view."""
        if ingress not in self.nodes:
            return
        node = self.nodes[ingress]
        plan = node.match("r", "POST", "/pay", "t", None, key, self.now)
        choice = node.pick(plan, (), self.now)
        if isinstance(choice, Choice):
            self.begin(choice.instance.name, key)

    @action(key=KEYS)
    def call_everywhere(self, key):
        """Send the same key to every node at once, by views that differ."""
        for name in list(self.nodes):
            self.begin(name, key)

    @action(name=NAMES, key=KEYS)
    def call_and_end(self, name, key):
        """Run a call at one node to its end over a healthy network."""
        self.begin(name, key)
        self.deliver_all()
        while self.runs:
            self.end_run(0, "answer")

    @action(key=KEYS)
    def call_all_and_end(self, key):
        """Run a call at each node in turn to its end over a healthy network."""
        for name in list(self.nodes):
            self.call_and_end(name, key)

    @action(name=NAMES, step_s=STEPS_S)
    def replace(self, name, step_s):
        """Kill a process and start another under its name after some time."""
        self.crash(name, True)
        self.advance(step_s)
        self.run_process(name, 0)

    @action(name=NAMES)
    def hand_over(self, name):
        """Shut an instance down in order and show everyone the new list."""
        self.leave(name)
        self.advance(3.0)
        self.refresh_all()
        self.stop(name)
        self.refresh_all()

    @action(name=NAMES, step_s=STEPS_S)
    def hide(self, name, step_s):
        """Drop a running instance from the lists of all others for some time."""
        self.drop_from_list(name)
        for other in self.nodes.keys() - {name}:
            self.show_newest(other)
        self.advance(step_s)

    @action(name=NAMES)
    def mint(self, name):
        """Issue a pinned key."""
        if name in self.nodes:
            self.minted.append((name, self.nodes[name].mint_key(self.now)))

    @action(index=range(6), name=NAMES)
    def call_minted(self, index, name):
        """Send a pinned key to its owner and to another node."""
        if self.minted:
            owner, key = self.minted[index % len(self.minted)]
            self.begin(owner, key)
            self.begin(name, key)

    def begin(self, name, key):
        """Start a run at a node if its policy allows it."""
        if name in self.nodes:
            node = self.nodes[name]
            self.follow(name, node, key, node.key_begin("s", key, self.now))

    def follow(self, name, node, key, found):
        """Do what the decision on a key says."""
        match found:
            case RunKey() if node.accepts_new(self.now):
                self.executions[key].append(self.now)
                self.runs.append((node, key, len(self.executions[key]) - 1))
            case RunKey():
                node.key_withdraw("s", key, self.now)
            case AskFences():
                number = self.rounds.get((node, key), 0) + 1
                self.rounds[node, key] = number
                for item in found.instances:
                    query = FenceQuery("s", key, number)
                    self.queries.append((name, node, item.name, query))
            case ReplayKey():
                if not self.executions[key]:
                    raise RanTwiceError(f"{key} was replayed but never ran")
            case Refusal():
                if found.outcome is Outcome.NOT_RUN and self.executions[key]:
                    raise RanTwiceError(f"{key} ran and is told as not run")

    @action(index=range(21), lose=(True, False), duplicate=(True, False))
    def deliver_query(self, index, lose, duplicate):
        """Deliver or lose one query, or deliver it twice."""
        if self.queries:
            query = self.queries[index % len(self.queries)]
            if not duplicate:
                self.queries.remove(query)
            if not lose:
                self.answer(*query)

    @action(index=range(21), duplicate=(True, False))
    def deliver_reply(self, index, duplicate):
        """Deliver one reply, or deliver it twice."""
        if self.replies:
            reply = self.replies[index % len(self.replies)]
            if not duplicate:
                self.replies.remove(reply)
            self.take(*reply)

    @action()
    def deliver_all(self):
        """Deliver all queries and replies, as a healthy network does."""
        queries, self.queries = self.queries, []
        for query in queries:
            self.answer(*query)
        replies, self.replies = self.replies, []
        for reply in replies:
            self.take(*reply)

    def answer(self, asker, node, target, query):
        """Ask the target for its promise."""
        if target in self.nodes:
            reply = self.nodes[target].fence(query, self.now, asker)
            self.replies.append((asker, node, target, reply))

    def take(self, asker, node, target, reply):
        """Pass on a reply to the process and the round that asked."""
        key = reply.idempotency_key
        is_current = self.rounds.get((node, key)) == reply.request
        if self.nodes.get(asker) is node and is_current:
            found = node.key_fenced("s", key, target, reply.promised, self.now)
            if found is not None:
                self.follow(asker, node, key, found)

    @action(index=range(6), end=("answer", "lose", "withdraw"))
    def end_run(self, index, end):
        """End the run of a request."""
        if not self.runs:
            return
        node, key, number = self.runs.pop(index % len(self.runs))
        if self.now - self.executions[key][number] >= MAX_RUN_S:
            end = "lose"  # every call has ended by then
        if end == "withdraw":
            node.key_withdraw("s", key, self.now)
            self.executions[key][number] = float("-inf")
        else:
            answer = StoredAnswer(200, (), b"") if end == "answer" else None
            node.key_finish("s", key, answer, self.now)

    def check(self):
        """Raise if a key ran twice."""
        for key, times in self.executions.items():
            done = sorted(t for t in times if t >= 0.0)
            limit_s = float("inf") if key.startswith("mw1.") else RETENTION_S
            if any(b < a + limit_s for a, b in pairwise(done)):
                raise RanTwiceError(f"{key} ran at {done}")


def run_uniform(seed, steps=60):
    """Run actions drawn uniformly.

    Raises
    ------
    RanTwiceError
    """
    rng = Random(seed)
    world = KeyWorld(rng.random() < 0.5)
    names = list(ACTIONS)
    for _ in range(steps):
        name = rng.choice(names)
        drawn = {key: rng.choice(values) for key, values in ACTIONS[name].items()}
        getattr(world, name)(**drawn)
        world.check()
    return sum(len(times) for times in world.executions.values())


def run(quick=False, seeds=None, steps=60):
    """Run many seeds.

    Returns
    -------
    dict
        ``seeds``, ``steps``, ``executions`` and ``failed``: list of seeds.
    """
    seeds = seeds or (500 if quick else 20_000)
    executions, failed = 0, []
    for seed in range(seeds):
        try:
            executions += run_uniform(seed, steps)
        except AssertionError:  # or a violation that the policy itself reports
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
