// A small deployment on loopback for the cases of this review: the project's programs as separate processes, started with
// the commands of the deploy file, and small stand-ins for servers, clients and the operator that follow PROTOCOL.md.
import { spawn } from "node:child_process";
import { closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../../", import.meta.url));
export const HOST_NAME = "ficu95.example";
export const KEY = "n2ctnfzs989anu6wsjnb";
const ROLE_OF = { front: "gateway", side: "sidecar", control: "control" };

/** Values of a small deployment, as SYSTEM.md and DEPLOY.md give them. */
export const BOUNDS = {
    SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 8, LossSlackMs: 200,
    ConfigMs: 2000, BackMs: 250, OuterMs: 5000, StrictRevoke: false, RevokeMs: 5000, BudgetRatio: 0.2, BudgetWindowS: 10,
    BudgetSlack: 202, RecoverS: 12, PassMs: 120, RetryAfterS: 0, StallMs: 6000, RequireFence: false, CeilingWindowS: 5,
    CeilingFactor: 1.1,
};

/** Reads the command that the deploy file gives for a role. */
function readCommand(role) {
    const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const section = text.split(`[roles.${role}]`)[1].split("\n[")[0];
    return /run = "([^"]+)"/.exec(section)[1].split(" ");
}

/** Finds a block of loopback addresses at which the metrics port is free. */
async function findAddressBlock() {
    for (;;) {
        const block = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
        const isFree = await new Promise(resolve => {
            const probe = net.createServer();
            probe.once("error", () => resolve(false));
            probe.listen(9464, `${block}.1`, () => probe.close(() => resolve(true)));
        });
        if (isFree) {
            return block;
        }
    }
}

/** One daemon process. */
export class Daemon {
    constructor(deployment, serves, at, settings) {
        this.deployment = deployment;
        this.name = `${serves}-${at}`;
        this.settings = settings;
        this.file = join(deployment.folder, `${this.name}.json`);
        this.log = join(deployment.folder, `${this.name}.log`);
        this.command = readCommand(ROLE_OF[serves]);
        this.isFirst = true;
    }

    start() {
        const Bootstrap = this.isFirst && this.settings.Bootstrap !== false;
        writeFileSync(this.file, JSON.stringify({ ...this.settings, Bootstrap }));
        this.isFirst = false;
        const out = openSync(this.log, "a");
        const [program, ...words] = this.command;
        const { PATH, HOME } = process.env;
        this.child = spawn(program, words, {
            cwd: ROOT,
            env: { PATH, HOME, KUMQUATHALL_NODE_FILE: this.file },
            stdio: ["ignore", out, out],
        });
        closeSync(out);
        this.isDown = false;
        this.ended = new Promise(resolve => this.child.once("exit", (code, signal) => {
            this.isDown = true;
            resolve({ code, signal });
        }));
    }

    get pid() {
        return this.child.pid;
    }

    signal(name) {
        if (!this.isDown) {
            process.kill(this.pid, name);
        }
    }

    async kill() {
        if (this.child !== undefined && !this.isDown) {
            this.child.kill("SIGKILL");
            await this.ended;
        }
    }
}

export class Deployment {
    constructor(options) {
        this.options = options;
        this.daemons = [];
        this.servers = [];
        this.lines = [];
        this.startedAt = performance.now();
        this.folder = mkdtempSync(join(tmpdir(), "review-3-"));
    }

    /** Starts control processes and gateways. */
    static async start({ controls = 5, gateways = 2, zones = ["quito-a"], frontMemoryMb = 350, bounds = {} } = {}) {
        const deployment = new Deployment({ controls, gateways, zones, frontMemoryMb, bounds });
        deployment.block = await findAddressBlock();
        const { block } = deployment;
        const control = at => `${block}.${10 + at}`;
        deployment.controlUrls = Array.from({ length: controls }, (_, at) => `http://${control(at)}:8229`);
        deployment.seeds = Array.from({ length: Math.min(3, controls) }, (_, at) => `${control(at)}:8229`);
        deployment.controls = Array.from({ length: controls }, (_, at) => {
            const DataDir = join(deployment.folder, `data-${at}`);
            mkdirSync(DataDir);
            return deployment.addDaemon("control", at, {
                Ip: control(at), Class: "core", CountsAsLoss: true, DataDir,
                Listen: { Control: `${control(at)}:8229` },
                Limits: { CpuShare: 0.81, CpuCores: 1, MemoryMb: 346, MaxFds: 4096, LinkMbps: 170, DiskMb: 128 },
            });
        });
        deployment.gateways = Array.from({ length: gateways }, (_, at) => {
            const ip = `${block}.${50 + at}`;
            const daemon = deployment.addDaemon("front", at, {
                Ip: ip, Class: "front", DataDir: null, Zone: zones[at % zones.length],
                Listen: { Front: `${ip}:8227`, Ready: `${ip}:8220` },
                Limits: {
                    CpuShare: 0.513, CpuCores: 1, MemoryMb: frontMemoryMb, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0,
                },
            });
            return Object.assign(daemon, { host: ip, port: 8227, readyPort: 8220 });
        });
        deployment.daemons.forEach(daemon => daemon.start());
        return deployment;
    }

