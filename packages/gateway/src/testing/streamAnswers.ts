import { endResponse, formatEvent, type ScriptedAttempt, sendAnswer } from "./scriptedEndpoint.js";

const SIGNED = { signed: "1" };
const EVENT_STREAM = { ...SIGNED, "content-type": "text/event-stream" };
const TEXT = { ...SIGNED, "content-type": "text/plain" };
const EVENTS = [4, 5, 6].map(formatEvent).join("");

function sendStream(attempt: ScriptedAttempt, body: string, headers: Record<string, string> = EVENT_STREAM): void {
    attempt.handler.onHead(200, { ...headers, "transfer-encoding": "chunked" });
    if (body !== "") {
        attempt.handler.onData(Buffer.from(body));
    }
    if (!attempt.isAborted) {
        endResponse(attempt);
    }
}

/** Answers of an endpoint to a request that should go on after event 3, by their description. */
export const STREAM_ANSWERS: Record<string, (attempt: ScriptedAttempt) => void> = {
    "status 500 and a text": attempt => sendAnswer(attempt, 500, "internal error\n\n", TEXT),
    "status 404 and a text": attempt => sendAnswer(attempt, 404, "not found\n\n", TEXT),
    "status 204": attempt => sendAnswer(attempt, 204, "", SIGNED),
    "status 206 and the events 4 to 6": attempt => sendAnswer(attempt, 206, EVENTS, EVENT_STREAM),
    "status 304": attempt => sendAnswer(attempt, 304, "", SIGNED),
    "status 200 and a text": attempt => sendAnswer(attempt, 200, "internal error\n", TEXT),
    "status 200 and a text with an empty line": attempt => sendAnswer(attempt, 200, "internal error\n\n", TEXT),
    "status 200 and no body": attempt => sendAnswer(attempt, 200, "", TEXT),
    "a stream of another type": attempt => sendStream(attempt, EVENTS, TEXT),
    "a stream that begins with event 1": attempt => sendStream(attempt, formatEvent(1) + EVENTS),
    "a stream that repeats event 3": attempt => sendStream(attempt, formatEvent(3) + EVENTS),
    "a stream whose events have no ids": attempt => sendStream(attempt, "data: event 4\n\ndata: event 5\n\n"),
    "a stream with an error event": attempt => sendStream(attempt, "event: error\ndata: overloaded\n\n"),
    "a stream with the head of an error": attempt => {
        sendStream(attempt, "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 3\r\n\r\nno\n");
    },
    "a stream without a length and an event": attempt => {
        attempt.handler.onHead(200, EVENT_STREAM);
        endResponse(attempt);
    },
};
