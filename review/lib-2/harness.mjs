// Starts a small deployment on loopback: the daemon with the command of the deploy file, and small stand-ins of the
// platform, its servers, its clients and its operator. Needs nothing but Node.js and target/kumquathalld.cjs.
import { spawn } from "node:child_process";
import { appendFileSync, existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

export { sleep };

const ROOT = new URL("../..", import.meta.url).pathname;
const RESTART_MS = 300;
const HEARTBEAT_MS = 1200;
const CALL_TIMEOUT_MS = 1000;
const MEMORY_CHECK_MS = 200;
const FIRST_OCTET = 60;
const LAST_OCTET = 250;

/** Bounds as in the sheet of cantora-ruteo. */
export const BOUNDS = {
    SeedLagS: 3,
    ReuseAfterS: 2,
    ContactMs: 3000,
    AckMs: 4000,
    CatchUpS: 4,
    DrainMs: 2000,
    GraceS: 8,
    LossSlackMs: 200,
    ConfigMs: 2000,
    BackMs: 250,
    OuterMs: 5000,
    StrictRevoke: false,
    RevokeMs: 5000,
    BudgetRatio: 0.2,
    BudgetWindowS: 10,
    BudgetSlack: 202,
    RecoverS: 12,
    PassMs: 120,
    RetryAfterS: 0,
    StallMs: 6000,
    RequireFence: false,
    CeilingWindowS: 5,
    CeilingFactor: 1.1,
};

/** Ends the script with 2, since the case could not run. */
export class CannotRun extends Error {}

export class Deployment {
    static async open(caseFolder) {
        if (!existsSync(join(ROOT, "target/kumquathalld.cjs"))) {
            throw new CannotRun("target/kumquathalld.cjs is missing; run the build of the deploy file first");
        }
        const deployment = new Deployment();
        deployment.recordFile = join(caseFolder, "record.txt");
        writeFileSync(deployment.recordFile, "");
        deployment.startedAt = performance.now();
        deployment.folder = mkdtempSync(join(tmpdir(), "kumquathall-review-"));
        deployment.daemons = [];
        deployment.servers = [];
        deployment.controls = [];
        await deployment.reserve();
        deployment.guard = () => deployment.daemons.forEach(daemon => daemon.child?.kill("SIGKILL"));
        process.once("exit", deployment.guard);
        deployment.memoryTimer = setInterval(
            () => deployment.daemons.forEach(daemon => daemon.endAboveLimit()),
            MEMORY_CHECK_MS,
        );
        for (const signal of ["SIGINT", "SIGTERM"]) {
            process.once(signal, () => process.exit(2));
        }
        return deployment;
    }

    /** Reserves a block of loopback addresses and ports that are free on it. */
    async reserve() {
        const span = LAST_OCTET - FIRST_OCTET + 1;
        const first = Math.floor(Math.random() * span);
        for (let at = 0; at < span; at++) {
            const octet = FIRST_OCTET + (first + at) % span;
            const port = 20_000 + Math.floor(Math.random() * 10_000);
            const lock = net.createServer();
            const isFree = await new Promise(resolve => {
                lock.once("error", () => resolve(false));
                lock.listen(18_226, `127.${octet}.0.1`, () => resolve(true));
            });
            if (isFree) {
                this.lock = lock;
                this.octet = octet;
                this.ports = { control: port, front: port + 1, ready: port + 2, inner: port + 3, app: port + 4 };
                return;
            }
        }
        throw new CannotRun("no block of loopback addresses is free");
    }

    host(net, number) {
        return `127.${this.octet}.${net}.${number}`;
    }

    now() {
        return Math.round(performance.now() - this.startedAt);
    }

    record(line) {
        appendFileSync(this.recordFile, `${String(this.now()).padStart(7)} ms  ${line}\n`);
    }

    controlAddress(number) {
        return `${this.host(1, number)}:${this.ports.control}`;
    }

    /** Adds a machine of the core; it is not started. */
    addControl(number, seeds) {
        const host = this.host(1, number);
        const dataDir = join(this.folder, `data-${number}`);
        mkdirSync(dataDir, { recursive: true });
        const daemon = new Daemon(this, `core-${number}`, 200, {
            Class: "core",
            Serves: ["control"],
            Ip: host,
            Listen: { Control: this.controlAddress(number) },
            DataDir: dataDir,
            CountsAsLoss: true,
            Seeds: seeds,
        });
        this.controls.push(this.controlAddress(number));
        return daemon;
    }

    addFront(number, seeds) {
        const host = this.host(2, number);
        const daemon = new Daemon(this, `front-${number}`, 200, {
            Class: "front",
            Serves: ["front"],
            Ip: host,
            Listen: { Front: `${host}:${this.ports.front}`, Ready: `${host}:${this.ports.ready}` },
            DataDir: null,
            CountsAsLoss: false,
            Seeds: seeds,
        });
        daemon.front = { host, port: this.ports.front };
        daemon.ready = { host, port: this.ports.ready };
        return daemon;
    }

    addServer(options) {
        const server = new Server(this, options);
        this.servers.push(server);
        return server;
    }

    async isReady(front) {
        const answer = await call({ ...front.ready, path: "/-/ready" });
        return answer.status === 200;
    }

    /** Waits for a condition; the case can't run if it does not come in time. */
    async waitFor(what, isDone, withinMs = 30_000) {
        const endsAt = performance.now() + withinMs;
        while (!await isDone()) {
            if (performance.now() > endsAt) {
                throw new CannotRun(`${what} did not come within ${withinMs} ms`);
            }
            await sleep(50);
        }
    }

    /** Sends a manifest to one daemon after the other until it is acknowledged, as the operator does. */
    async publish(manifest, controls = this.controls) {
        const body = JSON.stringify(manifest);
        for (let at = 0; at < 60; at++) {
            const address = controls[at % controls.length];
            const [host, port] = address.split(":");
            const answer = await call({ host, port, method: "PUT", path: "/-/config", body });
            this.record(`operator: version ${manifest.Version} to ${address}: ${answer.status || answer.error}`);
            if (answer.status === 200) {
                return;
            }
            await sleep(100);
        }
        throw new CannotRun("no manifest was acknowledged");
    }

    async close() {
        this.isClosing = true;
        clearInterval(this.memoryTimer);
        this.servers.forEach(server => server.stop());
        await Promise.all(this.daemons.map(daemon => daemon.kill()));
        this.lock.close();
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
        else {
            process.stdout.write(`logs: ${this.folder}\n`);
        }
    }
}

/** One daemon, started with the command of the deploy file. */
class Daemon {
    constructor(deployment, name, heapMb, settings) {
        this.deployment = deployment;
        this.name = name;
        this.heapMb = heapMb;
        this.ownEnds = 0;
        this.settings = {
            Node: name,
            Role: name.split("-")[0],
            Zone: "a",
            Region: "r",
            Zones: { a: "r" },
            InnerPorts: [deployment.ports.inner, deployment.ports.inner],
            Limits: { CpuShare: 0.5, CpuCores: 1, MemoryMb: 346, MaxFds: 4096, LinkMbps: 1000, DiskMb: 128 },
            Discovery: "registration",
            Entry: "vip",
            HeartbeatMs: HEARTBEAT_MS,
            Contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "gangs"],
            Tolerate: { Machines: 2, Zones: 0, Regions: 0 },
            Bounds: BOUNDS,
            ConfigMode: "highest",
            ...settings,
        };
        this.file = join(deployment.folder, `${name}.json`);
        this.logFile = join(deployment.folder, `${name}.txt`);
        deployment.daemons.push(this);
    }

    start(isFirstStart = false) {
        if (this.child !== undefined) {
            return;
        }
        this.write({ Bootstrap: isFirstStart });
        this.isEndOrdered = false;
        const child = spawn(process.execPath, [`--max-old-space-size=${this.heapMb}`, "target/kumquathalld.cjs"], {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, KUMQUATHALL_NODE_FILE: this.file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child = child;
        this.deployment.record(`${this.name}: started`);
        for (const stream of [child.stdout, child.stderr]) {
            stream.on("data", data => appendFileSync(this.logFile, data));
        }
        child.on("exit", (code, signal) => {
            if (this.child !== child) {
                return;
            }
            this.child = undefined;
            this.deployment.record(`${this.name}: ended, ${signal ?? `code ${code}`}`);
            if (!this.isEndOrdered && this.deployment.isClosing !== true) {
                this.ownEnds++;
                setTimeout(() => this.deployment.isClosing === true || this.start(), RESTART_MS);
            }
        });
    }

    /** Replaces fields of the settings file. */
    write(changes) {
        this.settings = { ...this.settings, ...changes };
        writeFileSync(this.file, JSON.stringify(this.settings));
    }

    signal(name) {
        this.isEndOrdered ||= name === "SIGKILL" || name === "SIGTERM";
        this.child?.kill(name);
    }

    async waitForEnd() {
        const { child } = this;
        if (child !== undefined) {
            await new Promise(resolve => child.once("exit", resolve));
        }
    }

    async kill() {
        const ended = this.waitForEnd();
        this.child?.kill("SIGCONT");
        this.signal("SIGKILL");
        await ended;
    }

    /** The platform kills a process that uses more than its memory; it counts as ending by itself. */
    endAboveLimit() {
        const { MemoryMb: limitMb } = this.settings.Limits;
        if (this.rssMb > limitMb) {
            this.deployment.record(`${this.name}: uses ${Math.round(this.rssMb)} MB of ${limitMb}`);
            this.child?.kill("SIGKILL");
        }
    }

    get rssMb() {
        let text = "";
        try {
            text = this.child === undefined ? "" : readFileSync(`/proc/${this.child.pid}/status`, "utf8");
        }
        catch {
            // It has ended just now.
        }
        return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1024;
    }

    log() {
        return existsSync(this.logFile) ? readFileSync(this.logFile, "utf8") : "";
    }
}

/** A plain application server: registers, runs requests, leaves. Each start is a new boot. */
export class Server {
    constructor(deployment, { id, service, number, controls, workMs = 20, slots = 6, onRequest }) {
        Object.assign(this, { deployment, id, service, number, controls, workMs, slots, onRequest });
        this.hostName = deployment.host(3, number);
        this.address = `${this.hostName}:${deployment.ports.app}`;
        this.runs = [];
        this.running = 0;
        this.beats = 0;
        this.controlAt = 0;
    }

    async start() {
        this.state = "ready";
        this.isGone = false;
        this.beats = 0;
        this.born = Date.now();
        this.sockets = new Set();
        this.server = http.createServer((request, response) => this.handle(request, response));
        this.server.keepAliveTimeout = 20_000;
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.deployment.ports.app, this.hostName, resolve);
        });
        this.deployment.record(`server ${this.id}: boot ${this.born} at ${this.address}`);
        this.timer = setInterval(() => void this.beat(), HEARTBEAT_MS);
        await this.beat();
    }

    /** Ends the process without an announcement. */
    stop() {
        clearInterval(this.timer);
        this.server?.close();
        this.sockets?.forEach(socket => socket.destroy());
        this.server = undefined;
    }

    /** Sends a heartbeat; after a failure the next daemon is called. */
    async beat() {
        const address = this.controls[this.controlAt % this.controls.length];
        const [host, port] = address.split(":");
        const body = JSON.stringify({
            Service: this.service,
            Address: this.address,
            Zone: "a",
            Version: "v1",
            Slots: this.slots,
            State: this.state,
            ColdLeftMs: 0,
            Seq: ++this.beats,
            born: this.born,
        });
        const answer = await call({ host, port, method: "PUT", path: `/-/instances/${this.id}`, body });
        if (answer.status !== 200) {
            this.controlAt++;
        }
        return { address, status: answer.status };
    }

    /** Says that it is gone, to one daemon after the other until one confirms; it serves on. */
    async depart(controls) {
        clearInterval(this.timer);
        this.isGone = true;
        for (let at = 0; at < 20; at++) {
            const address = controls[at % controls.length];
            const [host, port] = address.split(":");
            const answer = await call({ host, port, method: "DELETE", path: `/-/instances/${this.id}` });
            this.deployment.record(`server ${this.id}: DELETE to ${address}: ${answer.status || answer.error}`);
            if (answer.status === 200) {
                return performance.now();
            }
            await sleep(100);
        }
        throw new CannotRun("no daemon confirmed that the server leaves");
    }

    async handle(request, response) {
        const chunks = [];
        request.on("error", () => undefined);
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const { headers } = request;
        const id = headers["request-id"];
        const common = {
            "request-id": id,
            "server-stamp": `stamp.${this.id}.${id}`,
            "server-load": `${this.running},0,${this.slots}`,
            ...(this.isGone || this.state === "draining" ? { "server-leaving": "1" } : {}),
        };
        if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== this.id) {
            response.writeHead(421, { ...common, "not-run": "1", "content-length": "0" }).end();
            return;
        }
        const at = performance.now();
        this.runs.push({ id, at, headers, path: request.url, method: request.method, body: Buffer.concat(chunks) });
        this.deployment.record(`server ${this.id}: runs ${id} (${request.method} ${request.url})`);
        this.running++;
        try {
            if (this.onRequest !== undefined) {
                await this.onRequest({ request, response, common, server: this });
                return;
            }
            await sleep(this.workMs);
            const text = `answer of ${this.id} to ${id}`;
            response.writeHead(200, { ...common, "content-length": String(text.length) }).end(text);
        }
        finally {
            this.running--;
        }
    }
}

