import { DEMO_KEYS, type Standins } from "@kumquathall/local-cluster";
import { computeAnswerText } from "@kumquathall/standin-engine";
import { randomUUID } from "node:crypto";

const PROMPT = "Tap-tone note for spruce billet 7 from Cajamarca";
const MAX_TOKENS = 12;
const RETRY_INTERVAL_MS = 200;
const MAX_ATTEMPTS = 20;

/**
 * Sends a streamed model request, the same order through each entry, and a stock lookup. Returns whether the streamed
 * answer is complete, the order has run once with equal answers, and the lookup has succeeded.
 */
export async function showRequests(
    entryUrls: string[],
    standins: Standins,
    print: (line: string) => void,
): Promise<boolean> {
    const isStreamCorrect = await showStream(entryUrls[0], print);
    const isOrderCorrect = await showOrder(entryUrls, standins, print);
    const lookup = await sendUntilServed(`${entryUrls[0]}/services/orders/stock/maple`, { headers: buildHeaders() });
    print(`stock lookup: ${lookup.status} ${await lookup.text()}`);
    return isStreamCorrect && isOrderCorrect && lookup.status === 200;
}

async function showStream(url: string, print: (line: string) => void): Promise<boolean> {
    const response = await sendUntilServed(`${url}/v1/chat/completions`, {
        method: "POST",
        headers: buildHeaders(),
        body: JSON.stringify({
            model: "tonewood",
            stream: true,
            max_tokens: MAX_TOKENS,
            messages: [{ role: "user", content: PROMPT }],
        }),
    });
    const stream = await response.text();
    const text = joinTokens(stream);
    const isComplete = text === computeAnswerText(PROMPT, MAX_TOKENS) && stream.includes("outcome=complete");
    print(`streamed model request: ${response.status}, ${isComplete ? "complete" : "INCOMPLETE OR WRONG"}: "${text}"`);
    return isComplete;
}

async function showOrder(entryUrls: string[], standins: Standins, print: (line: string) => void): Promise<boolean> {
    const orderId = `order-${randomUUID().slice(0, 8)}`;
    const answers: string[] = [];
    for (const url of entryUrls) {
        const response = await sendUntilServed(`${url}/services/orders/orders`, {
            method: "POST",
            headers: { ...buildHeaders(), "idempotency-key": orderId },
            body: JSON.stringify({ orderId }),
        });
        answers.push(`${response.status} ${await response.text()}`);
    }
    const runs = [...standins.services.values()].reduce((sum, service) => sum + service.countRuns(orderId), 0);
    const isSame = new Set(answers).size === 1;
    print(
        `order sent ${answers.length} times, through different entries: run ${runs} time${runs === 1 ? "" : "s"}, ${
            isSame ? "the same answer each time" : "DIFFERENT ANSWERS"
        }: ${answers[0]}`,
    );
    return runs === 1 && isSame;
}

/** Sends a request and retries it after status 503 (not run), since a serving group may not hold all its leases yet. */
async function sendUntilServed(url: string, options: RequestInit): Promise<Response> {
    for (let attempt = 1;; attempt++) {
        const response = await fetch(url, options);
        if (response.status !== 503 || attempt === MAX_ATTEMPTS) {
            return response;
        }
        await response.text();
        await new Promise(resolve => setTimeout(resolve, RETRY_INTERVAL_MS));
    }
}

function buildHeaders(): Record<string, string> {
    return { "authorization": `Bearer ${DEMO_KEYS.cantora}`, "content-type": "application/json" };
}

function joinTokens(stream: string): string {
    return stream.split("\n").filter(line => line.startsWith("data: {")).map(line => {
        const event = JSON.parse(line.slice("data: ".length)) as { choices: { delta: { content: string } }[] };
        return event.choices[0].delta.content;
    }).join("");
}
