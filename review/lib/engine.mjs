// A stand-in of a model server: it reports its state, carries out orders as PROTOCOL.md says, and runs requests as the head
// of its group.
import { Server } from "./deployment.mjs";

const REJOIN_MS = 200;
const FORMATION_MS = 300;

export class Engine extends Server {
    orders = 0;
    group = null;
    staged = [];
    model = undefined;
    highestEpoch = 0;
    hasEnded = false;

    /**
     * `side` is the process of the project beside the server, which reaches it at its `app` address. `isLate()` tells whether
     * the next order gets no answer and is carried out later; `onJoin(engine, order)` is called before a join is accepted.
     */
    constructor(deployment, side, options) {
        super(deployment, { ...options, host: side.appHost, port: side.appPort });
        Object.assign(this, { isLate: options.isLate, onJoin: options.onJoin, joinMs: options.joinMs });
    }

    describeEngine() {
        return {
            Stage: "mixed", Models: this.model === undefined ? [] : [{ Name: this.model, Version: 1, Adapters: [] }],
            Domain: "d0", Staged: this.staged, group: this.group, born: this.born,
        };
    }

    describe() {
        return { ...super.describe(), ...this.describeEngine() };
    }

    async handle(request, response) {
        if (request.url !== "/-/report" && request.url !== "/-/order") {
            return super.handle(request, response);
        }
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        if (request.url === "/-/order") {
            const order = JSON.parse(Buffer.concat(chunks).toString());
            if (this.isLate()) {
                // 2 to 12 s later, after newer orders.
                setTimeout(() => this.hasEnded || this.carryOut(order, "late"), 2000 + Math.random() * 10_000);
                return;
            }
            response.writeHead(this.carryOut(order, "at once"), { "content-length": 0 }).end();
            return;
        }
        const report = {
            ...this.describeEngine(), Busy: false, Seq: this.orders, Waiting: 0, Running: this.running, KvUsed: 0,
            KvTotal: 1749583, Handles: 0, pace: 1,
        };
        const text = JSON.stringify(report);
        response.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(text) }).end(text);
    }

    carryOut(order, when) {
        const status = this.apply(order);
        this.deployment.record.add(
            `order ${order.Operation} ${order.group ?? order.Model} ${order.epoch ?? ""} expected ${order.Expected} `
                + `at ${this.id} ${when}: ${status}`,
        );
        return status;
    }

    isIn(order) {
        return this.group?.Name === order.group && this.group.epoch === order.epoch;
    }

    apply(order) {
        if (order.Expected !== undefined && order.Expected !== this.orders) {
            return 409;
        }
        switch (order.Operation) {
            case "join": {
                if (order.epoch < this.highestEpoch) {
                    return 412;
                }
                this.onJoin(this, order);
                this.highestEpoch = order.epoch;
                const joined = { Name: order.group, epoch: order.epoch, rank: order.Members.indexOf(this.id), State: "joining" };
                this.group = joined;
                setTimeout(() => {
                    joined.State = "ready";
                    this.model = order.Model;
                    this.staged = [order.Model];
                }, this.model === order.Model ? REJOIN_MS : this.joinMs);
                break;
            }
            case "open": {
                if (!this.isIn(order) || this.group.State !== "ready") {
                    return 409;
                }
                const group = this.group;
                setTimeout(() => {
                    group.State = "open";
                }, FORMATION_MS);
                break;
            }
            case "leave":
                if (!this.isIn(order)) {
                    return 409;
                }
                this.group = null;
                break;
            case "Stage":
                this.staged = [order.Model];
                break;
            default:
                return 400;
        }
        this.orders++;
        return 202;
    }

    /** Ends the process without an announcement. */
    crash() {
        this.hasEnded = true;
        this.group = null;
        this.close();
        this.deployment.servers.splice(this.deployment.servers.indexOf(this), 1);
    }
}

/** The profile of the site's engines, with small models that load fast. */
export function buildEngineProfile(models) {
    return {
        Slots: 34, KvCapacity: 1749583, KvTokenBytes: 49603, LinkMbps: 400000, Stride: 5, Models: models, step_ms: 6.45,
        per_seq_ms: 0.1365, context_per_k: 0.0041, read_per_s: 56100, pairs_per_m: 0.309, chunk: 2048, report_lag_ms: 200,
        LoadsPerS: 3, loads_at_once: 6, delays: [], usual: { prompt: 1042, answer: 131 }, RetentionCount: 1, far_x: 4,
        FormationMs: FORMATION_MS,
    };
}