/** Makes one call on a channel of its own. */
export function call({ host, port, method = "GET", path, headers = {}, body, timeoutMs = CALL_TIMEOUT_MS }) {
    return new Promise(resolve => {
        const settle = answer => {
            clearTimeout(timer);
            request.destroy();
            resolve(answer);
        };
        const request = http.request({
            host,
            port: Number(port),
            method,
            path,
            agent: false,
            headers: {
                ...headers,
                ...(body === undefined ? {} : {
                    "content-type": headers["content-type"] ?? "application/json",
                    "content-length": String(Buffer.byteLength(body)),
                }),
            },
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", error => settle({ status: 0, error: `cut: ${error.code ?? error.message}` }));
            response.on("aborted", () => settle({ status: 0, error: "cut in the answer" }));
            response.on("end", () =>
                settle({
                    status: response.statusCode,
                    headers: response.headers,
                    text: Buffer.concat(chunks).toString(),
                }));
        });
        const timer = setTimeout(() => settle({ status: 0, error: "no answer in time" }), timeoutMs);
        request.on("error", error => settle({ status: 0, error: error.code ?? error.message }));
        request.end(body);
    });
}

let requests = 0;

/** Sends one client attempt through a front daemon. */
export async function send(deployment, front, { host, path, key, method = "GET", body, deadlineMs = 3000, headers = {} }) {
    const id = `r${String(++requests).padStart(6, "0")}`;
    deployment.record(`client: ${id} ${method} ${path} to ${front.name}`);
    const sentAt = performance.now();
    const answer = await call({
        ...front.front,
        host: front.front.host,
        method,
        path,
        body,
        timeoutMs: deadlineMs + 1000,
        headers: { host, "request-id": id, "deadline-ms": String(deadlineMs), ...(key ? { key } : {}), ...headers },
    });
    deployment.record(`client: ${id} gets ${answer.status || answer.error}`);
    return { id, sentAt, ...answer };
}

