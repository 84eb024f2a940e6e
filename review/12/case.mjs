// A server crashes in the middle of its streams. Their ids are times in microseconds, which have 16 digits. The clients resume
// at another machine with the id of the last event that they have. Do they get each piece once?
import http from "node:http";
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { buildManifest, buildRoute, Deployment, HOST_NAME, KEY, PlainServer, runCase } from "../standins-3/deployment.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const STREAMS = 12;
const PIECES = 30;
const GAP_MS = 100;
const CRASH_AFTER_MS = 1200;
const CRASH_MS = 4500;
/** 1 October 2026 in Unix microseconds. */
const FIRST_ID = 1_790_812_800_000_000;

/** Id of a piece of a stream; ids increase within a stream and differ between streams. */
function getEventId(stream, piece) {
    return FIRST_ID + stream * 1_000_000 + piece * 1000;
}

/** Sends the pieces of a stream after the one that `Last-Event-Id` names, or all without it. */
async function run(request, response, { id, server, headers, path }) {
    request.resume();
    const stream = Number(path.split("/").at(-1));
    const lastId = headers["last-event-id"];
    request.socket.deployment.record(`${server} runs ${id}, Last-Event-Id ${lastId ?? "none"}`);
    response.writeHead(200, {
        "request-id": id, "server-stamp": `stamp-${server}-${id}`, "content-type": "text/event-stream",
    });
    for (let piece = 1; piece <= PIECES && !response.destroyed; piece++) {
        const eventId = getEventId(stream, piece);
        if (lastId === undefined || eventId > Number(lastId)) {
            response.write(`id: ${eventId}\ndata: piece ${piece} of stream ${stream}\n\n`);
            await sleep(GAP_MS);
        }
    }
    response.end();
}

/** Reads one response of a stream; resolves with whether it is complete. Whole events are added to `events`. */
function read(gateway, id, stream, lastId, events) {
    return new Promise(resolve => {
        const headers = { host: HOST_NAME, "request-id": id, "deadline-ms": "8000", key: KEY, "content-length": "4" };
        if (lastId !== undefined) {
            headers["last-event-id"] = String(lastId);
        }
        const request = http.request({
            host: gateway.host, port: gateway.port, method: "POST", path: `/lohu930/${stream}`, agent: false, headers,
        }, response => {
            let text = "";
            response.on("data", chunk => {
                const parts = (text + chunk.toString()).split("\n\n");
                text = parts.pop();
                for (const part of parts) {
                    events.push({
                        id: /^id: (\d+)$/m.exec(part)?.[1],
                        piece: Number(/^data: piece (\d+) /m.exec(part)?.[1]),
                    });
                }
            });
            response.on("error", () => resolve(false));
            response.on("end", () => resolve(response.statusCode === 200 && response.complete));
        });
        request.on("error", () => resolve(false));
        request.end("body");
    });
}

await runCase(dirname(fileURLToPath(import.meta.url)), async keep => {
    const deployment = await Deployment.start({ controls: 5, gateways: 2 });
    keep(deployment);
    const servers = [];
    for (let at = 0; at < 3; at++) {
        const server = new PlainServer(deployment, { service: "lm-taller", at, slots: 34, run });
        server.server.on("connection", socket => socket.deployment = deployment);
        servers.push(await server.listen());
    }
    await deployment.publish(buildManifest(
        1,
        [buildRoute("tone-notes", "/lohu930/", "streaming", "lm-taller", {
            TimeoutMs: 8000, GoalMs: 400, GapTargetMs: 300, Resumable: true,
        })],
        [{ Name: "lm-taller", HealthPath: "/healthz", MaxConns: 502, Protocol: "h1", Tls: false }],
    ));
    await deployment.waitReady();
    await sleep(4000);
    const streams = Promise.all(Array.from({ length: STREAMS }, async (_, stream) => {
        const events = [];
        let isComplete = false;
        for (let attempt = 0; attempt < 3 && !isComplete; attempt++) {
            const gateway = deployment.gateways[(stream + attempt) % deployment.gateways.length];
            const lastId = events.at(-1)?.id;
            if (attempt > 0) {
                deployment.record(`the channel of stream ${stream} broke after piece ${events.at(-1)?.piece}; its client resumes `
                    + `at ${gateway.name}, Last-Event-Id ${lastId}`);
            }
            isComplete = await read(gateway, `r${stream}-${attempt}`, stream, lastId, events);
        }
        return { stream, isComplete, pieces: events.map(event => event.piece) };
    }));
    if (HAS_TROUBLE) {
        await sleep(CRASH_AFTER_MS);
        servers[0].close();
        deployment.record(`${servers[0].id} crashes for ${CRASH_MS} ms`);
        await sleep(CRASH_MS);
        await new PlainServer(deployment, { service: "lm-taller", at: 0, slots: 34, run }).listen();
    }
    let broken = 0;
    for (const { stream, isComplete, pieces } of await streams) {
        const twice = [...new Set(pieces.filter((piece, at) => pieces.indexOf(piece) !== at))];
        const missing = Array.from({ length: PIECES }, (_, at) => at + 1).filter(piece => !pieces.includes(piece));
        const isBroken = twice.length > 0 || (isComplete && missing.length > 0);
        broken += isBroken ? 1 : 0;
        deployment.record(`stream ${stream}: ${isComplete ? "complete" : "not complete"}, ${pieces.length} pieces, `
            + `${twice.length} of them twice, ${missing.length} missing`);
    }
    deployment.record(`${broken} of ${STREAMS} streams had pieces twice, or ended as complete without all pieces`);
    return broken > 0;
});