    addDaemon(serves, at, settings) {
        const { zones, bounds } = this.options;
        const daemon = new Daemon(this, serves, at, {
            Node: `${serves}-${zones[0]}-${at + 1}`, Role: ROLE_OF[serves], Serves: [serves],
            Zone: zones[0], Region: "sierra-norte",
            Zones: Object.fromEntries(zones.map(zone => [zone, "sierra-norte"])),
            InnerPorts: [7340, 7355], Seeds: this.seeds, Bootstrap: true, CountsAsLoss: false,
            Discovery: "registration", Entry: "vip", HeartbeatMs: 1200,
            Contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "gangs"],
            Tolerate: { Machines: 2, Zones: 0, Regions: 0 },
            Bounds: { ...BOUNDS, ...bounds }, ConfigMode: "highest",
            ...settings,
        });
        this.daemons.push(daemon);
        return daemon;
    }

    record(text) {
        const line = `${((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8)}  ${text}`;
        this.lines.push(line);
    }

    /** Calls the operator's API at one daemon after the other until one confirms. */
    async publish(document, { from = 0, withinMs = 30_000 } = {}) {
        const body = JSON.stringify(document);
        const endsAt = performance.now() + withinMs;
        for (let at = from; performance.now() < endsAt; at++) {
            const url = this.controlUrls[at % this.controlUrls.length];
            const answer = await fetch(`${url}/-/config`, {
                method: "PUT", body, headers: { "content-type": "application/json" }, signal: AbortSignal.timeout(1000),
            }).then(async response => ({ status: response.status, text: await response.text() }), () => undefined);
            if (answer?.status === 200) {
                this.record(`operator: version ${document.Version} confirmed by ${url}`);
                return true;
            }
            if (answer !== undefined && answer.status < 500) {
                this.record(`operator: version ${document.Version} refused with ${answer.status} by ${url}: ${answer.text}`);
                return false;
            }
            await sleep(100);
        }
        this.record(`operator: version ${document.Version} not confirmed`);
        return false;
    }

    /** Waits until a gateway answers its readiness check with 200. */
    async waitReady(withinMs = 30_000) {
        const endsAt = performance.now() + withinMs;
        for (const gateway of this.gateways) {
            for (;;) {
                const isReady = await fetch(`http://${gateway.host}:${gateway.readyPort}/-/ready`, {
                    signal: AbortSignal.timeout(1000),
                }).then(async response => (await response.text(), response.status === 200), () => false);
                if (isReady) {
                    break;
                }
                if (performance.now() > endsAt) {
                    throw new Error(`${gateway.name} is not ready`);
                }
                await sleep(100);
            }
        }
    }

    /** Ends all processes. */
    async close() {
        this.servers.forEach(server => server.close());
        await Promise.all(this.daemons.map(daemon => daemon.kill()));
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** Sends heartbeats for a server to one control process, and to the next one after a call without a confirmation. */
export class Heartbeats {
    constructor(deployment, id, describe) {
        this.deployment = deployment;
        this.id = id;
        this.describe = describe;
        this.seq = 0;
        this.at = Math.floor(Math.random() * deployment.controlUrls.length);
        this.isCut = false;
        this.timer = setInterval(() => void this.send(), 1200);
        void this.send();
    }

    async send() {
        if (this.isCut) {
            return;
        }
        const { controlUrls } = this.deployment;
        for (let tries = 0; tries < controlUrls.length; tries++) {
            const url = controlUrls[this.at % controlUrls.length];
            const isConfirmed = await fetch(`${url}/-/instances/${this.id}`, {
                method: "PUT",
                headers: { "content-type": "application/json" },
                body: JSON.stringify({ ...this.describe(), Seq: ++this.seq }),
                signal: AbortSignal.timeout(1000),
            }).then(async response => (await response.text(), response.ok), () => false);
            if (isConfirmed) {
                return;
            }
            this.at++;
        }
    }

    close() {
        clearInterval(this.timer);
    }
}

let bootCount = 0;

/** A server of a service without an engine: runs `slots` requests at once and queues a few more. */
export class PlainServer {
    constructor(deployment, { service, at, zone = "quito-a", slots = 6, workMs = 20, run }) {
        Object.assign(this, { deployment, service, zone, slots, workMs });
        this.host = `${deployment.block}.${200 + at}`;
        this.port = 8120;
        this.id = `i-${service}-${at}-${++bootCount}`;
        this.born = Date.now();
        this.state = "ready";
        this.runs = [];
        this.customRun = run;
        this.server = http.createServer((request, response) => {
            // A request whose channel closes while its body is read ends only itself.
            this.handle(request, response).catch(() => response.destroy());
        });
        this.server.keepAliveTimeout = 20_000;
        deployment.servers.push(this);
    }

    get address() {
        return `${this.host}:${this.port}`;
    }

    async listen() {
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.port, this.host, resolve);
        });
        this.heartbeats = new Heartbeats(this.deployment, this.id, () => ({
            Service: this.service, Address: this.address, Zone: this.zone, Version: "v1", Slots: this.slots,
            State: this.state, ColdLeftMs: 0, born: this.born,
        }));
        return this;
    }

    async handle(request, response) {
        const id = request.headers["request-id"];
        if (request.headers["expect-instance"] !== undefined && request.headers["expect-instance"] !== this.id) {
            request.resume();
            response.writeHead(421, { "request-id": id ?? "", "not-run": "1" }).end();
            return;
        }
        const run = { id, path: request.url, at: performance.now(), server: this.id, headers: request.headers };
        this.runs.push(run);
        if (this.customRun !== undefined) {
            await this.customRun(request, response, run, this);
            return;
        }
        for await (const _chunk of request);
        await sleep(this.workMs);
        if (!response.destroyed) {
            const body = `answer to ${id}`;
            response.writeHead(200, {
                "request-id": id ?? "", "server-stamp": `stamp-${this.id}-${id}`, "content-length": Buffer.byteLength(body),
                "content-type": "text/plain",
            }).end(body);
        }
    }

    close() {
        this.heartbeats?.close();
        this.server.close();
        this.server.closeAllConnections();
    }
}

