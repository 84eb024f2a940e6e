import { type HeaderField, Outcome, type OutcomeValue } from "@kumquathall/types";
import type { ServerResponse } from "node:http";
import { formatProblem, OUTCOME_HEADER, type Problem, REQUEST_ID_HEADER, sendProblem } from "./problemAnswer.js";
import type { ResponseSink } from "./runAttempt.js";

const EVENT_STREAM = "text/event-stream";

/** Writes one answer to a caller. Says `complete` only once the whole answer has passed its check. */
export class AnswerWriter implements ResponseSink {
    private isEventStream = false;
    private isStreaming = false;

    constructor(private readonly response: ServerResponse, private readonly requestId: string) {}

    /** Whether any part of the answer was given to the caller. */
    hasStarted(): boolean {
        return this.isStreaming;
    }

    start(status: number, headers: HeaderField[]): void {
        this.isStreaming = true;
        this.isEventStream = headers.some(field =>
            field.name === "content-type" && field.value.startsWith(EVENT_STREAM)
        );
        // The outcome is not known before the last byte: it follows in a trailer, and in a comment of an event stream.
        this.response.writeHead(
            status,
            [
                ...headers.map((field): [string, string] => [field.name, field.value]),
                [REQUEST_ID_HEADER, this.requestId],
                ["trailer", OUTCOME_HEADER],
            ].flat(),
        );
    }

    write(data: Uint8Array): boolean {
        return this.response.write(data);
    }

    onDrained(resume: () => void): void {
        this.response.once("drain", resume);
    }

    writeComplete(status: number, headers: HeaderField[], data: Uint8Array): void {
        this.response.writeHead(
            status,
            [
                ...headers.map((field): [string, string] => [field.name, field.value]),
                [REQUEST_ID_HEADER, this.requestId],
                [OUTCOME_HEADER, Outcome.Complete],
                ["content-length", String(data.length)],
            ].flat(),
        );
        this.response.end(data);
    }

    /** Ends a streamed answer that is whole. */
    finish(): void {
        if (this.isStreaming && !this.response.writableEnded) {
            if (this.isEventStream) {
                this.response.write(`: kumquathall outcome=${Outcome.Complete} request=${this.requestId}\n\n`);
            }
            this.response.addTrailers({ [OUTCOME_HEADER]: Outcome.Complete });
            this.response.end();
        }
    }

    /** Ends an answer that is not whole: a refusal if nothing was sent, else an error event and an aborted connection. */
    fail(problem: Problem): void {
        if (!this.isStreaming) {
            sendProblem(this.response, problem);
            return;
        }
        if (this.isEventStream) {
            this.response.write(`event: error\ndata: ${formatProblem(problem)}\n\n`, () => this.response.destroy());
            return;
        }
        this.response.destroy();
    }
}

/** Outcome of a request whose answer broke. */
export function describeBrokenOutcome(mayHaveRun: boolean): OutcomeValue {
    return mayHaveRun ? Outcome.Unknown : Outcome.NotRun;
}
