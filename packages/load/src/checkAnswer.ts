import { computeAnswerText } from "@kumquathall/standin-engine";
import type { PlannedRequest } from "./workload.js";

interface ChatCompletionChunk {
    choices: { delta: { content: string } }[];
}

interface ChatCompletion {
    choices: { message: { content: string } }[];
}

/** Whether an answer equals the one that the stand-in computes for this request. An order must have run once. */
export function isExpectedAnswer(request: PlannedRequest, body: string): boolean {
    try {
        if (request.kind === "order") {
            const order = JSON.parse(body) as { orderId: string; run: number };
            return order.orderId === request.orderId && order.run === 1;
        }
        const text = request.isStream
            ? joinStream(body)
            : (JSON.parse(body) as ChatCompletion).choices[0].message.content;
        return text === computeAnswerText(request.prompt, request.maxTokens);
    }
    catch {
        return false;
    }
}

function joinStream(body: string): string {
    return body.split("\n")
        .filter(line => line.startsWith("data: {"))
        .map(line => (JSON.parse(line.slice("data: ".length)) as ChatCompletionChunk).choices[0].delta.content)
        .join("");
}
