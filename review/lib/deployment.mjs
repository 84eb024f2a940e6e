// A small deployment on loopback: the project's daemon as separate processes, started with the commands of the deploy
// file, and stand-ins of servers, clients and the operator. Used by the scripts of the cases.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer as createHttpServer, Agent, request as httpRequest } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const root = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
export const sleep = ms => new Promise(done => setTimeout(done, ms));

/** Bounds of the sheet of nadrozmer-ops. */
export const bounds = {
    SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 8, LossSlackMs: 200,
    ConfigMs: 2000, BackMs: 250, OuterMs: 5000, StrictRevoke: false, RevokeMs: 5000, BudgetRatio: 0.2, BudgetWindowS: 10,
    BudgetSlack: 202, RecoverS: 12, PassMs: 120, RetryAfterS: 0, StallMs: 6000, RequireFence: false, CeilingWindowS: 5,
    CeilingFactor: 1.1,
};
const HEARTBEAT_MS = 1200;

/** Lines of what was sent, answered and run, written to `record.txt`. */
export class Record {
    lines = [];
    startedAt = performance.now();

    add(text) {
        this.lines.push(`${((performance.now() - this.startedAt) / 1000).toFixed(3)} ${text}`);
    }

    write(folder) {
        writeFileSync(join(folder, "record.txt"), this.lines.join("\n") + "\n");
    }
}

/** Reads the command of a role from the deploy file. */
function readCommand(role) {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const section = text.split(`[roles.${role}]`)[1].split("\n[")[0];
    return /^run = "(.*)"$/m.exec(section)[1].split(" ");
}

async function findFreePort(host) {
    const server = createTcpServer().listen(0, host);
    await once(server, "listening");
    const { port } = server.address();
    server.close();
    await once(server, "close");
    return port;
}

/** One process of the project. */
export class Daemon {
    constructor(deployment, name, role, settings) {
        Object.assign(this, { deployment, name, role, settings });
        this.file = join(deployment.folder, `${name}.json`);
        this.log = join(deployment.folder, `${name}.log`);
        this.ends = 0;
    }

    start(isFirstStart) {
        writeFileSync(this.file, JSON.stringify({ ...this.settings, Bootstrap: isFirstStart }));
        const [program, ...args] = readCommand(this.role);
        const descriptor = openSync(this.log, "a");
        this.child = spawn(program, args, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, KUMQUATHALL_NODE_FILE: this.file },
            stdio: ["ignore", descriptor, descriptor],
        });
        closeSync(descriptor);
        this.isWanted = true;
        const child = this.child;
        this.ended = new Promise(done =>
            child.on("exit", (code, signal) => {
                if (this.isWanted && this.child === child) {
                    this.ends++;
                    this.deployment.record.add(`process ${this.name} ended by itself, code ${code}, signal ${signal}`);
                    // The platform restarts a process that ends, after a short delay.
                    this.restart = setTimeout(() => this.start(false), 300);
                }
                done();
            })
        );
    }

    signal(name) {
        this.isWanted = false;
        this.child.kill(name);
        return this.ended;
    }

    async close() {
        this.isWanted = false;
        clearTimeout(this.restart);
        if (this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null) {
            this.child.kill("SIGKILL");
            await this.ended;
        }
    }
}

/** The processes, servers and addresses of one run. */
export class Deployment {
    servers = [];
    daemons = [];
    host = 0;

    constructor(record, { fronts = 2, controls = 3, sides = 0 } = {}) {
        this.record = record;
        Object.assign(this, { frontCount: fronts, controlCount: controls, sideCount: sides });
        this.folder = mkdtempSync(join(tmpdir(), "review-"));
        const random = () => 1 + Math.floor(Math.random() * 250);
        this.prefix = `127.${random()}.${random()}`;
    }

    nextHost() {
        return `${this.prefix}.${++this.host}`;
    }

