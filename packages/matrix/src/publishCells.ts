import { getService } from "@kumquathall/control-state";
import type { Command, CommandResult, ServiceDefinition } from "@kumquathall/types";
import { ControlGroup, type NetworkRule } from "./controlGroup.js";
import type { CellResult, MatrixCell } from "./matrixCell.js";
import { createRandom } from "./random.js";
import { runInVirtualTime, type VirtualTime } from "./virtualTime.js";

const STEPS = [
    "before it is proposed",
    "when the leader has sent it",
    "when a follower has stored it",
    "when it is committed",
    "after the answer",
] as const;
type Step = (typeof STEPS)[number];

const CHANGE_ID = "change-2";
const SETTLE_MS = 3000;
const FAULT_MS = 2500;
const RECOVERY_MS = 4000;
const STEP_MS = 2;
const RESEND_MS = 8000;

interface PublishFault {
    name: string;
    /** Injects the fault. `leader` is the leader when the change is proposed. */
    inject: (group: ControlGroup, leader: string, random: () => number, time: VirtualTime) => void;
    impossible?: (step: Step) => string | undefined;
}

const FAULTS: PublishFault[] = [
    { name: "leader killed", inject: (group, leader) => group.kill(leader, 0) },
    { name: "leader killed, torn tail", inject: (group, leader) => group.kill(leader, 9) },
    { name: "follower killed", inject: (group, leader) => group.kill(findFollowers(group, leader)[0], 0) },
    { name: "follower killed, torn tail", inject: (group, leader) => group.kill(findFollowers(group, leader)[0], 5) },
    {
        name: "both followers killed",
        inject: (group, leader) => findFollowers(group, leader).forEach(id => group.kill(id, 0)),
    },
    { name: "all members killed", inject: group => [...group.members.keys()].forEach(id => group.kill(id, 3)) },
    {
        name: "leader cut both ways",
        inject: (group, leader) => {
            group.rule = (from, to) => from === leader || to === leader ? [] : [1];
        },
    },
    {
        name: "leader cut, it hears but is not heard",
        inject: (group, leader) => {
            group.rule = from => from === leader ? [] : [1];
        },
    },
    {
        name: "leader cut, it is heard but hears nothing",
        inject: (group, leader) => {
            group.rule = (_from, to) => to === leader ? [] : [1];
        },
    },
    {
        name: "leader cut, then a follower killed",
        inject: (group, leader) => {
            group.rule = (from, to) => from === leader || to === leader ? [] : [1];
            setTimeout(() => group.kill(findFollowers(group, leader)[0], 0), 1200);
        },
    },
    {
        name: "leader killed twice",
        inject: (group, leader) => {
            group.kill(leader, 0);
            setTimeout(() => killCurrentLeader(group), 1800);
        },
    },
    {
        name: "failed sync at the leader",
        inject: (group, leader) => failSync(group, leader),
        impossible: describeNoWrite,
    },
    {
        name: "failed sync at a follower",
        inject: (group, leader) => failSync(group, findFollowers(group, leader)[0]),
        impossible: describeNoWrite,
    },
    { name: "every message doubled", inject: group => setRule(group, () => [1, 7]) },
    {
        name: "messages reordered",
        inject: (group, _leader, random) => setRule(group, () => [1 + Math.floor(random() * 40)]),
    },
    {
        name: "a third of the messages lost",
        inject: (group, _leader, random) => setRule(group, () => random() < 0.33 ? [] : [1]),
    },
    {
        name: "slow member",
        inject: (group, leader) =>
            setRule(group, (from, to) => [from, to].includes(findFollowers(group, leader)[0]) ? [90] : [1]),
    },
    {
        name: "clock step of an hour",
        inject: (_group, _leader, _random, time) => time.setWallClock(Date.now() + 3_600_000),
    },
    {
        name: "restart from old state",
        inject: () => undefined,
        impossible: () =>
            "a member's disk keeps what was synced; a member whose disk is lost is replaced, not restarted",
    },
    {
        name: "pause and resume of the leader",
        inject: () => undefined,
        impossible: () => "one clock drives all members here; `npm run model` explores every delay of a member's ticks",
    },
];

/** Lists the cells in which version 2 of a service is published after version 1. */
export function listPublishCells(): MatrixCell[] {
    return FAULTS.flatMap(fault =>
        STEPS.map(step => ({
            operation: "publish",
            fault: fault.name,
            step,
            impossible: fault.impossible?.(step),
            run: (seed: number, disabledGuard?: string) =>
                runInVirtualTime(time => runCell(fault, step, seed, time, disabledGuard)),
        }))
    );
}

function setRule(group: ControlGroup, rule: NetworkRule): void {
    group.rule = rule;
}

function findFollowers(group: ControlGroup, leader: string): string[] {
    return [...group.members.keys()].filter(id => id !== leader);
}

function killCurrentLeader(group: ControlGroup): void {
    const leader = group.findLeader();
    if (leader !== undefined) {
        group.kill(leader.id, 0);
    }
}

function failSync(group: ControlGroup, id: string): void {
    group.getMember(id).disk.failNextSync = true;
}

function describeNoWrite(step: Step): string | undefined {
    return step === "after the answer" ? "nothing of the publish is written after its answer" : undefined;
}