/** A manifest with an idempotent and a non-idempotent route to one service. */
export function buildManifest(version, { service = "orders", host = "shop.example" } = {}) {
    const route = (name, kind, attempts) => ({
        Name: name,
        Host: host,
        PathPrefix: `/${name}/`,
        Kind: kind,
        TimeoutMs: 1500,
        GoalMs: 300,
        Priority: 2,
        Service: service,
        Attempts: attempts,
        Public: false,
    });
    return {
        Version: version,
        Routes: [route("lookup", "idempotent", 2), route("order", "non_idempotent", 1)],
        Services: [{ Name: service, HealthPath: "/healthz", MaxConns: 110, Protocol: "h1", Tls: false }],
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
        Tenants: [{ Name: "tenant-1", ApiKeys: ["key-1"], Priority: 1 }],
    };
}

/** Runs a case and ends the process with its result. */
export async function runCase(caseUrl, play) {
    const hasTrouble = process.env.TROUBLE !== "0";
    let deployment;
    let code = 2;
    const limit = setTimeout(() => {
        deployment?.record("the case takes too long");
        process.exit(2);
    }, 118_000);
    try {
        deployment = await Deployment.open(new URL(".", caseUrl).pathname);
        const broken = await play(deployment, hasTrouble);
        for (const line of broken) {
            deployment.record(`BROKEN: ${line}`);
            process.stdout.write(`broken: ${line}\n`);
        }
        if (broken.length === 0) {
            deployment.record("the rule held");
            process.stdout.write("the rule held\n");
        }
        code = broken.length > 0 ? 1 : 0;
    }
    catch (error) {
        const text = error instanceof CannotRun ? error.message : String(error.stack);
        deployment?.record(`the case could not run: ${text}`);
        process.stdout.write(`the case could not run: ${text}\n`);
    }
    await deployment?.close();
    clearTimeout(limit);
    process.exit(code);
}