export function buildRoute(name, prefix, kind, service, fields = {}) {
    return {
        Name: name, Host: HOST_NAME, PathPrefix: prefix, Kind: kind, TimeoutMs: 3000, GoalMs: 386, Priority: 1,
        Service: service, Attempts: 2, Public: false, Sticky: false, Resumable: false, ...fields,
    };
}

export function buildManifest(version, routes, services, fields = {}) {
    return {
        Version: version, Routes: routes, Services: services,
        Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
        Tenants: [{ Name: "hule930", ApiKeys: [KEY], Priority: 1 }],
        ...fields,
    };
}

/** Sends one request on a connection of its own; resolves with the status, the body, or why there is none. */
export function send(gateway, { method = "POST", path, id, deadlineMs = 3000, headers = {}, body = "body", signal }) {
    return new Promise(resolve => {
        const request = http.request({
            host: gateway.host, port: gateway.port, method, path, agent: false,
            headers: {
                host: HOST_NAME, "request-id": id, "deadline-ms": String(deadlineMs), key: KEY,
                "content-length": Buffer.byteLength(body), ...headers,
            },
            signal,
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", error => resolve({ status: response.statusCode, error: error.code ?? error.message }));
            response.on("end", () => resolve({
                status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString("latin1"),
                isComplete: response.complete,
            }));
        });
        request.on("error", error => resolve({ error: error.code ?? error.message }));
        request.end(body);
    });
}

/** Writes the record, and ends with 0 if the rule held, 1 if it was broken, or 2 if the case couldn't run. */
export async function runCase(folder, main) {
    let deployment;
    const end = async (code, reason) => {
        await deployment?.close();
        const lines = reason === undefined ? [] : [`the case could not run: ${reason}`];
        lines.push(`result: ${["the rule held", "the rule was broken", "the case could not run"][code]}`);
        writeFileSync(join(folder, "record.txt"), [...deployment?.lines ?? [], ...lines].join("\n") + "\n");
        console.log(lines.join("\n"));
        process.exit(code);
    };
    process.on("uncaughtException", error => void end(2, error.stack));
    setTimeout(() => void end(2, "it took too long"), 110_000).unref();
    try {
        const isBroken = await main(value => deployment = value);
        await end(isBroken ? 1 : 0);
    }
    catch (error) {
        await end(2, error.stack);
    }
}
