import { EngineClient, EngineError, type EngineResponse, type EngineState, RunManager } from "@kumquathall/agent";
import { applyCommand, type ControlState, createControlState } from "@kumquathall/control-state";
import { type AttemptResult, type ResponseSink, RunAttempt } from "@kumquathall/entry";
import type { Link } from "@kumquathall/link";
import { createLogger } from "@kumquathall/logger";
import type { AgentToEntry, Command, CommandResult, EntryToAgent, HeaderField, RunMessage } from "@kumquathall/types";
import type { EventEmitter } from "node:events";
import type { XXHashAPI } from "xxhash-wasm";

const CHUNKS = ["spruce ", "maple ", "billet ", "tap ", "tone"];
const CHUNK_MS = 30;
const NETWORK_DELAY_MS = 1;
const PROPOSAL_DELAY_MS = 3;
export const EXPECTED_ANSWER = CHUNKS.join("");

/** An engine that answers in timed chunks, counts its runs, and crashes on request. */
export class FakeEngine extends EngineClient {
    runs = 0;
    private isDown = false;
    private readonly crashListeners = new Set<() => void>();

    constructor() {
        super("http://127.0.0.1:9");
    }

    override load(): Promise<void> {
        return Promise.resolve();
    }

    override release(): Promise<void> {
        return Promise.resolve();
    }

    override readState(): Promise<EngineState> {
        return Promise.reject(new EngineError("the fake engine does not report its state", true));
    }

    override async run(_message: RunMessage, signal: EventEmitter): Promise<EngineResponse> {
        if (this.isDown) {
            throw new EngineError("connection refused", true);
        }
        this.runs++;
        await this.wait(CHUNK_MS, signal);
        const body = this.listChunks(signal);
        const readBody = async () => {
            const parts: Uint8Array[] = [];
            for await (const part of body) {
                parts.push(part);
            }
            return Buffer.concat(parts);
        };
        return { status: 200, headers: [], body, readBody };
    }

    /** Ends all runs with an error and refuses connections until `restart`. */
    crash(): void {
        this.isDown = true;
        this.crashListeners.forEach(listener => listener());
    }

    restart(): void {
        this.isDown = false;
    }

    private async *listChunks(signal: EventEmitter): AsyncGenerator<Uint8Array> {
        for (const chunk of CHUNKS) {
            await this.wait(CHUNK_MS, signal);
            yield Buffer.from(chunk);
        }
    }

    private wait(ms: number, signal: EventEmitter): Promise<void> {
        return new Promise((resolve, reject) => {
            const stop = () => {
                clearTimeout(timer);
                reject(new EngineError("the connection to the engine broke", false));
            };
            const timer = setTimeout(() => {
                this.crashListeners.delete(stop);
                resolve();
            }, ms);
            this.crashListeners.add(stop);
            signal.once("abort", stop);
        });
    }
}

/** Records the answer that a caller receives. */
export class FakeCaller implements ResponseSink {
    text = "";
    isStarted = false;
    onStart: (() => void) | undefined;

    start(): void {
        this.isStarted = true;
    }

    write(data: Uint8Array): boolean {
        this.text += Buffer.from(data).toString("utf8");
        this.onStart?.();
        return true;
    }

    onDrained(resume: () => void): void {
        resume();
    }

    writeComplete(_status: number, _headers: HeaderField[], data: Uint8Array): void {
        this.text = Buffer.from(data).toString("utf8");
    }
}

type Frame = EntryToAgent | AgentToEntry;

/** Returns the delays in milliseconds after which a frame is delivered, once for each; none if it is lost. */
export type FrameRule = (frame: Frame, isToAgent: boolean) => number[];

/** A connection between an entry and an agent, with both ends in this process. */
interface Connection {
    entryEnd: Link;
    agentEnd: Link;
    isOpen: boolean;
}

/** One entry, one agent with its engine, and the ledger, with the real run attempt, run manager and state machine. */
export class RequestHarness {
    readonly engine = new FakeEngine();
    rule: FrameRule = () => [NETWORK_DELAY_MS];
    onFrame: ((frame: Frame) => void) | undefined;
    onCommand: ((command: Command) => void) | undefined;
    isControlReachable = true;
    private control: ControlState = createControlState();
    private index = 0;
    private incarnation = 0;
    private manager: RunManager;
    private connection: Connection;
    private readonly attempts = new Map<string, RunAttempt>();

    constructor(private readonly hash: XXHashAPI, private readonly disabledGuard?: string) {
        this.manager = this.startManager();
        this.connection = this.createConnection();
    }

    /** Sends one request. Returns the answer that the caller received and how the attempt ended. */
    async send(runId: string, kind: "order" | "stream"): Promise<{ caller: FakeCaller; end: AttemptResult }> {
        const caller = new FakeCaller();
        const attempt = new RunAttempt({
            message: buildRun(runId, kind),
            vm: "vm-1",
            incarnation: String(this.incarnation),
            link: this.connection.entryEnd,
            sink: caller,
            hash: this.hash,
            deadline: performance.now() + 6000,
            onFirstByte: () => undefined,
            onAcknowledge: () => undefined,
        });
        this.attempts.set(runId, attempt);
        const end = await attempt.run();
        this.attempts.delete(runId);
        return { caller, end };
    }

