import { type ConsensusMessage, ConsensusRuntime } from "@kumquathall/consensus";
import { ControlStateMachine } from "@kumquathall/control";
import { LinkDialer, LinkListener, type PeerIdentity } from "@kumquathall/link";
import { allocatePorts, waitUntil } from "@kumquathall/local-cluster";
import { createLogger } from "@kumquathall/logger";
import { type DiskFile, LogStore, NodeDisk } from "@kumquathall/storage";
import type { Command, CommandResult } from "@kumquathall/types";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { registerBench } from "./registry.js";
import { computePercentile } from "./statistics.js";

const MIN_BEGINS_PER_SECOND = 2000;
const MAX_SYNCS = 5;
const RUN_MS = 4000;
const CONCURRENCY = 256;
const SYNC_SAMPLES = 200;
const MEMBERS = ["a", "b", "c"];
const AT = "2026-01-01T00:00:00.000Z";

type Runtime = ConsensusRuntime<Command, CommandResult>;

registerBench({
    name: "ledger",
    target:
        `${MIN_BEGINS_PER_SECOND} durable begins a second; p99 at a third of that rate at most ${MAX_SYNCS} times one sync of this disk`,
    run: async print => {
        const folder = mkdtempSync(join(tmpdir(), "kumquathall-ledger-"));
        try {
            const syncMs = await measureSync(new NodeDisk(join(folder, "sync")));
            print(`one sync of this disk: median ${syncMs.toFixed(3)} ms`);
            const group = await startGroup(folder, print);
            const rate = await measureRate(group.leader, CONCURRENCY);
            print(`group commit: ${rate.toFixed(0)} durable begins a second, ${CONCURRENCY} in flight`);
            const latencies = await measureLatencies(group.leader, MIN_BEGINS_PER_SECOND / 3);
            const p99 = computePercentile(latencies, 0.99);
            print(
                `at ${(MIN_BEGINS_PER_SECOND / 3).toFixed(0)} a second: p50 ${
                    computePercentile(latencies, 0.5).toFixed(2)
                } ms, p99 ${p99.toFixed(2)} ms`,
            );
            const baseline = await measureRate(group.leader, 1);
            print(`baseline without group commit (one begin in flight): ${baseline.toFixed(0)} a second`);
            await group.close();
            const met = rate >= MIN_BEGINS_PER_SECOND && p99 <= MAX_SYNCS * syncMs;
            return {
                met,
                beginsPerSecond: rate,
                baselinePerSecond: baseline,
                p99Ms: p99,
                syncMs,
                p99Syncs: p99 / syncMs,
            };
        }
        finally {
            rmSync(folder, { recursive: true, force: true });
        }
    },
});

/** Measures the median time of an append with a sync, in milliseconds. */
async function measureSync(disk: NodeDisk): Promise<number> {
    const file: DiskFile = await disk.openForAppend("probe");
    const latencies: number[] = [];
    for (let at = 0; at < SYNC_SAMPLES; at++) {
        const startedAt = performance.now();
        await file.append(Buffer.alloc(256));
        await file.sync();
        latencies.push(performance.now() - startedAt);
    }
    await file.close();
    return computePercentile(latencies, 0.5);
}

async function startGroup(
    folder: string,
    print: (line: string) => void,
): Promise<{ leader: Runtime; close: () => Promise<void> }> {
    const ports = await allocatePorts(MEMBERS.length);
    const members = await Promise.all(MEMBERS.map((id, at) => startMember(id, ports, at, join(folder, id))));
    await waitUntil("a member leads", 10_000, () => members.some(member => member.runtime.canServe()));
    const leader = members.find(member => member.runtime.canServe()) ?? members[0];
    print(`three members on loopback with real files; ${leader.id} leads`);
    return {
        leader: leader.runtime,
        close: async () => {
            for (const member of members) {
                await member.close();
            }
        },
    };
}

async function startMember(
    id: string,
    ports: number[],
    at: number,
    folder: string,
): Promise<{ id: string; runtime: Runtime; close: () => Promise<void> }> {
    const { store, recovered } = await LogStore.open<Command>({ disk: new NodeDisk(folder) });
    const identity: PeerIdentity = { cluster: "bench", controlGroup: "bench", role: "control", id, incarnation: "1" };
    const dialers = new Map<string, LinkDialer>();
    const runtime: Runtime = new ConsensusRuntime<Command, CommandResult>({
        id,
        members: MEMBERS,
        store,
        recovered,
        stateMachine: new ControlStateMachine(),
        transport: { send: (to, message) => dialers.get(to)?.cast({ from: id, message }) },
        logger: createLogger({ level: "error" }),
        onFatal: error => {
            throw error;
        },
    });
    const listener = await LinkListener.listen({
        address: { host: "127.0.0.1", port: ports[at] },
        identity,
        handlers: {
            onCast: message => {
                const cast = message as { from: string; message: ConsensusMessage<Command> };
                runtime.receive(cast.from, cast.message);
            },
        },
    });
    for (const [other, name] of MEMBERS.entries()) {
        if (name !== id) {
            dialers.set(
                name,
                new LinkDialer({ address: { host: "127.0.0.1", port: ports[other] }, identity, handlers: {} }),
            );
        }
    }
    const close = async () => {
        dialers.forEach(dialer => dialer.close());
        listener.close();
        await runtime.close();
    };
    return { id, runtime, close };
}

let nextKey = 0;

function sendBegin(runtime: Runtime): Promise<CommandResult> {
    const key = `i/s/a/${nextKey++}`;
    return runtime.propose({
        kind: "ledgerBegin",
        key,
        digest: "d".repeat(64),
        vm: "vm-1",
        incarnation: "1",
        attempt: "1",
        at: AT,
    });
}

/** Measures how many begins commit in a second with a number of them in flight. */
async function measureRate(runtime: Runtime, concurrency: number): Promise<number> {
    const until = performance.now() + RUN_MS;
    let done = 0;
    const sendBegins = async () => {
        while (performance.now() < until) {
            await sendBegin(runtime);
            done++;
        }
    };
    await Promise.all(Array.from({ length: concurrency }, sendBegins));
    return done / RUN_MS * 1000;
}

/** Sends begins at a constant rate and measures their latencies in milliseconds. */
async function measureLatencies(runtime: Runtime, ratePerSecond: number): Promise<number[]> {
    const latencies: number[] = [];
    const running: Promise<void>[] = [];
    const startedAt = performance.now();
    const count = Math.floor(ratePerSecond * RUN_MS / 1000);
    for (let at = 0; at < count;) {
        while (at < count && performance.now() - startedAt >= at * 1000 / ratePerSecond) {
            const sentAt = performance.now();
            running.push(
                sendBegin(runtime).then(() => {
                    latencies.push(performance.now() - sentAt);
                }),
            );
            at++;
        }
        await new Promise(resolve => setTimeout(resolve, 1));
    }
    await Promise.all(running);
    return latencies;
}
