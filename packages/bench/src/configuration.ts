import { ControlStateMachine, Distributor, TrafficPublisher } from "@kumquathall/control";
import { RouteTable } from "@kumquathall/gateway";
import { encodeFrame, FrameDecoder } from "@kumquathall/link";
import { createLogger } from "@kumquathall/logger";
import { buildSimulatedTraffic, DeliverySimulation, runInVirtualTime } from "@kumquathall/matrix";
import type { Command, ConfigurationUpdate, ControlAnswer, TrafficConfiguration } from "@kumquathall/types";
import { registerBench } from "./registry.js";
import { computeMedian } from "./statistics.js";

/** Time in which a confirmed version must be in force at every gateway, in milliseconds. */
const MAX_DELAY_MS = 2000;
const GATEWAY_BYTES_PER_MS = 5000;
const MEMBERS = 5;
const ROUTES = [100, 2000, 20_000];
const GATEWAYS = [12, 98, 510];
const CHANGES_PER_SECOND = [1, 5];
const STORM_MS = 4000;
/** Most routes in all gateways' tables together: the process that simulates them needs over a GB for each million. */
const MAX_ROUTES_IN_TABLES = 1_100_000;
/** Routes added in one version while a large configuration is built up. */
const ROUTES_PER_VERSION = 5000;
const SAMPLES = 15;
const MS_PER_SECOND = 1000;

interface StepCosts {
    differenceMs: number;
    commandBytes: number;
    applyMs: number;
    updateMs: number;
    updateBytes: number;
    encodeMs: number;
    decodeMs: number;
    tableMs: number;
}

registerBench({
    name: "configuration",
    target: `a revoked key in force at every gateway within ${MAX_DELAY_MS} ms, whatever the number of routes`,
    run: async print => {
        const costs = [];
        for (const routes of ROUTES) {
            costs.push({ routes, ...await measureSteps(routes) });
            print(JSON.stringify(costs.at(-1)));
        }
        const deliveries = [];
        for (const routes of ROUTES) {
            for (const gateways of GATEWAYS.filter(count => count * routes <= MAX_ROUTES_IN_TABLES)) {
                for (const rate of CHANGES_PER_SECOND) {
                    deliveries.push({ routes, gateways, rate, ...await measureDelivery(routes, gateways, rate) });
                    print(JSON.stringify(deliveries.at(-1)));
                }
            }
        }
        return { met: deliveries.every(item => item.lastMs <= MAX_DELAY_MS), costs, deliveries };
    },
});

/** Measures the processor time of each step of a version that revokes one key, on this machine. */
async function measureSteps(routes: number): Promise<StepCosts> {
    const stateMachine = new ControlStateMachine();
    const distributor = new Distributor(
        () => stateMachine.getState().configuration,
        createLogger({ level: "error", write: () => undefined }),
    );
    const table = new RouteTable();
    let traffic = buildSimulatedTraffic(routes);
    stateMachine.apply(buildWholeCommand(traffic), 1, 1);
    table.apply(readUpdate(distributor.read({ since: 0, keyPrefix: "traffic" })));
    const samples: StepCosts[] = [];
    for (let version = 2; version < 2 + SAMPLES; version++) {
        const accounts = traffic.accounts.map((account, at) => at === version ? { ...account, keys: [] } : account);
        traffic = { ...traffic, version, accounts };
        const document = JSON.stringify(traffic);
        const proposed: Command[] = [];
        const publisher = new TrafficPublisher({
            stateMachine,
            callLeader: call => {
                proposed.push(...call.kind === "propose" ? [call.command] : []);
                return Promise.resolve({ kind: "result", result: { kind: "accepted", revision: version } });
            },
        });
        const difference = await measureMs(() => publisher.publish(traffic, document));
        const applied = await measureMs(() => stateMachine.apply(proposed[0], version, 1));
        const update = await measureMs(() =>
            readUpdate(distributor.read({ since: version - 1, keyPrefix: "traffic" }))
        );
        const encoded = await measureMs(() => encodeFrame({ t: "answer", id: 1, m: update.value }));
        const decoded = await measureMs(() => new FrameDecoder().decode(encoded.value));
        const built = await measureMs(() => table.apply(update.value));
        samples.push({
            differenceMs: difference.ms,
            commandBytes: encodeFrame(proposed[0]).length,
            applyMs: applied.ms,
            updateMs: update.ms,
            updateBytes: encoded.value.length,
            encodeMs: encoded.ms,
            decodeMs: decoded.ms,
            tableMs: built.ms,
        });
    }
    const median = (pick: (sample: StepCosts) => number) => Number(computeMedian(samples.map(pick)).toFixed(3));
    return {
        differenceMs: median(sample => sample.differenceMs),
        commandBytes: median(sample => sample.commandBytes),
        applyMs: median(sample => sample.applyMs),
        updateMs: median(sample => sample.updateMs),
        updateBytes: median(sample => sample.updateBytes),
        encodeMs: median(sample => sample.encodeMs),
        decodeMs: median(sample => sample.decodeMs),
        tableMs: median(sample => sample.tableMs),
    };
}

/** Measures in virtual time how long versions take to the last gateway; processor time is not part of it. */
function measureDelivery(
    routes: number,
    gateways: number,
    rate: number,
): Promise<{ lastMs: number; bytesPerVersion: number }> {
    return runInVirtualTime(async time => {
        const simulation = await DeliverySimulation.start({
            members: MEMBERS,
            gateways,
            routes: Math.min(routes, ROUTES_PER_VERSION),
            gatewayBytesPerMs: GATEWAY_BYTES_PER_MS,
            advance: time.advance,
        });
        for (let built = ROUTES_PER_VERSION; built < routes; built += ROUTES_PER_VERSION) {
            await simulation.addRoutes(ROUTES_PER_VERSION);
            await simulation.settle();
        }
        simulation.clearDeliveries();
        await simulation.publishRevocations(MS_PER_SECOND / rate, STORM_MS);
        const deliveries = simulation.listDeliveries();
        const lastMs = Math.max(...deliveries.map(delivery => delivery.delayMs));
        const bytes = simulation.countReadBytes() / deliveries.length;
        simulation.close();
        return { lastMs: Math.round(lastMs), bytesPerVersion: Math.round(bytes) };
    });
}

function buildWholeCommand(traffic: TrafficConfiguration): Command {
    return { kind: "publishTraffic", traffic, document: JSON.stringify(traffic), at: new Date().toISOString() };
}

function readUpdate(answer: ControlAnswer): ConfigurationUpdate {
    if (answer.kind !== "update") {
        throw new Error(`a read was answered with ${answer.kind}`);
    }
    return answer.update;
}

async function measureMs<Value>(run: () => Value): Promise<{ ms: number; value: Awaited<Value> }> {
    const startedAt = performance.now();
    const value = await run();
    return { ms: performance.now() - startedAt, value };
}