    /** Closes the connection at both ends; `openConnection` opens a new one. */
    closeConnection(): void {
        const closed = this.connection;
        closed.isOpen = false;
        this.manager.handleLinkClosed(closed.agentEnd);
        this.attempts.forEach(attempt => attempt.handleLinkClosed(closed.entryEnd));
    }

    /** Opens a new connection and hands it to the pending attempts. */
    openConnection(): void {
        this.connection = this.createConnection();
        this.attempts.forEach(attempt =>
            attempt.handleAgentReconnect(String(this.incarnation), this.connection.entryEnd)
        );
    }

    /** Replaces the agent by a new incarnation without a connection; the engine keeps running. */
    restartAgent(): void {
        this.closeConnection();
        this.manager.close();
        this.manager = this.startManager();
    }

    /** Restarts the entry, which loses its pending attempts. */
    restartEntry(): void {
        this.closeConnection();
        this.attempts.clear();
        this.openConnection();
    }

    close(): void {
        this.manager.close();
    }

    private startManager(): RunManager {
        this.incarnation++;
        const incarnation = String(this.incarnation);
        const attributes = {
            dataCentre: "d",
            fabricDomain: "f",
            accelerators: 0,
            kind: "plain" as const,
            fencing: "ignored" as const,
            service: "i/s",
            address: "",
        };
        this.apply({ kind: "registerVm", vm: "vm-1", incarnation, attributes, at: "" });
        return new RunManager({
            vm: "vm-1",
            incarnation,
            engine: this.engine,
            hash: this.hash,
            logger: createLogger({ level: "error", write: () => undefined }),
            maxHeldBytes: 1_000_000,
            decideStart: (_message, remainingMs) =>
                remainingMs > 0
                    ? { kind: "start" }
                    : { kind: "refuse", refusal: { code: "deadline-exceeded", message: "", retryAfterMs: undefined } },
            propose: (command, until) => this.propose(command, until, incarnation),
            onEngineLost: () => undefined,
        });
    }

    /**
     * Applies a command of an agent, with a delay each way. Waits while control cannot be reached, and fails if that
     * lasts until `until`. Never settles once the agent was replaced, since its process no longer exists.
     */
    private async propose(command: Command, until: number, incarnation: string): Promise<CommandResult> {
        while (performance.now() < until) {
            await new Promise(resolve => setTimeout(resolve, PROPOSAL_DELAY_MS));
            if (incarnation !== String(this.incarnation)) {
                return new Promise(() => undefined);
            }
            if (this.isControlReachable) {
                const result = this.apply(command);
                this.onCommand?.(command);
                await new Promise(resolve => setTimeout(resolve, PROPOSAL_DELAY_MS));
                return incarnation === String(this.incarnation) ? result : new Promise(() => undefined);
            }
        }
        throw new Error("control was not reachable before the deadline of the proposal");
    }

    private apply(command: Command): CommandResult {
        this.index++;
        const applied = applyCommand(this.control, command, {
            index: this.index,
            term: 1,
            disabledGuard: this.disabledGuard,
        });
        this.control = applied.state;
        return applied.result;
    }

    private createConnection(): Connection {
        const { manager } = this;
        const connection: Connection = { isOpen: true } as Connection;
        const transmit = (frame: Frame, isToAgent: boolean, deliver: (frame: Frame) => void) => {
            this.onFrame?.(frame);
            for (const delayMs of connection.isOpen ? this.rule(frame, isToAgent) : []) {
                setTimeout(() => connection.isOpen ? deliver(structuredClone(frame)) : undefined, delayMs);
            }
        };
        connection.entryEnd = createLinkEnd(frame =>
            transmit(frame, true, copy => manager.handle(copy as EntryToAgent, connection.agentEnd))
        );
        connection.agentEnd = createLinkEnd(frame =>
            transmit(frame, false, copy => {
                const message = copy as AgentToEntry;
                this.attempts.get(message.requestId)?.handleMessage(message, connection.entryEnd);
            })
        );
        return connection;
    }
}

/** Creates a link with `cast` only, the one method that run attempts and run managers use. */
function createLinkEnd(cast: (frame: Frame) => void): Link {
    return { cast } as unknown as Link;
}

function buildRun(requestId: string, kind: "order" | "stream"): RunMessage {
    return {
        kind: "run",
        requestId,
        institution: "i",
        service: "s",
        groupId: undefined,
        fencing: undefined,
        remainingMs: 6000,
        priority: 5,
        method: "POST",
        path: "/",
        headers: [],
        body: Buffer.from("body"),
        isStream: kind === "stream",
        ledgerKey: kind === "order" ? "i/s/a/key" : undefined,
        digest: "d",
        fingerprint: "f",
        isSuspect: false,
        credit: 100_000,
    };
}
