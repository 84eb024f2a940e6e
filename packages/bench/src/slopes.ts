import { decidePresence } from "@kumquathall/control";
import { applyCommand, encodeState, getVm } from "@kumquathall/control-state";
import { AgentUpdateBuilder } from "@kumquathall/entry";
import {
    createHeadLeases,
    decideGrant,
    DEFAULT_GROUP_LEASE_TIMING,
    hasAllLeases,
    recordGrant,
} from "@kumquathall/group-lease";
import { encodeFrame, FrameDecoder } from "@kumquathall/link";
import { planGroups } from "@kumquathall/planner";
import { type Candidate, computePrefixHashes, createRoutingPolicy } from "@kumquathall/routing";
import type { Command, PresenceItem } from "@kumquathall/types";
import { computeUpdate } from "@kumquathall/versioned-map";
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { buildFakeState, type FakeControl } from "./fakeState.js";
import { type IdleUsage, measureIdleUsage } from "./idleUsage.js";
import { measureMessageSizes, type MessageSize } from "./messageSizes.js";
import { registerBench } from "./registry.js";
import { computeFit, computeMedian, type LinearFit } from "./statistics.js";

/** One measured slope: how a cost grows with a size. */
export interface MeasuredSlope {
    name: string;
    /** Unit of size, for example `VM`. */
    per: string;
    unit: string;
    points: { x: number; y: number }[];
    fit: LinearFit;
}

/** Content of docs/capacity.json. */
export interface CapacityFigures {
    command: string;
    node: string;
    slopes: MeasuredSlope[];
    sizes: MessageSize[];
    idle: IdleUsage[];
}

export const CAPACITY_FILE = fileURLToPath(new URL("../../../docs/capacity.json", import.meta.url));

const AT = "2026-01-01T00:00:00.000Z";
const VM_SIZES = [1500, 4000, 12_000];
const GROUP_SIZES = [8, 16, 32];
const ENDPOINT_SIZES = [30, 120, 375];
/** Largest accepted distance of a point from the fitted line, relative to the largest value. */
const MAX_RESIDUAL = 0.3;

registerBench({
    name: "slopes",
    target: "every slope that docs/CAPACITY.md uses, at three sizes, with a residual of at most 30%",
    run: async print => {
        const slopes = [
            ...measureControl(print),
            ...measureHeads(print),
            ...measureRouting(print),
            ...measureFrames(print),
        ];
        const sizes = measureMessageSizes();
        sizes.forEach(size => print(`${size.name}: ${size.bytes} bytes`));
        const idle = await measureIdleUsage(print);
        const figures: CapacityFigures = {
            command: "npm run bench -- slopes",
            node: process.version,
            slopes,
            sizes,
            idle,
        };
        writeFileSync(CAPACITY_FILE, `${JSON.stringify(figures, undefined, 4)}\n`);
        const residualsAbove = slopes.filter(slope => slope.fit.residual > MAX_RESIDUAL).map(slope => slope.name);
        return { met: residualsAbove.length === 0, slopes: slopes.length, residualsAbove };
    },
});

function measureControl(print: (line: string) => void): MeasuredSlope[] {
    const rows = VM_SIZES.map(vms => measureControlAt(vms));
    const build = (name: string, unit: string, read: (row: ControlRow) => number) =>
        printSlope(print, { name, per: "VM", unit, points: rows.map(row => ({ x: row.vms, y: read(row) })) });
    return [
        build("control state in memory", "bytes", row => row.heapBytes),
        build("control snapshot", "bytes", row => row.snapshotBytes),
        build("one plan of all groups", "microseconds", row => row.planUs),
        build("one decision on presence", "microseconds", row => row.presenceUs),
        build("delta of one change for an entry, computed", "microseconds", row => row.deltaUs),
        build("commands applied for a registration", "microseconds", row => row.registerUs),
        build("update for one agent, computed at an entry", "microseconds", row => row.agentUpdateUs),
    ];
}

interface ControlRow {
    vms: number;
    heapBytes: number;
    snapshotBytes: number;
    planUs: number;
    presenceUs: number;
    deltaUs: number;
    registerUs: number;
    agentUpdateUs: number;
}

function measureControlAt(vms: number): ControlRow {
    const before = readHeapBytes();
    const control = buildFakeState({ vms, vmsPerGroup: 32, vmsPerDomain: 64, services: 20, usedShare: 0.9 });
    const heapBytes = readHeapBytes() - before;
    const { configuration } = control.state;
    const revision = configuration.revision;
    const items = new Map<string, PresenceItem>();
    for (let at = 0; at < vms; at++) {
        const record = getVm(configuration, `vm-${at}`);
        if (record !== undefined) {
            items.set(record.id, { vm: record.id, incarnation: record.incarnation, attributes: record.attributes });
        }
    }
    const lastListed = new Map([...items.keys()].map(vm => [vm, 0]));
    const updates = new AgentUpdateBuilder(() => configuration);
    return {
        vms,
        heapBytes,
        snapshotBytes: encodeState(control.state).length,
        planUs: measureUs(5, () => planGroups({ configuration, at: AT, createGroupId: () => "g" })),
        presenceUs: measureUs(5, () =>
            decidePresence({
                reports: [{ entry: "e", receivedAt: 0, items }],
                configuration,
                lastListed,
                leaderSince: 0,
                now: 0,
                at: AT,
                options: { entryTimeoutMs: 1000, lostAfterMs: 1000 },
            })),
        deltaUs: measureUs(20, () => computeUpdate(configuration, revision - 1)),
        registerUs: measureUs(200, () => applyRegistration(control)),
        agentUpdateUs: measureUs(500, () => updates.build("vm-40", revision - 1)),
    };
}

