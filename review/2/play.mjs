// A faulty server answers an order with a body that doesn't end, in chunks of one byte. The front daemon runs out of memory and
// ends, with everything that it has in flight.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { bounds, buildManifest, Client, runCase, Server, sleep } from "../lib/deployment.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const SERVERS = 3;
const CLIENTS = 12;
const WORK_MS = 2500;
/** Length of the disruption, in which one server of three spoils two of its answers. */
const FOR_MS = 5000;
const SPOILED = 2;
/** LOST: a machine may close a kept channel without an answer this often. */
const ALLOWED = 3;
const CHUNKS = Buffer.from("1\r\na\r\n".repeat(2000));

/** Sends a body without an end until the caller closes the channel. */
async function sendEndlessBody(run, headers, socket) {
    const fields = Object.entries({ ...headers, "transfer-encoding": "chunked" });
    socket.write(["HTTP/1.1 200 OK", ...fields.map(([name, value]) => `${name}: ${value}`), "", ""].join("\r\n"));
    let bytes = 0;
    while (!socket.destroyed) {
        bytes += CHUNKS.length;
        const isDrained = socket.write(CHUNKS);
        await (isDrained ? sleep(0) : new Promise(done => {
            const wake = () => {
                socket.off("drain", wake).off("close", wake);
                done();
            };
            socket.on("drain", wake).on("close", wake);
        }));
    }
    return bytes;
}

await runCase(folder, { fronts: 2, controls: 3 }, async (deployment, hasTrouble) => {
    const { record } = deployment;
    let left = 0;
    const servers = Array.from({ length: SERVERS }, (_, at) =>
        new Server(deployment, {
            id: `i-desk-${at}`,
            service: "desk",
            slots: 12,
            answer: async (run, request, response, socket) => {
                const headers = servers[at].headers(run);
                if (at === 0 && left > 0 && request.url.endsWith("/spoiled")) {
                    left--;
                    record.add(`i-desk-0 answers ${run.id} with a body without an end`);
                    const bytes = await sendEndlessBody(run, headers, socket);
                    record.add(`the channel of ${run.id} was closed after ${bytes} bytes`);
                    return;
                }
                await sleep(request.url.endsWith("/work") ? WORK_MS : 20);
                const body = Buffer.from(`answer to ${run.id}`);
                response.writeHead(200, { ...headers, "content-length": body.length }).end(body);
            },
        })
    );
    await Promise.all(servers.map(server => server.start()));
    await deployment.publish(buildManifest(1));
    await deployment.waitUntilReady();
    await sleep(bounds.ContactMs + 1000);
    const clients = Array.from({ length: CLIENTS }, (_, at) => new Client(deployment, `c${at}`, deployment.fronts[0]));
    const orders = Array.from({ length: 4 }, (_, at) => new Client(deployment, `o${at}`, deployment.fronts[0]));
    await Promise.all([...clients, ...orders].map(client => client.send("POST", "/file/first", { body: "notice" })));
    const endsAt = performance.now() + FOR_MS;
    const play = async (client, path) => {
        const results = [];
        while (performance.now() < endsAt) {
            const answer = await client.send("POST", path, { body: "notice" });
            results.push(answer);
            if (answer.status === 0) {
                // A closed channel; the client waits a while.
                await sleep(500);
            }
        }
        return results;
    };
    const atWork = clients.map(client => play(client, "/file/work"));
    await sleep(WORK_MS / 10);
    left = hasTrouble ? SPOILED : 0;
    const answers = (await Promise.all([...atWork, ...orders.map(client => play(client, "/file/spoiled"))])).flat();
    left = 0;
    const [front] = deployment.fronts;
    record.add(`${front.name} ended by itself ${front.ends} times`);
    const ran = new Set(servers.slice(1).flatMap(server => server.runs.map(run => run.id)));
    const lost = answers.filter(answer => answer.isKept && ran.has(answer.id) && answer.status === 0);
    return lost.length > ALLOWED
        ? [`LOST: ${front.name} passed ${lost.length} requests from kept channels on to sound servers and closed the channels `
            + `without an answer: ${lost.map(answer => answer.id).join()}`]
        : [];
});
