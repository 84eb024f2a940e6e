import type { AttemptResult } from "@kumquathall/entry";
import loadXxhash from "xxhash-wasm";
import type { CellResult, MatrixCell } from "./matrixCell.js";
import { createRandom } from "./random.js";
import { EXPECTED_ANSWER, type FakeCaller, RequestHarness } from "./requestHarness.js";
import { runInVirtualTime, type VirtualTime } from "./virtualTime.js";

const REQUEST_KINDS = ["order", "stream"] as const;
type RequestKind = (typeof REQUEST_KINDS)[number];

const STEPS = [
    "before it is sent",
    "when the run message is under way",
    "when the ledger has begun it",
    "while the engine runs it",
    "when the first part is under way",
    "when the last frame is under way",
] as const;
type Step = (typeof STEPS)[number];

/** Virtual time after each send; longer than the deadline of a request. */
const SEND_WAIT_MS = 12_000;
const RECONNECT_MS = 100;
const SILENCE_MS = 1800;

interface RequestFault {
    name: string;
    inject: (harness: RequestHarness, random: () => number, time: VirtualTime) => void;
    impossible?: (kind: RequestKind, step: Step) => string | undefined;
    /**
     * A resend can miss the answer: the agent has delivered it to the caller, but could not record it in the ledger and
     * then restarted. The resend then correctly ends with an unknown outcome; the order still runs at most once.
     */
    canLoseStoredAnswer?: boolean;
}

const FAULTS: RequestFault[] = [
    { name: "connection lost and back", inject: harness => replaceConnection(harness, RECONNECT_MS) },
    {
        name: "connection lost twice",
        inject: harness => {
            replaceConnection(harness, RECONNECT_MS);
            setTimeout(() => replaceConnection(harness, RECONNECT_MS), RECONNECT_MS + 40);
        },
    },
    { name: "connection lost for good", inject: harness => harness.closeConnection() },
    { name: "silent connection", inject: harness => dropFrames(harness) },
    {
        name: "agent killed and restarted",
        inject: harness => {
            harness.restartAgent();
            setTimeout(() => harness.openConnection(), RECONNECT_MS);
        },
    },
    {
        name: "agent killed, then its engine",
        inject: harness => {
            harness.restartAgent();
            harness.engine.crash();
            setTimeout(() => {
                harness.engine.restart();
                harness.openConnection();
            }, RECONNECT_MS);
        },
    },
    {
        name: "engine crash",
        inject: harness => {
            harness.engine.crash();
            setTimeout(() => harness.engine.restart(), 300);
        },
    },
    { name: "entry killed", inject: harness => harness.restartEntry() },
    {
        name: "control away for 2 s",
        inject: harness => {
            harness.isControlReachable = false;
            setTimeout(() => {
                harness.isControlReachable = true;
            }, 2000);
        },
    },
    {
        name: "control away, then the agent killed",
        canLoseStoredAnswer: true,
        inject: harness => {
            harness.isControlReachable = false;
            setTimeout(() => harness.restartAgent(), 50);
            setTimeout(() => {
                harness.isControlReachable = true;
                harness.openConnection();
            }, 1500);
        },
    },
    {
        name: "every frame doubled",
        inject: harness => {
            harness.rule = () => [1, 4];
        },
    },
    {
        name: "frames reordered",
        inject: (harness, random) => {
            harness.rule = () => [1 + Math.floor(random() * 80)];
        },
    },
    {
        name: "a third of the frames lost",
        inject: (harness, random) => {
            harness.rule = () => random() < 0.33 ? [] : [1];
        },
    },
    {
        name: "slow connection",
        inject: harness => {
            harness.rule = () => [400];
        },
    },
    { name: "clock step of an hour", inject: (_harness, _random, time) => time.setWallClock(Date.now() + 3_600_000) },
    {
        name: "dark fabric domain",
        inject: () => undefined,
        impossible: () => "to a request it is the loss of its agent and engine at once, which is a row of its own",
    },
    {
        name: "pause and resume of the agent",
        inject: () => undefined,
        impossible: () =>
            "seen from the entry it is a silent connection; that a paused agent starts nothing late is in the model of replica groups",
    },
];

/** Lists the cells of an order, which must run at most once, and of a request with a streamed answer. */
export function listRequestCells(): MatrixCell[] {
    return REQUEST_KINDS.flatMap(kind =>
        FAULTS.flatMap(fault =>
            STEPS.map(step => ({
                operation: kind,
                fault: fault.name,
                step,
                impossible: fault.impossible?.(kind, step) ?? describeImpossibleStep(kind, step),
                run: async (seed: number, disabledGuard?: string) => {
                    const hash = await loadXxhash();
                    return runInVirtualTime(async time =>
                        runCell(kind, fault, step, createRandom(seed), new RequestHarness(hash, disabledGuard), time)
                    );
                },
            }))
        )
    );
}