function applyRegistration(control: FakeControl): void {
    const record = getVm(control.state.configuration, "vm-0");
    if (record !== undefined) {
        const command: Command = {
            kind: "registerVm",
            vm: "vm-0",
            incarnation: record.incarnation,
            attributes: { ...record.attributes, accelerators: 3 },
            at: AT,
        };
        applyCommand(control.state, command, { index: control.index + 1, term: 1 });
    }
}

function measureHeads(print: (line: string) => void): MeasuredSlope[] {
    const timing = DEFAULT_GROUP_LEASE_TIMING;
    const fencing = { term: 1, index: 1 };
    const points = GROUP_SIZES.map(size => {
        const members = Array.from({ length: size }, (_, at) => `vm-${at}`);
        const y = measureUs(2000, () => {
            let leases = createHeadLeases("g", fencing, members);
            for (const member of members) {
                const frame = encodeFrame({ t: "call", id: 1, m: { kind: "lease", groupId: "g-12345678", fencing } });
                new FrameDecoder().decode(frame);
                decideGrant({
                    grants: { grantedUntil: 0 },
                    vm: undefined,
                    incarnation: "",
                    isEngineLoaded: true,
                    groupId: "g",
                    fencing,
                    now: 0,
                    timing,
                });
                leases = recordGrant(leases, member, 0, timing);
            }
            hasAllLeases(leases, 1);
        });
        return { x: size, y };
    });
    return [printSlope(print, { name: "one round of leases at a head", per: "member", unit: "microseconds", points })];
}

function measureRouting(print: (line: string) => void): MeasuredSlope[] {
    const policy = createRoutingPolicy("prefix-affinity", { random: () => 0.5 });
    const prefixHashes = computePrefixHashes("x".repeat(4096));
    const cached = new Set(prefixHashes.slice(0, 6));
    const points = ENDPOINT_SIZES.map(size => {
        const candidates = Array.from({ length: size }, (_, at): Candidate => ({
            id: `g${at}`,
            reportedLoad: at % 17,
            reportAgeMs: 200,
            sentSinceReport: at % 3,
            inFlight: at % 5,
            countCachedBlocks: hashes => at % 7 === 0 ? hashes.findIndex(hash => !cached.has(hash)) : 0,
            weight: 1,
            isSameDataCentre: at % 3 === 0,
        }));
        return { x: size, y: measureUs(3000, () => policy.chooseCandidate({ prefixHashes }, candidates)) };
    });
    return [printSlope(print, { name: "one routing decision", per: "endpoint", unit: "microseconds", points })];
}

function measureFrames(print: (line: string) => void): MeasuredSlope[] {
    const sizes = [256, 2048, 16_384];
    const points = sizes.map(size => {
        const message = {
            t: "cast",
            m: { kind: "runChunk", requestId: "12345678-1234.1", sequence: 5, data: Buffer.alloc(size) },
        };
        return { x: size, y: measureUs(3000, () => new FrameDecoder().decode(encodeFrame(message))) };
    });
    return [printSlope(print, { name: "one frame encoded and decoded", per: "byte", unit: "microseconds", points })];
}

/** Fits a line to measured points and prints it. */
function printSlope(print: (line: string) => void, measured: Omit<MeasuredSlope, "fit">): MeasuredSlope {
    const fit = computeFit(measured.points);
    const points = measured.points.map(point => `${point.x}: ${point.y.toFixed(2)}`).join(", ");
    print(
        `${measured.name}: ${fit.intercept.toFixed(3)} + ${
            fit.slope.toPrecision(3)
        } ${measured.unit} per ${measured.per} (${points}; residual ${(fit.residual * 100).toFixed(0)}%)`,
    );
    return { ...measured, fit };
}

/** Median time of a call in microseconds, over seven rounds. */
function measureUs(calls: number, call: () => void): number {
    const rounds: number[] = [];
    for (let round = 0; round < 7; round++) {
        const startedAt = performance.now();
        for (let at = 0; at < calls; at++) {
            call();
        }
        rounds.push((performance.now() - startedAt) * 1000 / calls);
    }
    return computeMedian(rounds);
}

function readHeapBytes(): number {
    global.gc?.();
    return process.memoryUsage().heapUsed;
}