    async open() {
        const probe = this.nextHost();
        const [control, front, ready, inner] = [
            await findFreePort(probe), await findFreePort(probe), await findFreePort(probe), await findFreePort(probe),
        ];
        const controlHosts = Array.from({ length: this.controlCount }, () => this.nextHost());
        this.controlAddresses = controlHosts.map(host => `${host}:${control}`);
        const base = {
            Zone: "z-a", Region: "z", Zones: { "z-a": "z" }, InnerPorts: [inner, inner + 1],
            Seeds: this.controlAddresses.slice(0, 3), CountsAsLoss: false, DataDir: null, Discovery: "registration",
            Entry: "vip", HeartbeatMs: HEARTBEAT_MS,
            Limits: { CpuShare: 0.513, CpuCores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0 },
            Contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "gangs"],
            Tolerate: { Machines: Math.floor((this.controlCount - 1) / 2), Zones: 0, Regions: 0 }, Bounds: bounds,
            ConfigMode: "highest",
        };
        this.controls = controlHosts.map((host, at) => {
            const DataDir = join(this.folder, `disk-${at}`);
            mkdirSync(DataDir);
            return new Daemon(this, `core-${at}`, "control", {
                ...base, Node: `core-${at}`, Role: "control", Class: "core", Serves: ["control"], Ip: host, DataDir,
                CountsAsLoss: true, Listen: { Control: `${host}:${control}` },
            });
        });
        this.fronts = Array.from({ length: this.frontCount }, (_, at) => {
            const host = this.nextHost();
            const daemon = new Daemon(this, `front-${at}`, "gateway", {
                ...base, Node: `front-${at}`, Role: "gateway", Class: "front", Serves: ["front"], Ip: host,
                Listen: { Front: `${host}:${front}`, Ready: `${host}:${ready}` },
            });
            return Object.assign(daemon, { host, port: front, readyPort: ready });
        });
        this.sides = Array.from({ length: this.sideCount }, (_, at) => {
            const host = this.nextHost();
            const daemon = new Daemon(this, `side-${at}`, "sidecar", {
                ...base, Node: `side-${at}`, Role: "sidecar", Class: "side", Serves: ["side"], Ip: host, Listen: {},
                app: `${host}:${front}`,
            });
            return Object.assign(daemon, { appHost: host, appPort: front });
        });
        this.daemons = [...this.controls, ...this.fronts, ...this.sides];
        this.daemons.forEach(daemon => daemon.start(true));
    }

    /** Sends a manifest until it is acknowledged, as the operator does. */
    async publish(manifest, from = 0) {
        for (let attempt = from;; attempt++) {
            const address = this.controlAddresses[attempt % this.controlAddresses.length];
            const answer = await call(address, "PUT", "/-/config", JSON.stringify(manifest)).catch(() => undefined);
            if (answer?.status === 200) {
                this.record.add(`manifest ${manifest.Version} acknowledged by ${address}`);
                return;
            }
            if (attempt > 100) {
                throw new Error(`manifest ${manifest.Version} is not acknowledged: ${answer?.status} ${answer?.body}`);
            }
            await sleep(200);
        }
    }

    /** Waits until every front daemon reports that it is ready. */
    async waitUntilReady() {
        for (const { host, readyPort } of this.fronts) {
            for (let attempt = 0;; attempt++) {
                const answer = await call(`${host}:${readyPort}`, "GET", "/-/ready").catch(() => undefined);
                if (answer?.status === 200) {
                    break;
                }
                if (attempt > 150) {
                    throw new Error(`${host} is not ready`);
                }
                await sleep(100);
            }
        }
    }

    async close() {
        this.servers.forEach(server => server.close());
        await Promise.all(this.daemons.map(daemon => daemon.close()));
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** Sends one call on a channel of its own; rejects after a second without a response. */
export async function call(address, method, path, body) {
    const response = await fetch(`http://${address}${path}`, {
        method, body, headers: { connection: "close" }, signal: AbortSignal.timeout(1000),
    });
    return { status: response.status, body: await response.text() };
}

/** A stand-in of an application server: it registers, sends heartbeats, and runs requests as PROTOCOL.md says. */
export class Server {
    runs = [];
    seq = 0;
    running = 0;

    /** `answer(run, request, response, socket)` sends the response to a request that has been read and begins to run. */
    constructor(deployment, { id, service, answer, slots = 6, host, port }) {
        Object.assign(this, { deployment, id, service, answer, slots, port });
        this.born = Date.now();
        this.host = host ?? deployment.nextHost();
        this.state = "ready";
        deployment.servers.push(this);
    }

    get address() {
        return `${this.host}:${this.port}`;
    }

    async start() {
        this.http = createHttpServer({ keepAliveTimeout: 15_000 }, (request, response) => void this.handle(request, response));
        this.sockets = new Set();
        this.http.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => this.sockets.delete(socket));
        });
        this.http.listen(this.port ?? 0, this.host);
        await once(this.http, "listening");
        this.port = this.http.address().port;
        this.timer = setInterval(() => void this.beat(), HEARTBEAT_MS);
        await this.beat();
    }

    describe() {
        return {
            Service: this.service, Address: this.address, Zone: "z-a", Version: "v1", Slots: this.slots, State: this.state,
            ColdLeftMs: 0, Seq: ++this.seq, born: this.born,
        };
    }

    /** Sends a heartbeat to the first daemon that acknowledges it. */
    async beat() {
        const body = JSON.stringify(this.describe());
        for (const address of this.deployment.controlAddresses) {
            const answer = await call(address, "PUT", `/-/instances/${this.id}`, body).catch(() => undefined);
            if (answer !== undefined && answer.status >= 200 && answer.status < 300) {
                return;
            }
        }
    }

    async handle(request, response) {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        if (request.headers["expect-instance"] !== undefined && request.headers["expect-instance"] !== this.id) {
            response.writeHead(421, { "not-run": "1", "at-server": this.id, "content-length": 0 }).end();
            return;
        }
        const id = String(request.headers["request-id"]);
        const run = { id, number: this.runs.length + 1, headers: request.headers, body: Buffer.concat(chunks) };
        this.runs.push(run);
        this.running++;
        this.deployment.record.add(`run ${id} at ${this.id} ${request.method} ${request.url}`);
        response.on("close", () => this.running--);
        await this.answer(run, request, response, request.socket);
    }

    /** Headers that a sound server sends with every response of its own. */
    headers(run) {
        return {
            "request-id": run.id, "server-stamp": `stamp.${this.id}.${run.number}`,
            "server-load": `${this.running},0,${this.slots}`,
        };
    }

    close() {
        clearInterval(this.timer);
        this.http?.close();
        this.http?.closeAllConnections();
    }
}