function describeImpossibleStep(kind: RequestKind, step: Step): string | undefined {
    if (kind === "stream" && step === "when the ledger has begun it") {
        return "an idempotent request does not touch the ledger";
    }
    if (kind === "order" && step === "when the first part is under way") {
        return "a short answer is one frame";
    }
    return undefined;
}

function replaceConnection(harness: RequestHarness, reconnectAfterMs: number): void {
    harness.closeConnection();
    setTimeout(() => harness.openConnection(), reconnectAfterMs);
}

/** Drops all frames until both ends have detected the silence, then replaces the connection. */
function dropFrames(harness: RequestHarness): void {
    harness.rule = () => [];
    setTimeout(() => {
        harness.rule = () => [1];
        replaceConnection(harness, RECONNECT_MS);
    }, SILENCE_MS);
}

async function runCell(
    kind: RequestKind,
    fault: RequestFault,
    step: Step,
    random: () => number,
    harness: RequestHarness,
    time: VirtualTime,
): Promise<CellResult> {
    let isInjected = false;
    const inject = () => {
        if (!isInjected) {
            isInjected = true;
            fault.inject(harness, random, time);
        }
    };
    watchStep(harness, step, inject);
    const first = startSend(harness, "r1", kind);
    await time.advance(SEND_WAIT_MS);
    // Remove the fault, if it is still present; the caller then sends its request again.
    harness.rule = () => [1];
    harness.isControlReachable = true;
    harness.engine.restart();
    harness.closeConnection();
    harness.openConnection();
    const runsBefore = harness.engine.runs;
    const second = startSend(harness, "r2", kind);
    await time.advance(SEND_WAIT_MS);
    harness.close();
    if (!isInjected) {
        return "the step was never reached";
    }
    return describeAttempt("first", first, runsBefore) ?? describeAttempt("second", second, undefined)
        ?? describeOutcome(kind, fault, harness.engine.runs, first, second);
}

/** Result of one send; both fields are `undefined` until it ends. */
interface SendResult {
    caller: FakeCaller | undefined;
    end: AttemptResult | undefined;
}

function startSend(harness: RequestHarness, runId: string, kind: RequestKind): SendResult {
    const sent: SendResult = { caller: undefined, end: undefined };
    void harness.send(runId, kind).then(result => {
        sent.caller = result.caller;
        sent.end = result.end;
    });
    return sent;
}

function watchStep(harness: RequestHarness, step: Step, inject: () => void): void {
    if (step === "before it is sent") {
        inject();
        return;
    }
    if (step === "when the ledger has begun it") {
        harness.onCommand = command => {
            if (command.kind === "ledgerBegin") {
                setImmediate(inject);
            }
        };
        return;
    }
    harness.onFrame = frame => {
        const isRun = frame.kind === "run";
        const isFirst = frame.kind === "runChunk";
        const isLast = frame.kind === "runEnd" || frame.kind === "runWhole";
        if (step === "while the engine runs it" && isRun) {
            setTimeout(inject, 60);
        }
        else if (
            (step === "when the run message is under way" && isRun)
            || (step === "when the first part is under way" && isFirst)
            || (step === "when the last frame is under way" && isLast)
        ) {
            setImmediate(inject);
        }
    };
}

/** Checks the reported end of one attempt against its answer and, if given, the number of runs so far. */
function describeAttempt(name: string, result: SendResult, runs: number | undefined): CellResult {
    if (result.end?.kind === "complete" && result.caller?.text !== EXPECTED_ANSWER) {
        return `the ${name} answer was reported as complete, but is "${result.caller?.text}"`;
    }
    if (result.end?.kind === "refused" && runs !== undefined && runs > 0) {
        return `the ${name} request was reported as not run (${result.end.refusal.code}), but ran ${runs} times`;
    }
    return undefined;
}

function describeOutcome(
    kind: RequestKind,
    fault: RequestFault,
    runs: number,
    first: SendResult,
    second: SendResult,
): CellResult {
    if (kind === "order" && runs > 1) {
        return `the order ran ${runs} times`;
    }
    if (second.end === undefined) {
        return "the second request did not end";
    }
    const isSettled = second.end.kind === "complete" || (kind === "order" && second.end.kind === "broken");
    if (!isSettled) {
        return `after the fault the resend ended as ${JSON.stringify(second.end)}`;
    }
    const isLost = kind === "order" && fault.canLoseStoredAnswer !== true && first.end?.kind === "complete"
        && second.end.kind !== "complete";
    return isLost ? "the first answer was complete, but the resend did not get it" : undefined;
}
