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
const NETWORK_MS = 1;
const LEDGER_MS = 3;
export const WHOLE_TEXT = CHUNKS.join("");

/** An engine that answers slowly, counts its runs, and crashes on request. */
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
        return Promise.reject(new EngineError("not asked here", true));
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

    /** Breaks everything that runs, and refuses connections until `restart`. */
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

/** What a caller got. */
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

/** How the connection treats a frame: the delays after which it arrives; none loses it. */
export type FrameRule = (frame: Frame, isToAgent: boolean) => number[];

/** One connection between an entry and an agent, both ends in this process. */
interface Connection {
    entryEnd: Link;
    agentEnd: Link;
    isOpen: boolean;
}

/** One entry, one agent with its engine, and the ledger: real exchange, run manager and state machine. */
export class RequestStage {
    readonly engine = new FakeEngine();
    rule: FrameRule = () => [NETWORK_MS];
    onFrame: ((frame: Frame) => void) | undefined;
    onCommand: ((command: Command) => void) | undefined;
    isControlReachable = true;
    private control: ControlState = createControlState();
    private index = 0;
    private incarnation = 0;
    private manager: RunManager;
    private connection: Connection;
    private readonly exchanges = new Map<string, RunAttempt>();

    constructor(private readonly hash: XXHashAPI, private readonly disabledGuard?: string) {
        this.manager = this.startManager();
        this.connection = this.createConnection();
    }

    /** Sends one request; the caller's answer and the attempt's end. */
    async send(runId: string, kind: "order" | "stream"): Promise<{ caller: FakeCaller; end: AttemptResult }> {
        const caller = new FakeCaller();
        const exchange = new RunAttempt({
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
        this.exchanges.set(runId, exchange);
        const end = await exchange.run();
        this.exchanges.delete(runId);
        return { caller, end };
    }

    /** Breaks the connection; a new one follows when `openConnection` is called. */
    closeConnection(): void {
        const broken = this.connection;
        broken.isOpen = false;
        this.manager.handleLinkClosed(broken.agentEnd);
        this.exchanges.forEach(exchange => exchange.handleLinkClosed(broken.entryEnd));
    }

    openConnection(): void {
        this.connection = this.createConnection();
        this.exchanges.forEach(exchange =>
            exchange.handleAgentReconnect(String(this.incarnation), this.connection.entryEnd)
        );
    }

    /** Ends the agent's process and starts another; the engine goes on. */
    restartAgent(): void {
        this.closeConnection();
        this.manager.close();
        this.manager = this.startManager();
    }

    /** The entry's process ends: its attempts are forgotten. */
    killEntry(): void {
        this.closeConnection();
        this.exchanges.clear();
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

    /** What an agent's proposals go through: a delay each way, and nothing while control is away or the agent is dead. */
    private async propose(command: Command, until: number, incarnation: string): Promise<CommandResult> {
        while (performance.now() < until) {
            await new Promise(resolve => setTimeout(resolve, LEDGER_MS));
            if (incarnation !== String(this.incarnation)) {
                return new Promise(() => undefined);
            }
            if (this.isControlReachable) {
                const result = this.apply(command);
                this.onCommand?.(command);
                await new Promise(resolve => setTimeout(resolve, LEDGER_MS));
                return incarnation === String(this.incarnation) ? result : new Promise(() => undefined);
            }
        }
        throw new Error("control could not be reached");
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
        const carry = (frame: Frame, isToAgent: boolean, deliver: (frame: Frame) => void) => {
            this.onFrame?.(frame);
            for (const delayMs of connection.isOpen ? this.rule(frame, isToAgent) : []) {
                setTimeout(() => connection.isOpen ? deliver(structuredClone(frame)) : undefined, delayMs);
            }
        };
        connection.entryEnd = createEnd(frame =>
            carry(frame, true, copy => manager.handle(copy as EntryToAgent, connection.agentEnd))
        );
        connection.agentEnd = createEnd(frame =>
            carry(frame, false, copy => {
                const message = copy as AgentToEntry;
                this.exchanges.get(message.requestId)?.handleMessage(message, connection.entryEnd);
            })
        );
        return connection;
    }
}

/** The one method of a link that exchanges and run managers use. */
function createEnd(cast: (frame: Frame) => void): Link {
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
