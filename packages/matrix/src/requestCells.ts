import type { AttemptResult } from "@kumquathall/entry";
import loadXxhash from "xxhash-wasm";
import type { CellResult, MatrixCell } from "./matrixCell.js";
import { createRandom } from "./random.js";
import { type FakeCaller, RequestStage, WHOLE_TEXT } from "./requestStage.js";
import { runInVirtualTime, type VirtualTime } from "./virtualTime.js";

const STORIES = ["order", "stream"] as const;
type Story = (typeof STORIES)[number];

const STEPS = [
    "before it is sent",
    "when the run message is under way",
    "when the ledger has begun it",
    "while the engine runs it",
    "when the first part is under way",
    "when the last frame is under way",
] as const;
type Step = (typeof STEPS)[number];

const STORY_MS = 12_000;
const BACK_MS = 100;
const SILENT_MS = 1800;

interface RequestFault {
    name: string;
    begin: (stage: RequestStage, random: () => number, time: VirtualTime) => void;
    impossible?: (story: Story, step: Step) => string | undefined;
    /**
     * The engine answered, the caller has the answer, control could not be told, and the only process that knew of it is gone:
     * the resend is told truthfully that the outcome is not known. At most once still holds.
     */
    canLoseStoredAnswer?: boolean;
}

const FAULTS: RequestFault[] = [
    { name: "connection lost and back", begin: stage => replaceConnection(stage, BACK_MS) },
    {
        name: "connection lost twice",
        begin: stage => {
            replaceConnection(stage, BACK_MS);
            setTimeout(() => replaceConnection(stage, BACK_MS), BACK_MS + 40);
        },
    },
    { name: "connection lost for good", begin: stage => stage.closeConnection() },
    { name: "silent connection", begin: stage => dropFrames(stage) },
    {
        name: "agent killed and restarted",
        begin: stage => {
            stage.restartAgent();
            setTimeout(() => stage.openConnection(), BACK_MS);
        },
    },
    {
        name: "agent killed, then its engine",
        begin: stage => {
            stage.restartAgent();
            stage.engine.crash();
            setTimeout(() => {
                stage.engine.restart();
                stage.openConnection();
            }, BACK_MS);
        },
    },
    {
        name: "engine crash",
        begin: stage => {
            stage.engine.crash();
            setTimeout(() => stage.engine.restart(), 300);
        },
    },
    { name: "entry killed", begin: stage => stage.killEntry() },
    {
        name: "control away for 2 s",
        begin: stage => {
            stage.isControlReachable = false;
            setTimeout(() => {
                stage.isControlReachable = true;
            }, 2000);
        },
    },
    {
        name: "control away, then the agent killed",
        canLoseStoredAnswer: true,
        begin: stage => {
            stage.isControlReachable = false;
            setTimeout(() => stage.restartAgent(), 50);
            setTimeout(() => {
                stage.isControlReachable = true;
                stage.openConnection();
            }, 1500);
        },
    },
    {
        name: "every frame doubled",
        begin: stage => {
            stage.rule = () => [1, 4];
        },
    },
    {
        name: "frames reordered",
        begin: (stage, random) => {
            stage.rule = () => [1 + Math.floor(random() * 80)];
        },
    },
    {
        name: "a third of the frames lost",
        begin: (stage, random) => {
            stage.rule = () => random() < 0.33 ? [] : [1];
        },
    },
    {
        name: "slow connection",
        begin: stage => {
            stage.rule = () => [400];
        },
    },
    { name: "clock step of an hour", begin: (_stage, _random, time) => time.setWallClock(Date.now() + 3_600_000) },
    {
        name: "dark fabric domain",
        begin: () => undefined,
        impossible: () => "to a request it is the loss of its agent and engine at once, which is a row of its own",
    },
    {
        name: "pause and resume of the agent",
        begin: () => undefined,
        impossible: () =>
            "seen from the entry it is a silent connection; that a paused agent starts nothing late is in the model of replica groups",
    },
];

/** Cells of an order that may run once only, and of a streamed answer. */
export function listRequestCells(): MatrixCell[] {
    return STORIES.flatMap(story =>
        FAULTS.flatMap(fault =>
            STEPS.map(step => ({
                story,
                fault: fault.name,
                step,
                impossible: fault.impossible?.(story, step) ?? describeImpossibleStep(story, step),
                run: async (seed: number, disabledGuard?: string) => {
                    const hash = await loadXxhash();
                    return runInVirtualTime(async time =>
                        runCell(story, fault, step, createRandom(seed), new RequestStage(hash, disabledGuard), time)
                    );
                },
            }))
        )
    );
}

