// One heartbeat with an address that can't be read ends every front daemon that gets the next request of its service.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { buildManifest, call, Client, runCase, Server, sleep } from "../lib/deployment.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const CLIENTS_PER_FRONT = 6;
const WORK_MS = 600;
const CONTACT_MS = 3000;
/** LOST: a machine may close a kept channel without an answer this often. */
const ALLOWED = 3;

await runCase(folder, { fronts: 2, controls: 3 }, async (deployment, hasTrouble) => {
    const { record } = deployment;
    const servers = [1, 2].map(at =>
        new Server(deployment, {
            id: `i-desk-${at}`,
            service: "desk",
            slots: 12,
            answer: async (run, request, response) => {
                await sleep(request.url.endsWith("/work") ? WORK_MS : 20);
                const body = Buffer.from(`answer to ${run.id}`);
                response.writeHead(200, { ...servers[at - 1].headers(run), "content-length": body.length }).end(body);
            },
        })
    );
    await Promise.all(servers.map(server => server.start()));
    await deployment.publish(buildManifest(1));
    await deployment.waitUntilReady();
    const clients = deployment.fronts.flatMap((front, at) =>
        Array.from({ length: CLIENTS_PER_FRONT }, (_, number) => new Client(deployment, `c${at}${number}`, front))
    );
    const others = deployment.fronts.map((front, at) => new Client(deployment, `other${at}`, front));
    // A start counts as a disruption for ContactMs.
    await sleep(CONTACT_MS + 1000);
    // The first request of each client opens its channel, which is kept.
    await Promise.all([...clients, ...others].map(client => client.send("GET", "/lookup/a")));

    const sent = clients.map(client => client.send("GET", "/lookup/work"));
    await sleep(WORK_MS / 4);
    if (hasTrouble) {
        const text = JSON.stringify({
            Service: "desk", Address: "127.128.0.?:8080", Zone: "z-a", Version: "v1", Slots: 6, State: "ready",
            ColdLeftMs: 0, Seq: 1, born: Date.now(),
        });
        // One byte of the address can't be read: 0xff occurs in no text.
        const body = Buffer.from(text.replace("?", "\xff"), "latin1");
        const answer = await call(deployment.controlAddresses[0], "PUT", "/-/instances/i-other", body);
        record.add(`heartbeat of another writer, one byte of its address unreadable: status ${answer.status}`);
    }
    await sleep(WORK_MS / 4);
    const later = others.map(client => client.send("GET", "/lookup/b"));
    const answers = await Promise.all(sent);
    await Promise.all(later);
    // Clients come again on new channels, as after any closed channel.
    for (let round = 0; round < 5; round++) {
        await sleep(1000);
        await Promise.all(others.map(client => client.send("GET", "/lookup/c")));
    }

    const ran = new Set(servers.flatMap(server => server.runs.map(run => run.id)));
    return deployment.fronts.flatMap(front => {
        const lost = answers.filter((answer, at) =>
            clients[at].front === front && answer.isKept && ran.has(answer.id) && answer.status === 0
        );
        record.add(`${front.name}: ${lost.length} requests of kept channels were passed on and never answered; `
            + `its process ended by itself ${front.ends} times`);
        return lost.length > ALLOWED
            ? [`LOST: ${front.name} passed ${lost.length} requests from kept channels on to sound servers and closed the `
                + "channels without an answer"]
            : [];
    });
});