/** A client with one kept channel to a front daemon, which it uses for one request at a time. */
export class Client {
    constructor(deployment, name, front, { deadlineMs = 4000, key = "key-one", host = "site.example" } = {}) {
        Object.assign(this, { deployment, name, front, deadlineMs, key, host });
        this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
        this.count = 0;
    }

    /**
     * Sends one request; resolves with its status, headers, body, whether the answer is complete, and how long it took.
     * `status` is 0 if the channel ended without a head; `error` tells how it ended. `onData` may slow the reading.
     */
    send(method, path, { body = "", waitMs = this.deadlineMs, headers = {}, onResponse } = {}) {
        const id = `${this.name}-${++this.count}`;
        const { record } = this.deployment;
        const startedAt = performance.now();
        record.add(`sent ${id} ${method} ${path} to ${this.front.name}`);
        return new Promise(resolve => {
            const chunks = [];
            const answer = { id, status: 0, headers: {}, body: "", isComplete: false, error: undefined, isKept: false };
            let isDone = false;
            const done = error => {
                if (isDone) {
                    return;
                }
                isDone = true;
                clearTimeout(timer);
                answer.body = Buffer.concat(chunks);
                answer.ms = Math.round(performance.now() - startedAt);
                answer.error = error;
                record.add(
                    `answered ${id} status ${answer.status} stamp ${answer.headers["server-stamp"] ?? "none"} `
                        + `bytes ${answer.body.length} ${answer.isComplete ? "complete" : "not complete"} after ${answer.ms} ms`
                        + `${error === undefined ? "" : ` (${error})`}`,
                );
                resolve(answer);
            };
            const request = httpRequest({
                host: this.front.host, port: this.front.port, method, path, agent: this.agent,
                headers: {
                    host: this.host, "request-id": id, "deadline-ms": this.deadlineMs, key: this.key,
                    ...(method === "GET" ? {} : { "content-length": Buffer.byteLength(body) }), ...headers,
                },
            });
            const timer = setTimeout(() => {
                done("nothing more came");
                request.destroy();
            }, waitMs);
            request.on("socket", () => answer.isKept = request.reusedSocket);
            request.on("error", error => done(error.message));
            request.on("response", response => {
                answer.status = response.statusCode;
                answer.headers = response.headers;
                response.on("data", chunk => chunks.push(chunk));
                response.on("end", () => {
                    answer.isComplete = response.complete;
                    done(response.complete ? undefined : "cut off");
                });
                response.on("error", error => done(error.message));
                onResponse?.(response);
            });
            request.end(body);
        });
    }