function buildPublish(version: number, changeId: string): Command {
    const definition: ServiceDefinition = {
        institution: "i",
        service: "s",
        version,
        kind: "plain",
        models: [],
        replicaGroup: { vms: 1, acceleratorsPerVm: 0 },
        capacity: { groups: 0, concurrentRequests: version, requestsPerSecond: 1 },
        objective: { groupDowntime: 1, strandedAccelerators: 1 },
        deadlineMs: 1000,
        accounts: [],
        requests: [],
    };
    return {
        kind: "publish",
        changeId,
        operator: "o",
        at: "2026-01-01T00:00:00.000Z",
        baseVersion: version - 1,
        definition,
    };
}

async function runCell(
    fault: PublishFault,
    step: Step,
    seed: number,
    time: VirtualTime,
    disabledGuard: string | undefined,
): Promise<CellResult> {
    const random = createRandom(seed);
    const group = new ControlGroup({ disabledGuard, random: createRandom(seed) });
    await group.start();
    await time.advance(SETTLE_MS);
    const first = await publishUntilAnswered(group, buildPublish(1, "change-1"), time);
    if (first?.kind !== "accepted") {
        group.close();
        return "version 1 was not accepted before any fault";
    }
    const answer = await publishUnderFault(group, fault, step, random, time);
    await time.advance(FAULT_MS);
    await recoverGroup(group, time);
    const resent = await publishUntilAnswered(group, buildPublish(2, CHANGE_ID), time);
    // A sync set to fail may fail only during the resend and end the process, which must then be restarted.
    await recoverGroup(group, time);
    const problem = describeProblem(group, answer, resent);
    group.close();
    return problem;
}

/** Proposes the change and injects the fault at the step. Returns the first answer, if there was one. */
async function publishUnderFault(
    group: ControlGroup,
    fault: PublishFault,
    step: Step,
    random: () => number,
    time: VirtualTime,
): Promise<CommandResult | undefined> {
    const leader = group.findLeader();
    if (leader === undefined) {
        return undefined;
    }
    let isInjected = false;
    const inject = () => {
        if (!isInjected) {
            isInjected = true;
            fault.inject(group, leader.id, random, time);
        }
    };
    if (step === "before it is proposed") {
        inject();
    }
    watchStep(group, leader.id, step, inject);
    let answer: CommandResult | undefined;
    void leader.runtime?.propose(buildPublish(2, CHANGE_ID)).then(
        result => {
            answer = result;
            if (step === "after the answer") {
                inject();
            }
        },
        () => undefined,
    );
    for (let elapsedMs = 0; elapsedMs < 400 && !isInjected; elapsedMs += STEP_MS) {
        await time.advance(STEP_MS);
    }
    group.onSend = undefined;
    return answer;
}

function watchStep(group: ControlGroup, leader: string, step: Step, inject: () => void): void {
    group.onSend = (from, _to, message) => {
        const isSent = message.kind === "append" && from === leader && message.entries.length > 0;
        const isStored = message.kind === "appendAnswer" && from !== leader && message.isAccepted;
        const isCommitted = message.kind === "append" && from === leader && message.commitIndex >= message.previousIndex
            && message.entries.length === 0;
        const hasHappened = (step === "when the leader has sent it" && isSent)
            || (step === "when a follower has stored it" && isStored)
            || (step === "when it is committed" && isCommitted);
        if (hasHappened) {
            // Deferred, so that this message is still sent under the previous network rule.
            setImmediate(inject);
        }
    };
}

/** Removes all network faults, restarts the members that are down and waits until the group has recovered. */
async function recoverGroup(group: ControlGroup, time: VirtualTime): Promise<void> {
    group.rule = () => [1];
    for (const member of group.members.values()) {
        await group.startMember(member.id);
    }
    await time.advance(RECOVERY_MS);
}

/** Proposes the same change to the current leader until an answer arrives, as an operator's client does. */
async function publishUntilAnswered(
    group: ControlGroup,
    command: Command,
    time: VirtualTime,
): Promise<CommandResult | undefined> {
    let answer: CommandResult | undefined;
    for (let elapsedMs = 0; elapsedMs < RESEND_MS && answer === undefined; elapsedMs += 200) {
        const leader = group.findLeader();
        void leader?.runtime?.propose(command).then(
            result => {
                answer ??= result;
            },
            () => undefined,
        );
        await time.advance(200);
    }
    return answer;
}

function describeProblem(
    group: ControlGroup,
    answer: CommandResult | undefined,
    resent: CommandResult | undefined,
): CellResult {
    if (group.violations.length > 0) {
        return group.violations[0];
    }
    if (resent?.kind !== "accepted") {
        return `the resent change was not accepted: ${JSON.stringify(resent)}`;
    }
    if (answer !== undefined && JSON.stringify(answer) !== JSON.stringify(resent)) {
        return `the resend was answered ${JSON.stringify(resent)}, the first send ${JSON.stringify(answer)}`;
    }
    for (const member of group.members.values()) {
        const state = member.stateMachine?.getState();
        const version = state === undefined ? undefined : getService(state.configuration, "i", "s")?.version;
        if (version !== 2) {
            return `${member.id} holds version ${version}`;
        }
        const records = state?.audit.filter(record => record.changeId === CHANGE_ID && record.accepted).size;
        if (records !== 1) {
            return `${member.id} has ${records} audit records of the change`;
        }
    }
    return undefined;
}
