import { Given, Then, When } from "@cucumber/cucumber";
import { strictEqual } from "node:assert";
import { getLastIndex, hasCopy } from "./log.js";
import { type ConsensusEvent, type ConsensusState, DEFAULT_CONSENSUS_OPTIONS, Role } from "./state.js";
import { createConsensusState, stepConsensus } from "./step.js";

type State = ConsensusState<string>;

const TICK_MS = 20;

let leader: State;
let learner: State;
let now = 0;

function step(state: State, event: ConsensusEvent<string>): State {
    return stepConsensus(state, event, DEFAULT_CONSENSUS_OPTIONS).state;
}

function startMember(id: string, members: string[]): State {
    return createConsensusState<string>({ id, members, now, random: 0, timing: DEFAULT_CONSENSUS_OPTIONS });
}

/** Lets a process confirm all that the leader has sent. */
function confirm(from: string): void {
    const message = {
        kind: "appendAnswer" as const,
        term: leader.hardState.term,
        isAccepted: true,
        matchIndex: getLastIndex(leader),
        sentAt: now,
    };
    leader = step(leader, { kind: "receive", now, random: 0, from, message });
}

function persist(): void {
    leader = step(leader, { kind: "persisted", now, index: getLastIndex(leader), term: leader.hardState.term });
}

function setLearners(learners: string[]): void {
    leader = step(leader, { kind: "learners", now, learners });
}

Given("a leader {string} of the members {string} with a committed entry", (id: string, members: string) => {
    now = 0;
    leader = startMember(id, members.split(","));
    now = leader.electionDeadline;
    leader = step(leader, { kind: "tick", now, random: 0 });
    const { term } = leader.hardState;
    const grant = { term: term + 1, isGranted: true };
    for (const kind of ["preVoteAnswer", "voteAnswer"] as const) {
        leader = step(leader, { kind: "receive", now, random: 0, from: "b", message: { kind, ...grant } });
    }
    persist();
    confirm("b");
    confirm("c");
    strictEqual(leader.role, Role.Leader);
    strictEqual(leader.commitIndex, getLastIndex(leader));
});

Given("the learner {string}", (id: string) => setLearners([id]));

When("the leader appends an entry that {string} confirms", (from: string) => {
    leader = step(leader, { kind: "propose", now, payload: { kind: "commands", commands: ["x"] } });
    persist();
    confirm(from);
});

When("the leader appends an entry that {string} and {string} confirm", (first: string, second: string) => {
    leader = step(leader, { kind: "propose", now, payload: { kind: "commands", commands: ["x"] } });
    persist();
    confirm(first);
    confirm(second);
});

Then("the entry is not committed, and {string} has no copy yet that counts towards a majority", (id: string) => {
    strictEqual(leader.commitIndex, getLastIndex(leader) - 1);
    strictEqual(leader.peers[id].matchIndex, getLastIndex(leader));
});

When("{int} ms pass in which only {string} answers", (ms: number, from: string) => {
    for (const endsAt = now + ms; now < endsAt;) {
        now += TICK_MS;
        leader = step(leader, { kind: "tick", now, random: 0 });
        confirm(from);
    }
});

Then("the leader has stepped down, and has no learners", () => {
    strictEqual(leader.role === Role.Leader, false);
    strictEqual(leader.learners.length, 0);
});

Then("{string} holds a copy", (id: string) => strictEqual(hasCopy(leader, id), true));

Then("{string} holds no copy", (id: string) => strictEqual(hasCopy(leader, id), false));

When("the learners are {string} and then {string} again", (other: string, id: string) => {
    setLearners([other]);
    setLearners([id]);
});

When("{string} confirms all entries", (from: string) => confirm(from));

When("the leader adds {string} to the members", (id: string) => {
    leader = step(leader, { kind: "propose", now, payload: { kind: "members", members: ["a", "b", "c", id] } });
    persist();
});

When(
    "{string}, {string} and {string} confirm all entries",
    (first: string, second: string, third: string) => [first, second, third].forEach(confirm),
);

When("there are no learners", () => setLearners([]));

Given(
    "a process {string} that is no member and has got an entry of the leader {string}",
    (id: string, from: string) => {
        learner = startMember(id, []);
        const entry = { index: 1, term: 1, payload: { kind: "members" as const, members: ["a", "b", "c"] } };
        const message = {
            kind: "append" as const,
            term: 1,
            previousIndex: 0,
            previousTerm: 0,
            entries: [entry],
            commitIndex: 1,
            sentAt: now,
        };
        learner = step(learner, { kind: "receive", now, random: 0, from, message });
    },
);

Then(
    "{string} knows the leader {string} after {int} ms, and none after {int} ms",
    (_id: string, from: string, knownMs: number, forgottenMs: number) => {
        learner = step(learner, { kind: "tick", now: now + knownMs, random: 0 });
        strictEqual(learner.leaderId, from);
        learner = step(learner, { kind: "tick", now: now + forgottenMs, random: 0 });
        strictEqual(learner.leaderId, undefined);
    },
);