    close() {
        this.agent.destroy();
    }
}

/** The manifest of the deployment: routes of each kind to the service `desk`. */
export function buildManifest(version, extra = {}) {
    const route = (name, prefix, kind, more = {}) => ({
        Name: name, Host: "site.example", PathPrefix: prefix, Kind: kind, TimeoutMs: 4000, GoalMs: 400, Priority: 2,
        Service: "desk", Attempts: 2, Public: false, Sticky: false, Resumable: false, ...more,
    });
    return {
        Version: version,
        Routes: [
            route("r-lookup", "/lookup/", "idempotent"),
            route("r-file", "/file/", "non_idempotent"),
            route("r-draft", "/draft/", "streaming", { Resumable: true, GapTargetMs: 300 }),
        ],
        Services: [{ Name: "desk", HealthPath: "/healthz", MaxConns: 200, Protocol: "h1", Tls: false }],
        Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
        Tenants: [{ Name: "tenant-one", ApiKeys: ["key-one"], Priority: 1 }],
        ...extra,
    };
}

/** Runs a case: `play` returns the breaks of the rule that it saw. Exits with 0, 1 or 2 as run.sh must. */
export async function runCase(folder, options, play) {
    const record = new Record();
    const deployment = new Deployment(record, options);
    const hasTrouble = process.env.TROUBLE !== "0";
    let code = 2;
    const limit = setTimeout(() => {
        record.add("the case took too long");
        deployment.close().finally(() => finish(2));
    }, 110_000);
    const finish = status => {
        clearTimeout(limit);
        record.write(folder);
        process.exit(status);
    };
    for (const name of ["SIGINT", "SIGTERM"]) {
        process.once(name, () => deployment.close().finally(() => finish(2)));
    }
    try {
        await deployment.open();
        const breaks = await play(deployment, hasTrouble);
        for (const text of breaks) {
            record.add(`BROKEN ${text}`);
        }
        record.add(breaks.length === 0 ? "the rule held" : "the rule was broken");
        code = breaks.length === 0 ? 0 : 1;
    }
    catch (error) {
        record.add(`the case could not run: ${error.stack}`);
    }
    if (process.env.KEEP_LOGS !== undefined) {
        for (const daemon of deployment.daemons) {
            writeFileSync(join(process.env.KEEP_LOGS, `${daemon.name}.log`), readFileSync(daemon.log));
        }
    }
    await deployment.close();
    finish(code);
}
