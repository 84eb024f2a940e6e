import { After, AfterAll, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import { OperatorClient } from "@kumquathall/operator-client";
import { computeAnswerText } from "@kumquathall/standin-engine";
import type { CommandResult } from "@kumquathall/types";
import { deepStrictEqual, notStrictEqual, ok, strictEqual } from "node:assert";
import { get } from "node:http";
import { connect } from "node:net";
import { fileURLToPath } from "node:url";
import { DEMO_KEYS, DEMO_OPERATOR_KEY } from "./clusterPlan.js";
import { DEMO_ENDPOINTS } from "./demoEndpoints.js";
import { LocalCluster } from "./localCluster.js";
import { publishFolder } from "./publishFolder.js";
import { waitUntil } from "./waitUntil.js";

setDefaultTimeout(60_000);

const EXAMPLES = fileURLToPath(new URL("../../../examples", import.meta.url));
const START_TIMEOUT_MS = 30_000;
const DECLARED_GROUPS = 3;
const RETRYABLE_STATUS = 503;

interface Answer {
    status: number;
    text: string;
    outcome: string | undefined;
    code: string | undefined;
}

let cluster: LocalCluster | undefined;
let client: OperatorClient;
let answers: Answer[] = [];
let lastPrompt = "";
let lastTokens = 0;
let publishResults: CommandResult[] = [];
let drainedVm = "";

async function startClusterOnce(): Promise<LocalCluster> {
    if (cluster !== undefined) {
        return cluster;
    }
    const started = await LocalCluster.start({ endpoints: DEMO_ENDPOINTS, logLevel: "error", stopGraceMs: 0 });
    cluster = started;
    client = new OperatorClient({ entryUrls: started.plan.entryUrls, key: DEMO_OPERATOR_KEY });
    await waitUntil("entries are ready", START_TIMEOUT_MS, async () => {
        const statuses = await Promise.all(
            started.plan.entryUrls.map(url => fetch(`${url}/ready`).then(response => response.status, () => 0)),
        );
        return statuses.every(status => status === 200);
    });
    await publishFolder(EXAMPLES, started.plan.entryUrls);
    await waitUntil("groups serve", START_TIMEOUT_MS, async () => await countServingGroups() >= DECLARED_GROUPS);
    return started;
}

async function countServingGroups(): Promise<number> {
    return (await client.readConfiguration()).groups.filter(group => group.state === "serving").length;
}

/** Sends a request, and retries it after status 503, with which the request has not been run. */
async function send(path: string, options: RequestInit, entry = 0): Promise<Answer> {
    const started = await startClusterOnce();
    for (let attempt = 0;; attempt++) {
        const response = await fetch(`${started.plan.entryUrls[entry]}${path}`, options);
        const text = await response.text();
        if (response.status !== RETRYABLE_STATUS || attempt > 40) {
            const code = response.status >= 400 ? (JSON.parse(text) as { code: string }).code : undefined;
            const outcome = response.headers.get("kumquathall-outcome") ?? /outcome=([\w-]+)/.exec(text)?.[1];
            return { status: response.status, text, outcome, code };
        }
        await new Promise(resolve => setTimeout(resolve, 200));
    }
}

/** Sends a path without normalizing it; `fetch` would resolve its `..` segments. */
async function sendRaw(path: string): Promise<Answer> {
    const started = await startClusterOnce();
    const { port } = new URL(started.plan.entryUrls[0]);
    return await new Promise((resolve, reject) => {
        const request = get({ host: "127.0.0.1", port, path, headers: buildHeaders() }, response => {
            let text = "";
            response.on("data", (chunk: Buffer) => {
                text += chunk.toString("utf8");
            });
            response.on("end", () => {
                const { code, outcome } = JSON.parse(text) as { code: string; outcome: string };
                resolve({ status: response.statusCode ?? 0, text, outcome, code });
            });
        });
        request.on("error", reject);
    });
}

function buildHeaders(extra: Record<string, string> = {}): Record<string, string> {
    return { "authorization": `Bearer ${DEMO_KEYS.cantora}`, "content-type": "application/json", ...extra };
}

function sendOrder(orderId: string, key: string, entry: number): Promise<Answer> {
    return send("/services/orders/orders", {
        method: "POST",
        headers: buildHeaders({ "idempotency-key": key }),
        body: JSON.stringify({ orderId }),
    }, entry);
}

const BAD_REQUESTS: Record<string, () => Promise<Answer>> = {
    "no credential": () => send("/v1/chat/completions", { method: "POST", body: "{}" }),
    "a wrong credential": () =>
        send("/v1/chat/completions", { method: "POST", headers: { authorization: "Bearer wrong" }, body: "{}" }),
    "an unknown service": () => send("/services/nothing/here", { headers: buildHeaders() }),
    "an unknown model": () =>
        send("/v1/chat/completions", {
            method: "POST",
            headers: buildHeaders(),
            body: JSON.stringify({ model: "nothing", messages: [] }),
        }),
    "malformed JSON": () =>
        send("/v1/chat/completions", { method: "POST", headers: buildHeaders(), body: '{"model":' }),
    "a body above the size limit": () =>
        send("/v1/chat/completions", { method: "POST", headers: buildHeaders(), body: "x".repeat(2_000_000) }),
    "an order without a key": () =>
        send("/services/orders/orders", { method: "POST", headers: buildHeaders(), body: "{}" }),
    "a path with a parent segment": () => sendRaw("/services/orders/%2e%2e/x"),
    "a deadline that is not a number": () =>
        send("/services/orders/stock/x", { headers: buildHeaders({ "kumquathall-deadline-ms": "soon" }) }),
};

Given("a complete system on loopback with the example services", async () => {
    await startClusterOnce();
});

When("a streamed chat request of {int} tokens is sent", async (tokens: number) => {
    lastPrompt = `tap tone ${tokens}`;
    lastTokens = tokens;
    const body = JSON.stringify({
        model: "tonewood",
        stream: true,
        max_tokens: tokens,
        messages: [{ role: "user", content: lastPrompt }],
    });
    answers = [await send("/v1/chat/completions", { method: "POST", headers: buildHeaders(), body })];
});

When("the order {string} is sent through each entry", async (orderId: string) => {
    answers = [await sendOrder(orderId, orderId, 0), await sendOrder(orderId, orderId, 1)];
});

When("another order is sent with the key of {string}", async (key: string) => {
    answers = [await sendOrder(`${key}-other`, key, 0)];
});

When(
    /^a caller sends (no credential|a wrong credential|an unknown \w+|malformed JSON|a body above the size limit|an order without a key|a path with a parent segment|a deadline that is not a number)$/,
    async (name: string) => {
        answers = [await BAD_REQUESTS[name]()];
    },
);

When("a peer sends corrupt bytes and an oversized frame to an entry's internal port", async () => {
    const started = await startClusterOnce();
    const { listen } = started.plan.entries[0].roles.entry as { listen: string };
    for (
        const bytes of [
            Buffer.from("GET / HTTP/1.1\r\n\r\n"),
            Buffer.from([0, 0, 0, 3, 0xff, 0xff, 0xff]),
            Buffer.from([0x7f, 0xff, 0xff, 0xff, 1]),
        ]
    ) {
        const socket = connect({ host: "127.0.0.1", port: Number(listen.split(":")[1]) });
        socket.write(bytes);
        socket.on("error", () => undefined);
        socket.resume();
        await new Promise(resolve => socket.once("close", resolve));
    }
});

When(
    "two operators publish version {int} of {string} with different content",
    async (version: number, name: string) => {
        const { services } = await client.readConfiguration();
        const current = services.find(service => `${service.institution}/${service.service}` === name);
        ok(current);
        const buildUpdate = (changeId: string, concurrentRequests: number) => ({
            action: "update" as const,
            changeId,
            baseVersion: current.version,
            definition: { ...current, version, capacity: { ...current.capacity, concurrentRequests } },
            changes: [],
        });
        publishResults = await Promise.all([
            client.send(buildUpdate("race-1", 61)),
            client.send(buildUpdate("race-2", 62)),
        ]);
    },
);

When("the VM of a serving group is drained", async () => {
    const { groups } = await client.readConfiguration();
    drainedVm = groups.find(group => group.service === "tap-tone" && group.state === "serving")?.vms[0] ?? "";
    notStrictEqual(drainedVm, "");
    strictEqual((await client.drain("drain", "vm", drainedVm)).kind, "accepted");
});

Then("the answer is complete and its outcome is {string}", (outcome: string) => {
    const [answer] = answers;
    const text = answer.text.split("\n").filter(line => line.startsWith("data: {"))
        .map(line =>
            (JSON.parse(line.slice(6)) as { choices: { delta: { content: string } }[] }).choices[0].delta.content
        ).join("");
    strictEqual(text, computeAnswerText(lastPrompt, lastTokens));
    strictEqual(answer.outcome, outcome);
});

Then("every answer is the same, and the order {string} ran {int} time", async (orderId: string, times: number) => {
    strictEqual(answers[0].status, 201);
    deepStrictEqual(answers[0], answers[1]);
    const services = [...(await startClusterOnce()).standins.services.values()];
    strictEqual(services.reduce((sum, service) => sum + service.countRuns(orderId), 0), times);
});

Then(
    "it is refused with status {int}, code {string} and outcome {string}",
    (status: number, code: string, outcome: string) => {
        const [answer] = answers;
        deepStrictEqual({ status: answer.status, code: answer.code, outcome: answer.outcome }, {
            status,
            code,
            outcome,
        });
    },
);

Then("one is accepted, and the other is refused with the accepted version", () => {
    deepStrictEqual(publishResults.map(result => result.kind).sort(), ["accepted", "refused"]);
    const refused = publishResults.find(result => result.kind === "refused");
    strictEqual(refused?.code, "version-conflict");
    strictEqual(refused?.winner?.version, 2);
});

Then("the audit trail shows both", async () => {
    const records = (await client.readAudit(100)).filter(record => record.changeId.startsWith("race-"));
    deepStrictEqual(records.map(record => record.accepted).sort(), [false, true]);
});

Then("within {int} seconds the declared groups serve without that VM", async (seconds: number) => {
    await waitUntil("groups serve without the drained VM", seconds * 1000, async () => {
        const { groups } = await client.readConfiguration();
        const serving = groups.filter(group => group.state === "serving");
        return serving.length >= DECLARED_GROUPS - 1 && groups.every(group => !group.vms.includes(drainedVm));
    });
    strictEqual((await client.drain("undrain", "vm", drainedVm)).kind, "accepted");
});

After({ tags: "@whole-path" }, () => {
    answers = [];
});

AfterAll(async () => {
    await cluster?.close();
});