function describeImpossibleStep(story: Story, step: Step): string | undefined {
    if (story === "stream" && step === "when the ledger has begun it") {
        return "an idempotent request does not touch the ledger";
    }
    if (story === "order" && step === "when the first part is under way") {
        return "a short answer is one frame";
    }
    return undefined;
}

function replaceConnection(stage: RequestStage, backAfterMs: number): void {
    stage.closeConnection();
    setTimeout(() => stage.openConnection(), backAfterMs);
}

/** Frames vanish until both ends have noticed the silence and a new connection is there. */
function dropFrames(stage: RequestStage): void {
    stage.rule = () => [];
    setTimeout(() => {
        stage.rule = () => [1];
        replaceConnection(stage, BACK_MS);
    }, SILENT_MS);
}

async function runCell(
    story: Story,
    fault: RequestFault,
    step: Step,
    random: () => number,
    stage: RequestStage,
    time: VirtualTime,
): Promise<CellResult> {
    let isBegun = false;
    const begin = () => {
        if (!isBegun) {
            isBegun = true;
            fault.begin(stage, random, time);
        }
    };
    watchStep(stage, step, begin);
    const first = startSend(stage, "r1", story);
    await time.pass(STORY_MS);
    // Whatever the fault was, it is over now; the caller sends its request again.
    stage.rule = () => [1];
    stage.isControlReachable = true;
    stage.engine.restart();
    stage.closeConnection();
    stage.openConnection();
    const runsBefore = stage.engine.runs;
    const second = startSend(stage, "r2", story);
    await time.pass(STORY_MS);
    stage.close();
    if (!isBegun) {
        return "the step was never reached";
    }
    return describeAttempt("first", first, runsBefore) ?? describeAttempt("second", second, undefined)
        ?? describeStory(story, fault, stage.engine.runs, first, second);
}

interface Sent {
    caller: FakeCaller | undefined;
    end: AttemptResult | undefined;
}

function startSend(stage: RequestStage, runId: string, story: Story): Sent {
    const sent: Sent = { caller: undefined, end: undefined };
    void stage.send(runId, story).then(result => {
        sent.caller = result.caller;
        sent.end = result.end;
    });
    return sent;
}

function watchStep(stage: RequestStage, step: Step, begin: () => void): void {
    if (step === "before it is sent") {
        begin();
        return;
    }
    if (step === "when the ledger has begun it") {
        stage.onCommand = command => {
            if (command.kind === "ledgerBegin") {
                setImmediate(begin);
            }
        };
        return;
    }
    stage.onFrame = frame => {
        const isRun = frame.kind === "run";
        const isFirst = frame.kind === "runChunk";
        const isLast = frame.kind === "runEnd" || frame.kind === "runWhole";
        if (step === "while the engine runs it" && isRun) {
            setTimeout(begin, 60);
        }
        else if (
            (step === "when the run message is under way" && isRun)
            || (step === "when the first part is under way" && isFirst)
            || (step === "when the last frame is under way" && isLast)
        ) {
            setImmediate(begin);
        }
    };
}

/** What one attempt told its caller must be true. */
function describeAttempt(name: string, sent: Sent, runs: number | undefined): CellResult {
    if (sent.end?.kind === "complete" && sent.caller?.text !== WHOLE_TEXT) {
        return `the ${name} answer was called complete, but is "${sent.caller?.text}"`;
    }
    if (sent.end?.kind === "refused" && runs !== undefined && runs > 0) {
        return `the ${name} request was told as not run (${sent.end.refusal.code}), but ran ${runs} times`;
    }
    return undefined;
}

function describeStory(story: Story, fault: RequestFault, runs: number, first: Sent, second: Sent): CellResult {
    if (story === "order" && runs > 1) {
        return `the order ran ${runs} times`;
    }
    if (second.end === undefined) {
        return "the second request had no end";
    }
    const isSettled = second.end.kind === "complete" || (story === "order" && second.end.kind === "broken");
    if (!isSettled) {
        return `after the fault the resend ended as ${JSON.stringify(second.end)}`;
    }
    const isLost = story === "order" && fault.canLoseStoredAnswer !== true && first.end?.kind === "complete"
        && second.end.kind !== "complete";
    return isLost ? "the first answer was complete, but the resend did not get it" : undefined;
}
