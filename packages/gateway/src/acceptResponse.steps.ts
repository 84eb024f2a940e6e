import { Then, When } from "@cucumber/cucumber";
import { strictEqual } from "node:assert";
import { checkResponse, isRejection } from "./acceptResponse.js";
import type { ResponseHead } from "./httpHeaderCodec.js";
import { PlainHeaderCodec } from "./testing/plainHeaderCodec.js";

let verdict = "";

function decodeId(text: string): string | undefined {
    return text === "none" ? undefined : text;
}

When(
    /^a request with the id (\S+) gets status (\d+) with the id (\S+) and (.*)$/,
    (sent: string, statusText: string, id: string, fields: string) => {
        const status = Number(statusText);
        const headers = sent === "none" ? [] : [["request-id", sent] as const];
        const request = new PlainHeaderCodec().decodeRequest(new Map(headers));
        const response: ResponseHead = {
            requestId: decodeId(id),
            isNotRun: fields.includes("not-run"),
            isSigned: fields.includes("stamp"),
            isEncoded: fields.includes("encoding"),
            load: undefined,
            limit: undefined,
            coldMs: undefined,
            isLeaving: false,
            pauseMs: undefined,
        };
        const reason = checkResponse(status, response, request);
        const answer = sent === "none" ? "an answer that may have run" : "an answer";
        const accepted = isRejection(status, response, request) ? "a rejection" : answer;
        verdict = reason === undefined ? accepted : `invalid: ${reason}`;
    },
);

Then(/^the response is ([ai].*)$/, (expected: string) => strictEqual(verdict, expected));
